// Inheritance of priority and deadline from dependent jobs.
#pragma once

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// Sets the urgency of every live job to the highest priority of itself and its direct and
/// transitive dependents, and to the latest start with which it and they meet their deadlines.
/// Cancelled dependents do not count. Called at the start of each placement pass. Its cost is
/// linear in the number of jobs and dependencies.
void inherit_urgency(ClusterState& cluster);

}  // namespace cranklock::sched
