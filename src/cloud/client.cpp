#include "cloud/client.hpp"

#include <algorithm>
#include <utility>

namespace cranklock::cloud {
namespace {
constexpr double kTimeoutS = 5.0;
}  // namespace

Client::Client(net::Reactor& reactor, net::Transport& transport, const base::Settings& settings)
    : reactor_(reactor),
      transport_(transport),
      settings_(settings),
      scale_out_limit_(reactor, settings.cloud_rps / 2),
      other_limit_(reactor, settings.cloud_rps / 2) {}

net::Task<net::Reply> Client::send(net::Request request, net::TokenBucket& limit) {
  for (double wait_s = 0; (wait_s = limit.take(1)) > 0;) {
    net::Sleep pause(reactor_, wait_s);
    co_await pause;
  }
  auto calling = transport_.call(settings_.cloud_address, std::move(request), kTimeoutS);
  auto reply = co_await calling;
  co_return reply;
}

net::Task<std::optional<std::vector<wire::MachineType>>> Client::machine_types() {
  net::Request request{"GET", "/machine_types", "", "", true};
  auto sending = send(std::move(request), other_limit_);
  const auto reply = co_await sending;
  if (reply.status() != 200) co_return std::nullopt;
  co_return wire::parse_machine_types(reply.response.body);
}

namespace {
ScaleOutResult to_scale_out_result(const net::Reply& reply) {
  using Kind = ScaleOutResult::Kind;
  if (reply.kind == net::Reply::Kind::not_sent) return {Kind::rejected, {}};
  switch (reply.status()) {
    case 200: {
      auto machines = wire::parse_scale_out_response(reply.response.body);
      if (!machines) return {Kind::indeterminate, {}};
      return {Kind::granted, std::move(*machines)};
    }
    case 400:
      return {Kind::no_capacity, {}};
    case 429:
      return {Kind::rejected, {}};
    case 503: {
      const bool faulty = reply.response.body.find("trouble") != std::string::npos;
      return {faulty ? Kind::rejected : Kind::no_capacity, {}};
    }
    default:
      return {Kind::indeterminate, {}};
  }
}
}  // namespace

net::Task<ScaleOutResult> Client::scale_out(wire::ScaleOutRequest request) {
  net::Request http_request{"POST", "/rentals", "", wire::scale_out_request(request), true};
  auto sending = send(std::move(http_request), scale_out_limit_);
  const auto reply = co_await sending;
  co_return to_scale_out_result(reply);
}

net::Task<DeletionResult> Client::delete_machines(std::vector<std::string> machines) {
  net::Request request{"POST", "/rentals/delete", "", wire::deletion_request(machines), true};
  auto sending = send(std::move(request), other_limit_);
  const auto reply = co_await sending;
  if (reply.status() == 200) co_return DeletionResult::deleted;
  co_return reply.status() == 400 ? DeletionResult::rejected : DeletionResult::indeterminate;
}

double Client::list_interval_s(const base::Settings& settings, std::size_t machines) {
  constexpr double kMinIntervalS = 1.0;
  constexpr double kListShare = 0.5;  // of the calls that are not scale-out requests
  const double calls_per_s = settings.cloud_rps / 2 * kListShare;
  const std::size_t pages = 1 + machines / kMaxMachinesPerPage;
  return std::max(
      {settings.list_lag_s / 4, kMinIntervalS, static_cast<double>(pages) / calls_per_s});
}

net::Task<std::optional<std::vector<wire::ListedMachine>>> Client::list_machines() {
  std::vector<wire::ListedMachine> all;
  for (;;) {
    net::Request request{
        "GET", "/rentals",
        wire::machine_page_query(all.empty() ? "" : all.back().id, kMaxMachinesPerPage), "", true};
    auto sending = send(std::move(request), other_limit_);
    const auto reply = co_await sending;
    if (reply.status() != 200) co_return std::nullopt;
    auto page = wire::parse_machine_page(reply.response.body);
    if (!page) co_return std::nullopt;
    const bool more = page->more && !page->machines.empty();
    for (auto& machine : page->machines) all.push_back(std::move(machine));
    if (!more) co_return all;
  }
}

}  // namespace cranklock::cloud
