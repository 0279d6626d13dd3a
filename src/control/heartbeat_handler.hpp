// What the leader does with the heartbeats of agents, and with those of the controllers that
// forward for them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control/leader_context.hpp"
#include "control/machine_lifecycle.hpp"
#include "net/http.hpp"
#include "peer/frames.hpp"
#include "wire/agent_protocol.hpp"

namespace cranklock::control {

/// Takes heartbeats into the cluster state and responds to them with commands. A response of status
/// 200 prolongs the agent's lease, so one is given only while the leader lease permits it
/// (invariants 6, 10 and 11).
class HeartbeatHandler {
 public:
  /// Made when the term begins. All that is referred to outlives the handler.
  HeartbeatHandler(const LeaderContext& context, const MachineLifecycle& machines)
      : context_(context), machines_(machines), last_agent_message_at_(context.term_started_at) {}

  /// The response to an agent: 200 with its commands; 421 after a higher fencing token was seen;
  /// 503 while no lease may be prolonged, and for a late copy of an earlier heartbeat.
  net::Response handle(const wire::Heartbeat& heartbeat);
  /// The same for a heartbeat that the controller `forwarder` has forwarded under `request_id`.
  /// The response may delegate the agent's lease to a forwarder of the agent's own zone.
  peer::ForwardedResponse handle_forwarded(const wire::Heartbeat& heartbeat,
                                           const std::string& forwarder, std::uint64_t request_id);
  /// Records whether this controller, as a forwarder, has lately responded to agents on its own.
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat);
  /// Records that the agent is redirected to this forwarder, unless it must stay: then false.
  bool try_redirect(const std::string& machine_id, const std::string& forwarder);

  /// An agent has sent something other than a heartbeat.
  void note_agent_message() { last_agent_message_at_ = context_.now(); }
  /// No agent has been heard for so long that this controller may be cut off from them.
  bool agents_silent() const;

 private:
  void log_started_tasks(const wire::Heartbeat& heartbeat, double now) const;
  bool is_forwarder_of_zone(const std::string& forwarder, const std::string& zone) const;

  const LeaderContext& context_;
  const MachineLifecycle& machines_;
  double last_agent_message_at_;  ///< steady seconds
};

}  // namespace cranklock::control
