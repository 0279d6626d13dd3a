// Handles, on the leader, heartbeats of agents and of the controllers that forward for them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control/forgotten_attempts.hpp"
#include "control/leader_context.hpp"
#include "control/machine_lifecycle.hpp"
#include "net/http.hpp"
#include "peer/frames.hpp"
#include "wire/agent_protocol.hpp"

namespace cranklock::control {

/// Applies heartbeats to the cluster state and responds with commands. A response with status 200
/// extends the agent's lease, so it is sent only while the leader lease permits it (invariants 6,
/// 10 and 11).
class HeartbeatHandler {
 public:
  /// Created when the term begins. All referenced objects must outlive the handler.
  HeartbeatHandler(const LeaderContext& context, const MachineLifecycle& machines)
      : context_(context),
        machines_(machines),
        forgotten_(context),
        last_agent_message_at_(context.term_started_at) {}

  /// Returns the response to an agent: 200 with its commands; 421 if the agent has seen a higher
  /// fencing token; 503 while no lease may be extended, for a deleted machine, and for a delayed
  /// duplicate of an earlier heartbeat.
  net::Response handle(const wire::Heartbeat& heartbeat);
  /// As handle(), for a heartbeat that the controller `forwarder` has forwarded under `request_id`.
  /// The response may delegate the agent's lease to a forwarder in the agent's own zone.
  peer::ForwardedResponse handle_forwarded(const wire::Heartbeat& heartbeat,
                                           const std::string& forwarder, std::uint64_t request_id);
  /// Records when the sending controller may next respond to agents as a delegate, and when it last
  /// did.
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat);
  /// Records that the agent is redirected to this forwarder; returns false if it must not be
  /// redirected.
  bool try_redirect(const std::string& machine_id, const std::string& forwarder);

  /// Records a message from an agent other than a heartbeat.
  void note_agent_message() { last_agent_message_at_ = context_.now(); }
  /// Whether no agent message has arrived for so long that this controller may be cut off from the
  /// agents.
  bool agents_timed_out() const;

 private:
  std::vector<wire::Command> take_commands(const wire::Heartbeat& heartbeat);
  void log_started_tasks(const wire::Heartbeat& heartbeat, double now) const;
  bool is_forwarder_of_zone(const std::string& forwarder, const std::string& zone) const;

  const LeaderContext& context_;
  const MachineLifecycle& machines_;
  ForgottenAttempts forgotten_;
  double last_agent_message_at_;  ///< steady seconds
};

}  // namespace cranklock::control
