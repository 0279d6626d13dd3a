#include "sched/entitlement.hpp"

#include <algorithm>

namespace cranklock::sched {

bool may_preempt(const Job& preemptor, const Job& victim) {
  if (preemptor.urgency.priority < victim.urgency.priority) {
    return !victim.guaranteed || preemptor.guaranteed;
  }
  return preemptor.guaranteed && !victim.guaranteed && preemptor.spec.team != victim.spec.team;
}

void PlacedPriorities::add(const Job& job) {
  placed_[job.urgency.priority][job.guaranteed ? 1 : 0] = true;
}

bool PlacedPriorities::any_preemptible_by(const Job& preemptor) const {
  return std::any_of(placed_.begin(), placed_.end(), [&](const auto& entry) {
    const auto& [priority, placed] = entry;
    const bool higher = preemptor.urgency.priority < priority;
    const bool beyond_guarantee = placed[0], within_guarantee = placed[1];
    return (beyond_guarantee && (preemptor.guaranteed || higher)) ||
           (within_guarantee && preemptor.guaranteed && higher);
  });
}

}  // namespace cranklock::sched
