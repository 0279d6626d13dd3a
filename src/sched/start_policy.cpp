#include "sched/start_policy.hpp"

namespace cranklock::sched {

bool StartPolicy::may_start(const Job& job, const Placement& placement) const {
  return !job.cancelled() && placement.durable() && job.dependencies_met &&
         !is_excess(job, placement);
}

bool StartPolicy::is_excess(const Job& job, const Placement& placement) const {
  if (placement.start_sent() || placement.reported) return false;
  const base::Team* team = settings_.find_team(job.spec.team);
  return team != nullptr && quota_.exceeds_limit(*team);
}

}  // namespace cranklock::sched
