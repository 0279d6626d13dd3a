// The resources reserved by a stored plan of moves. Pure: no I/O.
#pragma once

#include <vector>

#include "defrag/move_plan.hpp"
#include "sched/cluster_state.hpp"
#include "sched/reservations.hpp"

namespace cranklock::defrag {

/// The reservations of the plan: for the waiting job until it is placed, and on the target of each
/// move that is in progress or may still begin.
std::vector<sched::Reservation> reservations_for(sched::ClusterState& cluster, const MovePlan& plan,
                                                 bool placed);

}  // namespace cranklock::defrag
