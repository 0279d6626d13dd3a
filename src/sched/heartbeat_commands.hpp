// The commands in the answer to a heartbeat.
#pragma once

#include <set>
#include <vector>

#include "base/settings.hpp"
#include "sched/job_table.hpp"
#include "sched/machine.hpp"

namespace cranklock::sched {

/// Compares what an agent reports with what should run on its machine and tells it the difference.
class HeartbeatCommands {
 public:
  /// Both must outlive this object.
  HeartbeatCommands(const base::Settings& settings, JobTable& jobs)
      : settings_(settings), jobs_(jobs) {}

  /// The commands for the answer to this heartbeat, which has been reconciled before. Starts tasks
  /// only while `may_start`, and notes in their placements that this answer carries their start.
  std::vector<wire::Command> commands_for(Machine& machine, const wire::Heartbeat& heartbeat,
                                          bool may_start, double now);

 private:
  void add_command_for(const Machine& machine, const wire::TaskStatus& status, double now,
                       std::vector<wire::Command>& commands);
  void add_stop(const Placement& placement, const wire::TaskStatus& status, double now,
                std::vector<wire::Command>& commands) const;
  static void add_starts(Machine& machine, const wire::Heartbeat& heartbeat,
                         std::vector<wire::Command>& commands);

  const base::Settings& settings_;
  JobTable& jobs_;
};

}  // namespace cranklock::sched
