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
  no_gain,             ///< the job must not or need not be placed now, or fits on booting machines
  too_expensive,       ///< the remaining moves cost as much as waiting for machines
  timed_out,           ///< the plan exceeded `max_plan_duration_s`
  host_unavailable,    ///< a machine planned for the job is unknown, unsuitable or lacks capacity
  target_unavailable,  ///< the same for the target of a move, or its zone does not suit the task
  drain_refused,       ///< the router refused to drain a replica
  drain_late,          ///< a replica was not drained in time
  disabled,            ///< the operator has disabled moves
};
/// The value of the `reason` field of log lines.
const char* to_string(DropReason reason);

/// Seconds after which a plan ends in any case; derived from the settings.
double max_plan_duration_s(const base::Settings& settings);

/// Whether the waiting job is placed. For a gang: a task of it is live. For other jobs: no task is
/// pending, or a task is placed on a machine that the plan intends for the job.
bool is_waiting_job_placed(const sched::Job& job, const MovePlan& plan);

/// The reason to drop the plan according to stored records; none if it may continue. `placed`: the
/// waiting job is placed, and only moves in progress are to be completed.
std::optional<DropReason> drop_reason_by_records(sched::ClusterState& cluster, const MovePlan& plan,
                                                 bool placed, std::int64_t wall_ms, double now);

/// The reason to drop the plan according to heartbeats. Called once a new leader has had some
/// heartbeat intervals to receive them, and only if the records give no reason.
std::optional<DropReason> drop_reason_by_fleet(sched::ClusterState& cluster, const MovePlan& plan,
                                               bool placed, const MoveRules& rules, double now);

}  // namespace cranklock::defrag
