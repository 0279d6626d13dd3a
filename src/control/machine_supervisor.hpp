// Supervises machines: lease expiry, boot timeouts, reclaimed and quarantined machines, and
// cancelled tasks that may still run.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "control/leader_context.hpp"
#include "control/machine_deleter.hpp"
#include "net/task.hpp"
#include "sched/availability.hpp"

namespace cranklock::control {

/// Expires agent leases, and terminates machines that failed, did not boot in time, are
/// unresponsive, reclaimed or quarantined, or may still run a cancelled task (invariants 4 and 7).
class MachineSupervisor {
 public:
  /// Created when the leader term begins. All referenced objects must outlive it.
  MachineSupervisor(const LeaderContext& context, MachineDeleter& deleter)
      : context_(context), deleter_(deleter) {}

  /// Checks all machines three times per heartbeat interval until cancelled.
  net::Task<void> run();

 private:
  using Zones = std::map<std::string, sched::ZoneAgents>;

  void expire_leases(double now);
  void check_machine(sched::Machine& machine, const Zones& zones, double now);
  std::optional<TerminationReason> termination_reason(const sched::Machine& machine,
                                                      const Zones& zones, double now);
  void expire_quarantine(sched::Machine& machine, double now);
  bool is_boot_timed_out(const sched::Machine& machine, double now) const;
  void checkpoint_before_reclaim(sched::Machine& machine, double now);
  void check_placements(double now);
  /// When the machines of a cancelled job's tasks are terminated if the tasks are not confirmed to
  /// have ended.
  double cancellation_deadline(const sched::Job& job) const;

  const LeaderContext& context_;
  MachineDeleter& deleter_;
};

}  // namespace cranklock::control
