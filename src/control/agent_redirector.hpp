// Which agents the leader hands on to a forwarder.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/event_rate.hpp"
#include "control/heartbeat_handler.hpp"
#include "control/services.hpp"
#include "wire/agent_protocol.hpp"

namespace cranklock::control {

/// Redirects agents of other controllers' zones to a controller of their zone, and, while
/// heartbeats take too much of the leader's processor or connections, those that could as well
/// stay.
class AgentRedirector {
 public:
  explicit AgentRedirector(Services services);

  /// `connection_load` tells the share of this controller's connections that is in use. Without it
  /// no agent is redirected for want of connections.
  void set_connection_load(std::function<double()> connection_load) {
    connection_load_ = std::move(connection_load);
  }
  /// Whether so many connections are in use that the rest must be left to clients and newcomers.
  bool connections_overloaded() const;

  /// Counts a heartbeat that came straight to this controller as the leader.
  void note_direct_heartbeat() { direct_heartbeats_.record(services_.reactor.now()); }
  /// The forwarder that the agent is to send its heartbeats to from now on; empty: it stays.
  std::string redirect(const wire::Heartbeat& heartbeat, HeartbeatHandler& handler);

 private:
  bool overloaded();
  double redirect_interval();
  std::vector<const base::Peer*> possible_forwarders(const std::string& zone) const;

  Services services_;
  std::function<double()> connection_load_;
  base::EventRate direct_heartbeats_;
  double next_redirect_at_ = 0;  ///< when an agent that could stay may be redirected again
};

}  // namespace cranklock::control
