#include "control/node.hpp"

#include <string_view>
#include <utility>
#include <variant>

#include "control/api_responses.hpp"
#include "control/record_keys.hpp"

namespace cranklock::control {

using net::Request;
using net::Response;
using net::Task;

namespace {

/// Peer heartbeats older than this many intervals are ignored.
constexpr double kMaxPeerHeartbeatAge = 4;

/// Whether the path is /v1/jobs or below it.
bool is_job_path(std::string_view path) {
  constexpr std::string_view kJobs = "/v1/jobs";
  return path.starts_with(kJobs) && (path.size() == kJobs.size() || path[kJobs.size()] == '/');
}

}  // namespace

Node::Node(Services services)
    : services_(services),
      incarnation_(static_cast<std::uint64_t>(services.reactor.wall_ms())),
      store_monitor_(services),
      roster_(kMaxPeerHeartbeatAge * peer_heartbeat_interval(services.settings)),
      job_api_(services, [this] { return store_monitor_.reaches_store(); }),
      machine_type_loader_(services, job_api_),
      election_(services, store_monitor_, roster_),
      heartbeat_router_(services, election_, store_monitor_, roster_) {}

void Node::start(net::Scope& scope) {
  scope.spawn(machine_type_loader_.run());
  scope.spawn(store_monitor_.run());
  scope.spawn(election_.run());
}

void Node::set_send_frame(HeartbeatForwarder::SendFrame send_frame) {
  heartbeat_router_.set_send_frame(std::move(send_frame));
}

void Node::set_connection_load(std::function<double()> connection_load) {
  heartbeat_router_.set_connection_load(std::move(connection_load));
}

void Node::set_region_network(regions::RegionNetwork* network) {
  election_.set_region_network(network);
}

bool Node::ready() const {
  if (!job_api_.has_types()) return false;
  if (store_monitor_.reaches_store()) return true;
  // If no controller reaches the store, this controller stays ready so that clients get an
  // immediate error from it. If the load balancer removed all controllers, it would take time to
  // add them back.
  return store_monitor_.ever_reached_store() && !roster_.any_reaches_store(services_.reactor.now());
}

peer::PeerHeartbeat Node::peer_heartbeat() const {
  constexpr double kMsPerSecond = 1000;
  peer::PeerHeartbeat peer_heartbeat;
  peer_heartbeat.name = services_.settings.name;
  peer_heartbeat.fencing_token = leader_fencing_token();
  peer_heartbeat.reaches_store = store_monitor_.reaches_store();
  peer_heartbeat.incarnation = incarnation_;
  peer_heartbeat.sent_clock_ms = static_cast<std::uint64_t>(services_.reactor.now() * kMsPerSecond);
  heartbeat_router_.fill_peer_heartbeat(peer_heartbeat);
  return peer_heartbeat;
}

void Node::on_peer_frame(const std::string& from, const peer::Frame& frame) {
  if (const auto* peer_heartbeat = std::get_if<peer::PeerHeartbeat>(&frame)) {
    on_peer_heartbeat(*peer_heartbeat);
  } else if (const auto* forwarded = std::get_if<peer::ForwardedHeartbeat>(&frame)) {
    heartbeat_router_.on_forwarded_heartbeat(from, *forwarded);
  } else {
    heartbeat_router_.on_forwarded_response(std::get<peer::ForwardedResponse>(frame));
  }
}

void Node::on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat) {
  roster_.on_peer_heartbeat(peer_heartbeat, services_.reactor.now());
  heartbeat_router_.on_peer_heartbeat(peer_heartbeat);
  election_.on_peer_heartbeat(peer_heartbeat);
}

void Node::on_region_frame(const std::string& region, const regions::RegionFrame& frame) {
  if (leads()) term()->on_region_frame(region, frame);
}

Task<Response> Node::handle(Request request) {
  if (request.path == "/checkin") {
    if (request.method != "POST") co_return method_not_allowed("POST");
    auto handling = heartbeat_router_.handle(std::move(request));
    auto response = co_await handling;
    co_return response;
  }
  if (request.path == "/ready") {
    if (request.method != "GET") co_return method_not_allowed("GET");
    if (!ready()) co_return retry_later("not ready");
    co_return make_response(200, "{}");
  }
  if (is_job_path(request.path)) {
    auto handling = job_api_.handle(std::move(request));
    auto response = co_await handling;
    co_return response;
  }
  co_return no_such_path();
}

}  // namespace cranklock::control
