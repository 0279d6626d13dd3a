// Preemption rules. Pure functions of the jobs' guarantees and priorities in the current placement
// pass.
#pragma once

#include <array>
#include <map>

#include "sched/job.hpp"

namespace cranklock::sched {

/// Whether the preemptor is entitled to the victim's resources: it has a higher priority, or it is
/// within its team's guarantee while the victim belongs to another team and exceeds that team's
/// guarantee. A guaranteed job is preempted only for another guaranteed job.
bool may_preempt(const Job& preemptor, const Job& victim);

/// The priorities of all placed jobs. Avoids a search for victims when the job cannot preempt any
/// placed job.
class PlacedPriorities {
 public:
  /// Adds a job that has live placements.
  void add(const Job& job);
  /// Whether a placed job may be a victim for the preemptor. Never false if there is one.
  bool any_preemptible_by(const Job& preemptor) const;

 private:
  /// By priority: whether a job beyond its team's guarantee (0), or within it (1), is placed.
  std::map<wire::Priority, std::array<bool, 2>> placed_;
};

}  // namespace cranklock::sched
