// Adds and ends placements.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "sched/change_signal.hpp"
#include "sched/end_proof.hpp"
#include "sched/machine_inventory.hpp"
#include "sched/quota_usage.hpp"

namespace cranklock::sched {

/// Keeps the placements of jobs, the allocation of machines and the quota use of teams consistent:
/// a placement counts in all three from its decision until it is proven gone (invariants 4 and 9),
/// and after that among the ended ones of its team until a record without it is stored.
class PlacementTracker {
 public:
  /// Called for each placement that ends.
  using EndObserver = std::function<void(const Job&, const Placement&, EndProof)>;

  /// All three must outlive this object.
  PlacementTracker(MachineInventory& machines, QuotaUsage& quota, ChangeSignal& changes)
      : machines_(machines), quota_(quota), changes_(changes) {}

  void set_end_observer(EndObserver observer) { end_observer_ = std::move(observer); }

  /// Adds a placement that has been decided on. Its start is sent only once it is durable.
  Placement& add(Job& job, std::uint32_t task, std::uint64_t attempt, const std::string& machine,
                 double now);
  /// Ends a placement that is proven gone. While a write that contains it is unresolved, it is only
  /// marked as abandoned and remains allocated, since the write may still be applied.
  void end(Job& job, Placement& placement, EndProof proof, double now);
  /// Ends an abandoned placement after a write of the record without it has succeeded. Does not
  /// make the record dirty.
  void resolve_abandoned(Job& job, Placement& placement, double now);
  /// Erases those of the `written` placements that have ended. The durable record no longer
  /// contains them, since they were left out of a write that has succeeded.
  void erase_ended(Job& job, const std::set<PlacementKey>& written);
  /// Ends all placements on a machine whose tasks are all proven gone. Requests a stop of the other
  /// tasks of their gangs.
  void end_all(Machine& machine, EndProof proof, double now);
  /// If the job is a gang, requests a stop of all its tasks of this attempt.
  static void stop_gang(Job& job, std::uint64_t attempt, double now);

  /// Allocates the placements of a job that has been read from the store.
  void attach_all(Job& job, double now);
  /// Releases the allocations of a job before it is replaced or removed.
  void detach_all(Job& job, double now);

 private:
  void attach(Job& job, const Placement& placement);
  void detach(Job& job, const Placement& placement, double now);

  MachineInventory& machines_;
  QuotaUsage& quota_;
  ChangeSignal& changes_;
  EndObserver end_observer_ = [](const Job&, const Placement&, EndProof) {};
};

}  // namespace cranklock::sched
