// Whether a plan of moves still pays and can still be carried out. Pure: no I/O, time passed in.
#pragma once

#include <cstdint>
#include <optional>

#include "defrag/fleet_view.hpp"
#include "defrag/move_plan.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::defrag {

enum class DropReason {
  job_ended,           ///< the waiting job was cancelled or is over
  no_gain,             ///< it no longer waits for room alone, or machines for it are booting
  too_expensive,       ///< what is left to move costs as much as waiting for machines
  timed_out,           ///< the plan has taken longer than any may
  host_unavailable,    ///< a machine meant for the waiting job takes no work, or has no room left
  target_unavailable,  ///< the same of a move's target
  drain_refused,       ///< by the router, for one of the replicas
  drain_late,          ///< a replica was not drained in time
  disabled,            ///< the operator has stopped all moves
};
/// The value of the `reason` field of log lines.
const char* to_string(DropReason reason);

/// Seconds after which a plan is over in any case: a ratio of settings.
double max_plan_s(const base::Settings& settings);

/// Whether the waiting job, or as much of it as the plan makes room for, has been placed.
bool is_placed(const sched::Job& job, const MovePlan& plan);

/// Why the plan has to be dropped by what records tell; none: it may go on. `placed`: the waiting
/// job has its room, and only moves under way are to be ended.
std::optional<DropReason> drop_reason_by_records(sched::ClusterState& cluster, const MovePlan& plan,
                                                 bool placed, std::int64_t wall_ms, double now);

/// The same by what machines have shown, which a new leader knows only after some heartbeats.
std::optional<DropReason> drop_reason_by_fleet(sched::ClusterState& cluster, const MovePlan& plan,
                                               bool placed, const MoveRules& rules, double now);

}  // namespace cranklock::defrag
