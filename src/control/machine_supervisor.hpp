// Supervises machines: lease expiry, boots, reclaimed and quarantined machines, and cancelled tasks
// that may still run.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "control/leader_context.hpp"
#include "control/machine_deleter.hpp"
#include "net/task.hpp"
#include "sched/availability.hpp"

namespace cranklock::control {

/// Ends leases that have run out, and terminates machines that failed, never came up, are
/// unresponsive, reclaimed or quarantined, or may still run a cancelled task (invariants 4 and 7).
class MachineSupervisor {
 public:
  /// Made when the leader term begins. All that is referred to outlives it.
  MachineSupervisor(const LeaderContext& context, MachineDeleter& deleter)
      : context_(context), deleter_(deleter) {}

  /// Checks all machines three times in a heartbeat interval, for ever.
  net::Task<void> run();

 private:
  using Zones = std::map<std::string, sched::ZoneAgents>;

  void expire_leases(double now);
  void check_machine(sched::Machine& machine, const Zones& zones, double now);
  std::optional<TerminationReason> termination_reason(const sched::Machine& machine,
                                                      const Zones& zones, double now);
  bool is_boot_timed_out(const sched::Machine& machine, double now) const;
  void checkpoint_before_reclaim(sched::Machine& machine, double now);
  void check_placements(double now);
  /// When a cancelled job whose tasks are not proven gone takes their machines along.
  double cancellation_deadline(const sched::Job& job) const;

  const LeaderContext& context_;
  MachineDeleter& deleter_;
};

}  // namespace cranklock::control
