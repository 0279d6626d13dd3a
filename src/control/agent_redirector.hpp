// Selects the agents that the leader redirects to a forwarder.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/event_rate.hpp"
#include "control/heartbeat_handler.hpp"
#include "control/services.hpp"
#include "wire/agent_protocol.hpp"

namespace cranklock::control {

/// Redirects agents of other controllers' zones to a controller of their zone. Agents of the
/// leader's own zone, and of zones without a controller, may stay; they are redirected only while
/// heartbeats use too much of the leader's CPU or connections.
class AgentRedirector {
 public:
  explicit AgentRedirector(Services services);

  /// `connection_load` returns the fraction of this controller's connections in use. Without it no
  /// agent is redirected because of connection load.
  void set_connection_load(std::function<double()> connection_load) {
    connection_load_ = std::move(connection_load);
  }
  /// Whether so many connections are in use that the rest must be reserved for clients and new
  /// agents.
  bool connections_overloaded() const;

  /// Counts a heartbeat that an agent sent directly to this controller as the leader.
  void note_direct_heartbeat() { direct_heartbeats_.record(services_.reactor.now()); }
  /// Returns the forwarder that the agent is to send its heartbeats to from now on; empty if it
  /// stays.
  std::string redirect(const wire::Heartbeat& heartbeat, HeartbeatHandler& handler);

 private:
  bool overloaded();
  double min_redirect_interval_s();
  std::vector<const base::Peer*> candidate_forwarders(const std::string& zone) const;

  Services services_;
  std::function<double()> connection_load_;
  base::EventRate direct_heartbeats_;
  double next_redirect_at_ = 0;  ///< no agent that may stay is redirected before this time
};

}  // namespace cranklock::control
