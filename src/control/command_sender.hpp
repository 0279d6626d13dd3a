// Sends commands directly to the agents' addresses, in addition to the heartbeat responses.
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
/// token to agents that do not send their heartbeats to it. A start command may be executed again
/// after its response, and without one it may yet be executed: its placement stays indeterminate
/// for that agent epoch (invariant 5).
class CommandSender {
 public:
  /// Created when the term begins. `on_agent_message` is called whenever an agent has responded to
  /// an announcement. All referenced objects must outlive the sender.
  CommandSender(const LeaderContext& context, const MachineLifecycle& machines,
                std::function<void()> on_agent_message);

  /// Sends due commands to each agent that has no call in progress. Called by the decision loop
  /// after each write of records, and at once when a job is cancelled.
  void send_commands();
  /// Announces this leader's fencing token to agents that have not acknowledged it, until the term
  /// ends. An agent that has seen it rejects a former leader's responses, so from then on only this
  /// leader determines when the agent's lease expires (invariant 4).
  net::Task<void> announce_fencing_token();

 private:
  net::Task<void> send_to(std::string machine_id);
  /// Returns the commands due for the agent and marks them as sent with its present fencing token.
  /// The start commands among them are indeterminate from then on.
  std::vector<wire::Command> take_due_commands(sched::Machine& machine);
  /// Records the outcome of the start commands among `commands`. `heartbeat` is the agent's
  /// response if it executed them; without one they were certainly not executed.
  void resolve_starts(const std::vector<wire::Command>& commands,
                      const std::optional<wire::Heartbeat>& heartbeat);
  std::vector<std::string> due_announcements(double now) const;
  net::Task<void> send_fencing_token(std::string machine_id);
  /// Limits the calls in progress so that sockets do not run out when hundreds of machines hang:
  /// each call holds a socket until its timeout.
  std::size_t max_concurrent_calls() const {
    return static_cast<std::size_t>(context_.services.settings.fd_limit) / 8;
  }

  const LeaderContext& context_;
  const MachineLifecycle& machines_;
  std::function<void()> on_agent_message_;
  std::set<std::string> calls_in_progress_;     ///< by machine
  std::map<std::string, double> announced_at_;  ///< by machine, in steady seconds
  net::Scope scope_;  ///< last member: its coroutines end before the members they use
};

}  // namespace cranklock::control
