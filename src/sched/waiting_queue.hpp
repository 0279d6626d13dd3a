// The order in which a placement pass handles the waiting jobs.
#pragma once

#include <vector>

#include "sched/cluster_state.hpp"
#include "sched/entitlement.hpp"

namespace cranklock::sched {

/// The jobs that a pass has to place, and the priorities of the jobs already placed.
struct WaitingQueue {
  std::vector<Job*> jobs;   ///< most entitled first
  PlacedPriorities placed;  ///< of runnable jobs with live placements when the queue is built
};

/// Updates `Job::urgency` and `Job::guaranteed`, and returns the jobs that have tasks to place now,
/// ordered by guarantee (jobs within their team's guarantee first), priority and age. A job's age
/// counts from its latest start time if that is before it became ready.
WaitingQueue queue_waiting_jobs(ClusterState& cluster, double now);

}  // namespace cranklock::sched
