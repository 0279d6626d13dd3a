// Builds the commands in the response to a heartbeat.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/settings.hpp"
#include "sched/job_table.hpp"
#include "sched/machine.hpp"
#include "sched/start_policy.hpp"
#include "sched/term_tokens.hpp"

namespace cranklock::sched {

/// Compares the tasks that an agent reports with the placements on its machine, and builds the
/// commands that reconcile the two.
class HeartbeatCommands {
 public:
  /// All references must outlive this object.
  HeartbeatCommands(const base::Settings& settings, JobTable& jobs, const StartPolicy& start_policy,
                    const TermTokens& tokens)
      : settings_(settings), jobs_(jobs), start_policy_(start_policy), tokens_(tokens) {}

  /// The commands for the response to this heartbeat, which must have been reconciled before. Adds
  /// start commands only if `may_start`, and records in each started placement that this response
  /// carries its start. May raise the agent's fencing token, which the response must then carry.
  std::vector<wire::Command> commands_for(Machine& machine, const wire::Heartbeat& heartbeat,
                                          bool may_start, double now);

 private:
  /// The placement of a reported task, if it is placed on this machine.
  std::optional<PlacementRef> placement_of(const Machine& machine, const wire::TaskStatus& status);
  void add_stop_for(const Machine& machine, const wire::TaskStatus& status, double now,
                    std::vector<wire::Command>& commands);
  void add_forgets(Machine& machine, const wire::Heartbeat& heartbeat,
                   std::vector<wire::Command>& commands);
  /// Whether the response may carry `forget` for so many attempts; raises the agent's fencing token
  /// where that is needed and worthwhile.
  bool may_forget(Machine& machine, std::size_t attempts) const;
  void add_stop(const Placement& placement, const wire::TaskStatus& status, double now,
                std::vector<wire::Command>& commands) const;
  void add_starts(Machine& machine, const wire::Heartbeat& heartbeat,
                  std::vector<wire::Command>& commands) const;

  const base::Settings& settings_;
  JobTable& jobs_;
  const StartPolicy& start_policy_;
  const TermTokens& tokens_;
};

}  // namespace cranklock::sched
