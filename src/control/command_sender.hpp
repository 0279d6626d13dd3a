// Commands sent straight to the agents' addresses, beside the responses to their heartbeats.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/leader_context.hpp"
#include "control/machine_lifecycle.hpp"
#include "net/task.hpp"

namespace cranklock::control {

/// Sends start and stop commands as soon as they are due, and announces a new leader's fencing
/// token to agents that do not send their heartbeats to it. A start command without an answer may
/// still be executed: its placement stays indeterminate for that agent epoch (invariant 5).
class CommandSender {
 public:
  /// Made when the term begins. `on_agent_message` is called whenever an agent has answered an
  /// announcement. All that is referred to outlives the sender.
  CommandSender(const LeaderContext& context, const MachineLifecycle& machines,
                std::function<void()> on_agent_message);

  /// Sends what is due to each agent that no command is on its way to. Called by the decision loop
  /// after each write of records, and at once when a job is cancelled.
  void send_commands();
  /// Announces our fencing token to agents that have not acknowledged it, until the term ends. An
  /// agent that has seen it drops a former leader's responses, so that its lease is ours to time
  /// (invariant 4).
  net::Task<void> announce_fencing_token();

 private:
  net::Task<void> send_to(std::string machine_id);
  /// Takes the commands that are due to the agent. Its start commands count as indeterminate from
  /// here on.
  std::vector<wire::Command> take_due_commands(sched::Machine& machine);
  /// Records what became of the start commands that were sent in `agent_epoch`. `heartbeat` is the
  /// agent's answer where it executed them; without one they were certainly not executed.
  void resolve_starts(sched::Machine& machine, std::uint64_t agent_epoch,
                      const std::vector<wire::Command>& commands,
                      const std::optional<wire::Heartbeat>& heartbeat);
  std::vector<std::string> due_announcements(double now) const;
  net::Task<void> send_fencing_token(std::string machine_id);
  /// Guards against running out of sockets when machines hang by the hundred: each call holds a
  /// socket until its timeout.
  std::size_t max_calls() const {
    return static_cast<std::size_t>(context_.services.settings.fd_limit) / 8;
  }

  const LeaderContext& context_;
  const MachineLifecycle& machines_;
  std::function<void()> on_agent_message_;
  std::set<std::string> calls_in_progress_;     ///< machines that are being called
  std::map<std::string, double> announced_at_;  ///< by machine, in steady seconds
  net::Scope scope_;  ///< last, so that its routines end before what they use
};

}  // namespace cranklock::control
