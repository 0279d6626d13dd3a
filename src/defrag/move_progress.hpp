// How far a move is, by where its task is. Pure: no I/O.
#pragma once

#include "defrag/move_plan.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::defrag {

/// Whether the source's resources are still held by the placement that is to move.
bool is_on_source(sched::ClusterState& cluster, const PlannedMove& move);
/// That placement; nullptr if it is proven gone.
sched::Placement* source_placement(sched::ClusterState& cluster, const PlannedMove& move);
/// Whether the task is a replica of a service.
bool moves_replica(sched::ClusterState& cluster, const PlannedMove& move);

/// The step at which the move is now. It follows from placements, so that a successor that reads
/// the same record comes to the same step; the recorded step decides only whether the task left its
/// source on our request.
MoveStep current_step(sched::ClusterState& cluster, const PlannedMove& move);

}  // namespace cranklock::defrag
