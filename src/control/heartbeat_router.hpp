// Who responds to an agent's heartbeat.
#pragma once

#include <functional>
#include <string>

#include "control/agent_redirector.hpp"
#include "control/heartbeat_forwarder.hpp"
#include "control/leader_election.hpp"
#include "control/services.hpp"
#include "control/store_monitor.hpp"
#include "net/http.hpp"
#include "net/task.hpp"
#include "peer/frames.hpp"
#include "peer/roster.hpp"

namespace cranklock::control {

/// Takes the heartbeats that come to this controller, from agents and from forwarders. As the
/// leader it handles them; otherwise it forwards them to the leader or redirects the agent.
class HeartbeatRouter {
 public:
  /// All that is referred to outlives the router.
  HeartbeatRouter(Services services, LeaderElection& election, const StoreMonitor& store_monitor,
                  const peer::Roster& roster);

  /// How frames reach the other controllers. Without it each controller serves its own agents only.
  void set_send_frame(HeartbeatForwarder::SendFrame send_frame);
  /// Tells the share of this controller's connections that is in use.
  void set_connection_load(std::function<double()> connection_load);

  /// Answers the request of an agent: POST /checkin.
  net::Task<net::Response> handle(net::Request request);
  /// Answers the forwarder `from` with the leader's response, or with 503.
  void on_forwarded_heartbeat(const std::string& from, const peer::ForwardedHeartbeat& forwarded);
  /// Takes a leader's response to a heartbeat that was forwarded to it.
  void on_forwarded_response(const peer::ForwardedResponse& response) {
    forwarder_.on_response(response);
  }
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat) {
    forwarder_.on_peer_heartbeat(peer_heartbeat);
  }
  /// Adds to this controller's own peer heartbeat what concerns agents.
  void describe(peer::PeerHeartbeat& peer_heartbeat) const;

 private:
  net::Response handle_as_leader(const wire::Heartbeat& heartbeat);
  net::Response redirect_to_leader(const wire::Heartbeat& heartbeat);
  std::string believed_leader() const;

  Services services_;
  LeaderElection& election_;
  const StoreMonitor& store_monitor_;
  const peer::Roster& roster_;
  HeartbeatForwarder forwarder_;
  AgentRedirector redirector_;
  HeartbeatForwarder::SendFrame send_frame_;
  double last_heartbeat_at_ = -1e9;  ///< from any agent, in steady seconds
};

}  // namespace cranklock::control
