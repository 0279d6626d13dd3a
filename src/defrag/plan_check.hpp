// Whether a plan of moves still pays and can still be carried out. Pure: no I/O, time passed in.
#pragma once

#include <cstdint>
#include <optional>

#include "defrag/fleet_view.hpp"
#include "defrag/move_plan.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::defrag {

enum class DropReason {
  job_over,       ///< the waiting job was cancelled or is over
  gain_gone,      ///< it no longer waits for room alone, or machines for it are booting
  too_dear,       ///< what is left to move costs as much as waiting for machines
  too_slow,       ///< its time is over
  place_lost,     ///< a machine meant for the waiting job takes no work, or others have its room
  target_lost,    ///< the same of a target
  drain_refused,  ///< by the router, for one of the replicas
  drain_late,     ///< a replica was not drained in time
  off,            ///< the operator has stopped all moves
};
/// As it reads in the log.
const char* to_string(DropReason reason);

/// Seconds after which a plan is over in any case: a ratio of settings.
double longest_plan_s(const base::Settings& settings);

/// Whether the room of a move's source is still taken by what is to move.
bool is_on_source(sched::ClusterState& cluster, const PlannedMove& move);

/// Whether the waiting job, or as much of it as the plan makes room for, has been placed.
bool is_placed(const sched::Job& job, const MovePlan& plan);

/// Why a plan should be dropped by what records tell; none: it may go on. `placed`: the waiting job
/// has its room, and only moves under way are to be ended.
std::optional<DropReason> why_drop_by_records(sched::ClusterState& cluster, const MovePlan& plan,
                                              bool placed, std::int64_t wall_ms, double now);

/// The same by what machines have shown, which a new leader knows only after some reports.
std::optional<DropReason> why_drop_by_fleet(sched::ClusterState& cluster, const MovePlan& plan,
                                            bool placed, const MoveRules& rules, double now);

}  // namespace cranklock::defrag
