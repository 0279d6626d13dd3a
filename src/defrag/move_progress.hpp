// Determines the step of a move from where its task is placed. Pure: no I/O.
#pragma once

#include "defrag/move_plan.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::defrag {

/// Whether the placement to be moved still holds resources on the source.
bool is_on_source(sched::ClusterState& cluster, const PlannedMove& move);
/// The placement to be moved; nullptr if it is confirmed to have ended, or is unknown.
sched::Placement* source_placement(sched::ClusterState& cluster, const PlannedMove& move);
/// Whether the task is a replica of a service.
bool is_replica_move(sched::ClusterState& cluster, const PlannedMove& move);

/// The current step of the move: the recorded step while the placement is on its source or if the
/// move is over. Otherwise it is derived from placements, so that a successor that reads the same
/// record derives the same step; the recorded step then only shows whether the task left its source
/// because of the plan.
MoveStep current_step(sched::ClusterState& cluster, const PlannedMove& move);

}  // namespace cranklock::defrag
