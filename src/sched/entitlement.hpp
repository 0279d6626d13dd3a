// Which work may preempt which. Pure functions of the guarantee and priority that the jobs have as
// of the present placement pass.
#pragma once

#include <array>
#include <map>

#include "sched/job.hpp"

namespace cranklock::sched {

/// Whether the preemptor is entitled to the resources of the victim: by a higher priority, or
/// because it is within its team's guarantee and the victim is another team's work beyond its own.
/// What is guaranteed is preempted only for what is guaranteed.
bool may_preempt(const Job& preemptor, const Job& victim);

/// The priorities of which something is placed, so that a job that could preempt nothing at all
/// costs no search.
class PlacedPriorities {
 public:
  /// Takes in a job that has live placements.
  void add(const Job& job);
  /// Whether there may be a victim for the job. Never false when there is one.
  bool any_preemptible_by(const Job& preemptor) const;

 private:
  /// By priority: whether work beyond its team's guarantee (0), or within it (1), is placed.
  std::map<wire::Priority, std::array<bool, 2>> placed_;
};

}  // namespace cranklock::sched
