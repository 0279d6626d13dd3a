#include "control/heartbeat_router.hpp"

#include <utility>

#include "base/event_log.hpp"
#include "control/api_responses.hpp"

namespace cranklock::control {

using net::Request;
using net::Response;
using net::Task;

HeartbeatRouter::HeartbeatRouter(Services services, LeaderElection& election,
                                 const StoreMonitor& store_monitor, const peer::Roster& roster)
    : services_(services),
      election_(election),
      store_monitor_(store_monitor),
      roster_(roster),
      forwarder_(services.reactor, services.settings),
      redirector_(services) {}

void HeartbeatRouter::set_send_frame(HeartbeatForwarder::SendFrame send_frame) {
  send_frame_ = send_frame;
  forwarder_.set_send_frame(std::move(send_frame));
}

void HeartbeatRouter::set_connection_load(std::function<double()> connection_load) {
  redirector_.set_connection_load(std::move(connection_load));
  forwarder_.set_may_hold_requests([this] { return !redirector_.connections_overloaded(); });
}

void HeartbeatRouter::fill_peer_heartbeat(peer::PeerHeartbeat& peer_heartbeat) const {
  const double max_age = 2 * services_.settings.heartbeat_interval_s;
  peer_heartbeat.receives_heartbeats = services_.reactor.now() - last_heartbeat_at_ < max_age;
  forwarder_.fill_peer_heartbeat(peer_heartbeat);
}

Task<Response> HeartbeatRouter::handle(Request request) {
  auto heartbeat = wire::parse_heartbeat(request.body);
  if (!heartbeat) {
    base::log_error("heartbeat malformed");
    co_return bad_request("malformed report");
  }
  last_heartbeat_at_ = services_.reactor.now();
  if (election_.leads()) co_return handle_as_leader(*heartbeat);
  if (election_.term() != nullptr) co_return retry_later("taking over");
  heartbeat->tasks.clear();  // not needed here: the leader parses the forwarded body itself
  if (forwarder_.may_forward(*heartbeat)) {
    auto forwarding = forwarder_.forward(*heartbeat, std::move(request.body),
                                         [this] { return store_monitor_.last_answer_at(); });
    auto response = co_await forwarding;
    if (response.status == 200) {
      forwarder_.note_forwarded(*heartbeat);
      co_return response;
    }
  }
  co_return redirect_to_leader(*heartbeat);
}

Response HeartbeatRouter::handle_as_leader(const wire::Heartbeat& heartbeat) {
  redirector_.note_direct_heartbeat();
  auto& handler = election_.term()->heartbeats();
  const std::string forwarder = send_frame_ ? redirector_.redirect(heartbeat, handler) : "";
  if (forwarder.empty()) return handler.handle(heartbeat);
  base::log_debug("agent redirected", base::field("machine", heartbeat.machine),
                  base::field("to", forwarder));
  return make_response(421, wire::redirect_response(forwarder));
}

Response HeartbeatRouter::redirect_to_leader(const wire::Heartbeat& heartbeat) {
  const std::string leader = likely_leader();
  if (!leader.empty()) forwarder_.note_redirected(heartbeat);
  base::log_debug("agent redirected", base::field("machine", heartbeat.machine),
                  base::field("to", leader));
  return make_response(421, wire::redirect_response(leader));
}

// The most likely leader: the one named by the peers, unless the store has named a later one. Empty
// if none is known or if it is this controller itself.
std::string HeartbeatRouter::likely_leader() const {
  const auto peer_leader = roster_.leader(services_.reactor.now());
  if (peer_leader.fencing_token > 0 &&
      peer_leader.fencing_token >= store_monitor_.leader_fencing_token()) {
    return peer_leader.name;
  }
  if (!store_monitor_.reaches_store()) return "";
  const auto& leader = store_monitor_.leader();
  return leader != services_.settings.name ? leader : "";
}

void HeartbeatRouter::on_forwarded_heartbeat(const std::string& from,
                                             const peer::ForwardedHeartbeat& forwarded) {
  peer::ForwardedResponse response{forwarded.id, 503, 0, 0, ""};
  const auto heartbeat = wire::parse_heartbeat(forwarded.heartbeat);
  if (heartbeat && election_.leads()) {
    response = election_.term()->heartbeats().handle_forwarded(*heartbeat, from, forwarded.id);
  }
  if (send_frame_) send_frame_(from, response);
}

}  // namespace cranklock::control
