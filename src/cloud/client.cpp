#include "cloud/client.hpp"

#include <algorithm>

namespace cranklock::cloud {
namespace {
constexpr double kTimeout = 5.0;
}  // namespace

Client::Client(net::Reactor& reactor, net::Transport& transport, const base::Settings& settings)
    : reactor_(reactor),
      transport_(transport),
      settings_(settings),
      scale_out_budget_(reactor, settings.cloud_rps / 2),
      other_budget_(reactor, settings.cloud_rps / 2) {}

net::Task<net::Reply> Client::send(net::Request request, net::TokenBucket& budget) {
  for (double wait = 0; (wait = budget.take(1)) > 0;) {
    net::Sleep pause(reactor_, wait);
    co_await pause;
  }
  auto calling = transport_.call(settings_.cloud, std::move(request), kTimeout);
  auto reply = co_await calling;
  co_return reply;
}

net::Task<std::optional<std::vector<wire::MachineType>>> Client::types() {
  net::Request request{"GET", "/machine_types", "", "", true};
  auto sending = send(std::move(request), other_budget_);
  const auto reply = co_await sending;
  if (reply.status() != 200) co_return std::nullopt;
  co_return wire::parse_machine_types(reply.response.body);
}

net::Task<ScaleOutResult> Client::scale_out(wire::ScaleOutRequest scale_out_request) {
  net::Request request{"POST", "/rentals", "", wire::write_scale_out_request(scale_out_request),
                       true};
  auto sending = send(std::move(request), scale_out_budget_);
  const auto reply = co_await sending;
  ScaleOutResult result;
  if (reply.kind == net::Reply::Kind::not_sent || reply.status() == 429) {
    result.kind = ScaleOutResult::Kind::refused;
  } else if (reply.status() == 200) {
    if (auto machines = wire::parse_scale_out_response(reply.response.body)) {
      result.kind = ScaleOutResult::Kind::rented;
      result.machines = std::move(*machines);
    }
  } else if (reply.status() == 503) {
    const bool trouble = reply.response.body.find("trouble") != std::string::npos;
    result.kind = trouble ? ScaleOutResult::Kind::refused : ScaleOutResult::Kind::no_capacity;
  } else if (reply.status() == 400) {
    result.kind = ScaleOutResult::Kind::no_capacity;
  }
  co_return result;
}

net::Task<DeletionResult> Client::remove(std::vector<std::string> machines) {
  net::Request request{"POST", "/rentals/delete", "", wire::delete_request(machines), true};
  auto sending = send(std::move(request), other_budget_);
  const auto reply = co_await sending;
  if (reply.status() == 200) co_return DeletionResult::done;
  co_return reply.status() == 400 ? DeletionResult::refused : DeletionResult::unavailable;
}

double Client::list_interval(const base::Settings& settings, std::size_t machines) {
  constexpr double kMin = 1.0;
  constexpr double kListShare = 0.5;  // of the calls for other things than scale-out requests
  const double calls_per_s = settings.cloud_rps / 2 * kListShare;
  const std::size_t pages = 1 + machines / kMaxListed;
  return std::max({settings.list_lag_s / 4, kMin, static_cast<double>(pages) / calls_per_s});
}

net::Task<std::optional<std::vector<wire::ListedMachine>>> Client::list() {
  std::vector<wire::ListedMachine> all;
  for (;;) {
    net::Request request{"GET", "/rentals",
                         wire::machine_page_query(all.empty() ? "" : all.back().id, kMaxListed), "",
                         true};
    auto sending = send(std::move(request), other_budget_);
    const auto reply = co_await sending;
    if (reply.status() != 200) co_return std::nullopt;
    auto page = wire::parse_machine_page(reply.response.body);
    if (!page) co_return std::nullopt;
    const bool more = page->more && !page->machines.empty();
    for (auto& m : page->machines) all.push_back(std::move(m));
    if (!more) co_return all;
  }
}

}  // namespace cranklock::cloud
