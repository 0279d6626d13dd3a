// Message delivery between nodes and stand-ins: delays, partitions between zones, paused nodes, and
// traffic events.
#include "test_cluster_internals.hpp"

namespace cranklock::testing {

using net::Reply;
using net::Request;
using net::Response;
using net::Sleep;

// ---- from a node ----

net::Task<Reply> NodeTransport::call(std::string address, Request request, double timeout_s) {
  TrafficEvent event;
  event.node = node;
  // Copies, because the request is moved below and the event's views are used again after that.
  const std::string to = address;
  const std::string method = request.method;
  const std::string path = request.path;
  const std::string query = request.query;
  event.address = to;
  event.method = method;
  event.path = path;
  event.query = query;
  event.body = request.body;
  cluster.observe(event);
  auto calling = cluster.call(node, std::move(address), std::move(request), timeout_s);
  auto reply = co_await calling;
  while (cluster.is_paused(node)) {
    Sleep pause(cluster.reactor, kPausePollDelay);
    co_await pause;
  }
  event.kind = TrafficEvent::Kind::reply;
  event.response = reply.answered() ? &reply.response : nullptr;
  event.body = reply.answered() ? std::string_view(reply.response.body) : std::string_view();
  cluster.observe(event);
  co_return reply;
}

net::Task<Reply> TestCluster::call(int node, std::string address, Request request,
                                   double timeout_s) {
  const bool cut_off = isolated_zones.contains(zone_of(node));
  if (address == "cloud" && !cut_off) {
    // The cloud executes the request even if the node times out first.
    auto pending = std::make_shared<CloudCall>(reactor);
    scope_.spawn(serve_cloud(std::move(request), timeout_s, pending));
    net::Signal::Wait wait(pending->answered, timeout_s + kMessageDelay);
    co_await wait;
    co_return pending->reply;
  }
  Sleep transfer(reactor, kMessageDelay);
  co_await transfer;
  if (address == "cloud" || (address == "state" && isolated_zones.contains(zone_of(node)))) {
    auto timeout = time_out(timeout_s);
    co_return co_await timeout;
  }
  if (address == "state") {
    auto calling = call_state_service(node, std::move(request), timeout_s);
    co_return co_await calling;
  }
  if (address == "router") {
    auto calling = call_router(std::move(request), timeout_s);
    co_return co_await calling;
  }
  auto calling = call_agent(node, std::move(address), std::move(request), timeout_s);
  co_return co_await calling;
}

net::Task<Reply> TestCluster::time_out(double timeout_s) {
  Sleep wait(reactor, timeout_s);
  co_await wait;
  co_return Reply{};
}

net::Task<Reply> TestCluster::call_router(Request request, double timeout_s) {
  const auto response = router ? router(request) : std::nullopt;
  if (response) co_return Reply{Reply::Kind::answered, *response};
  auto timeout = time_out(timeout_s);
  co_return co_await timeout;
}

void TestCluster::observe(TrafficEvent event) const {
  if (!on_traffic) return;
  event.time_s = reactor.now();
  event.region = base_settings.operator_settings.regions.self;
  on_traffic(event);
}

// ---- to a node's public address ----

net::Task<Response> TestCluster::handle(int node, Request request) {
  TrafficEvent event;
  event.kind = TrafficEvent::Kind::public_request;
  event.node = node;
  const std::string method = request.method;
  const std::string path = request.path;
  const std::string query = request.query;
  event.method = method;
  event.path = path;
  event.query = query;
  event.body = request.body;
  observe(event);
  auto handling = hosts_[static_cast<std::size_t>(node)]->node.handle(std::move(request));
  auto response = co_await handling;
  event.kind = TrafficEvent::Kind::public_response;
  event.response = &response;
  event.body = response.body;
  observe(event);
  co_return response;
}

net::Task<void> TestCluster::serve(int node, Request request, std::shared_ptr<Exchange> exchange) {
  auto handling = handle(node, std::move(request));
  auto response = co_await handling;
  exchange->response = std::move(response);
  exchange->answered.set();
}

net::Task<void> TestCluster::serve_when_resumed(int node, Request request,
                                                std::shared_ptr<Exchange> exchange) {
  const auto& host = hosts_[static_cast<std::size_t>(node)];
  const int run = host->run;
  while (is_paused(node)) {
    Sleep pause(reactor, kPausePollDelay);
    co_await pause;
  }
  if (host && host->run == run) {
    host->scope.spawn(serve(node, std::move(request), std::move(exchange)));
  }
}

net::Task<std::optional<Response>> TestCluster::exchange(int node, Request request,
                                                         double timeout_s) {
  constexpr double kConnectDelay = 0.001;
  Sleep transfer(reactor, kConnectDelay);
  co_await transfer;
  const auto& host = hosts_[static_cast<std::size_t>(node)];
  if (!host) co_return std::nullopt;
  auto pending = std::make_shared<Exchange>(reactor);
  if (is_paused(node)) {
    scope_.spawn(serve_when_resumed(node, std::move(request), pending));
  } else {
    host->scope.spawn(serve(node, std::move(request), pending));
  }
  net::Signal::Wait wait(pending->answered, timeout_s);
  co_await wait;
  co_return std::move(pending->response);
}

}  // namespace cranklock::testing
