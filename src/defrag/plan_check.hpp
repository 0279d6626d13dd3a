// Checks whether a plan of moves is still worthwhile and feasible. Pure: no I/O, time passed in.
#pragma once

#include <cstdint>
#include <optional>

#include "defrag/fleet_view.hpp"
#include "defrag/move_plan.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::defrag {

enum class DropReason {
  job_ended,           ///< the waiting job was cancelled or has completed
  no_gain,             ///< it no longer lacks only capacity, or booting machines will hold it
  too_expensive,       ///< the remaining moves cost as much as waiting for machines
  timed_out,           ///< the plan exceeded `max_plan_duration_s`
  host_unavailable,    ///< a planned machine of the waiting job is not schedulable or full
  target_unavailable,  ///< the same for the target of a move
  drain_refused,       ///< the router refused to drain a replica
  drain_late,          ///< a replica was not drained in time
  disabled,            ///< the operator has disabled moves
};
/// The value of the `reason` field of log lines.
const char* to_string(DropReason reason);

/// Seconds after which a plan ends in any case; derived from the settings.
double max_plan_duration_s(const base::Settings& settings);

/// Whether the waiting job is placed, or as many of its tasks as the plan frees capacity for.
bool is_waiting_job_placed(const sched::Job& job, const MovePlan& plan);

/// The reason to drop the plan according to stored records; none if it may continue. `placed`: the
/// waiting job is placed, and only moves in progress are to be completed.
std::optional<DropReason> drop_reason_by_records(sched::ClusterState& cluster, const MovePlan& plan,
                                                 bool placed, std::int64_t wall_ms, double now);

/// The same according to heartbeats, which a new leader has only received after some heartbeat
/// intervals.
std::optional<DropReason> drop_reason_by_fleet(sched::ClusterState& cluster, const MovePlan& plan,
                                               bool placed, const MoveRules& rules, double now);

}  // namespace cranklock::defrag
