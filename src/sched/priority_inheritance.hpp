// What a job inherits from the jobs that need it.
#pragma once

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// Sets the urgency of every live job to its own or to that of the most urgent job that needs it,
/// directly or through others. Goes through each job and each need once.
void inherit_urgency(ClusterState& cluster);

}  // namespace cranklock::sched
