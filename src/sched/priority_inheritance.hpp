// What a job inherits from its dependents.
#pragma once

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// Sets the urgency of every live job to its own or to that of the most urgent job that needs it,
/// directly or through others. Called at the beginning of each placement pass. Its cost is linear
/// in jobs and dependencies.
void inherit_urgency(ClusterState& cluster);

}  // namespace cranklock::sched
