// Decides which controller responds to an agent's heartbeat.
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

/// Receives the heartbeats of agents and forwarders. The leader handles them itself; any other
/// controller forwards them to the leader or redirects the agent.
class HeartbeatRouter {
 public:
  /// All referenced objects must outlive the router.
  HeartbeatRouter(Services services, LeaderElection& election, const StoreMonitor& store_monitor,
                  const peer::Roster& roster);

  /// Sets how frames are sent to the other controllers. Without it no heartbeats are forwarded and
  /// the leader redirects no agents.
  void set_send_frame(HeartbeatForwarder::SendFrame send_frame);
  /// Sets the function that returns the fraction of this controller's connections in use.
  void set_connection_load(std::function<double()> connection_load);

  /// Handles an agent's request: POST /checkin.
  net::Task<net::Response> handle(net::Request request);
  /// Sends the forwarder `from` the leader's response, or 503.
  void on_forwarded_heartbeat(const std::string& from, const peer::ForwardedHeartbeat& forwarded);
  /// Handles a leader's response to a forwarded heartbeat.
  void on_forwarded_response(const peer::ForwardedResponse& response) {
    forwarder_.on_response(response);
  }
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat) {
    forwarder_.on_peer_heartbeat(peer_heartbeat);
  }
  /// Adds the fields about agents to this controller's own peer heartbeat.
  void fill_peer_heartbeat(peer::PeerHeartbeat& peer_heartbeat) const;

 private:
  net::Response handle_as_leader(const wire::Heartbeat& heartbeat);
  net::Response redirect_to_leader(const wire::Heartbeat& heartbeat);
  std::string likely_leader() const;

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
