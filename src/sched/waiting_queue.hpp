// The order in which a placement pass serves the waiting jobs.
#pragma once

#include <vector>

#include "sched/cluster_state.hpp"
#include "sched/entitlement.hpp"

namespace cranklock::sched {

/// What a pass has to place, and what is placed already.
struct WaitingQueue {
  std::vector<Job*> jobs;   ///< the most entitled first
  PlacedPriorities placed;  ///< of all jobs, as of the beginning of the pass
};

/// Brings the jobs' urgency and `Job::guaranteed` up to date, and lists those that have tasks to
/// place now: what is within its team's guarantee first, then by priority, then by age, where a job
/// that is late by its deadline counts as old as its lateness.
WaitingQueue queue_waiting_jobs(ClusterState& cluster, double now);

}  // namespace cranklock::sched
