// Begins and ends placements.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "sched/change_signal.hpp"
#include "sched/machine_inventory.hpp"
#include "sched/quota_usage.hpp"

namespace cranklock::sched {

/// Keeps the placements of jobs, the allocation of machines and the quota use of teams in step: a
/// placement counts in all three from the decision until it is proven gone (invariants 4 and 9).
class PlacementTracker {
 public:
  /// All three must outlive this object.
  PlacementTracker(MachineInventory& machines, QuotaUsage& quota, ChangeSignal& changes)
      : machines_(machines), quota_(quota), changes_(changes) {}

  /// Adds a placement that has been decided on. Its start must wait until it is durable.
  Placement& add(Job& job, std::uint32_t task, std::uint64_t attempt, const std::string& machine,
                 double now);
  /// The placement is proven gone. While a write that names it is unresolved it is only abandoned
  /// and goes on counting, since the write may yet be carried out.
  void end(Job& job, Placement& placement, double now);
  /// A write of the record without the placement has succeeded: it ends if it was abandoned. This
  /// does not make the record dirty.
  void resolve_abandoned(Job& job, Placement& placement, double now);
  /// Erases ended placements that the durable record no longer names.
  static void forget_ended(Job& job, const std::set<PlacementKey>& written);
  /// Everything on the machine is proven gone. The other tasks of its gangs are to be stopped.
  void end_all(Machine& machine, double now);
  /// If the job is a gang, requests a stop of all its tasks of this attempt.
  static void stop_gang(Job& job, std::uint64_t attempt, double now);

  /// Counts the placements of a job that has been read from the store.
  void attach_all(Job& job, double now);
  /// Takes a job out of all counts before it is replaced or removed.
  void detach_all(Job& job, double now);

 private:
  void attach(Job& job, const Placement& placement);
  void detach(Job& job, const Placement& placement, double now);

  MachineInventory& machines_;
  QuotaUsage& quota_;
  ChangeSignal& changes_;
};

}  // namespace cranklock::sched
