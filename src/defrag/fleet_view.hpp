// A view of the cluster state for planning moves. Pure: no I/O, time passed in.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "defrag/planner.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::defrag {

/// Which tasks a plan may move.
struct MoveRules {
  /// Set if a router drains replicas, so that they can move without failed requests.
  bool allow_replica_moves = false;
  /// How many more tasks of a job may move; unset: no limit.
  std::function<std::size_t(const sched::Job&)> remaining_moves;
};

/// Seconds of work that are lost if the placement is stopped and started elsewhere; none if it must
/// not move.
///
/// The protocol stops a task before it restarts it elsewhere, so only tasks that tolerate an
/// interruption may move: running tasks of job arrays, and replicas. Every move costs two heartbeat
/// intervals until the task is restarted. In addition, a task with checkpoints loses the time to
/// save one, and a task without them all work done so far. A replica may move if a router drains it
/// and its service has another live replica; its drain is estimated to take half a lease. A
/// placement that is not yet durable or confirmed, or that is being stopped or cancelled, does not
/// move.
std::optional<double> move_cost(const sched::ClusterState& cluster, const sched::Job& job,
                                const sched::Placement& placement, const MoveRules& rules,
                                double now);

/// The schedulable machines with the tasks that run on them.
std::vector<Host> view_fleet(sched::ClusterState& cluster, const MoveRules& rules, double now);

}  // namespace cranklock::defrag
