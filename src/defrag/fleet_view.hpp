// The leader's cluster state as plans of moves see it. Pure: no I/O, time passed in.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "defrag/planner.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::defrag {

/// What plans may move.
struct MoveRules {
  /// A router drains replicas, so that they may move without a request unanswered.
  bool services = false;
  /// How many tasks of a job may still move; unset: any number.
  std::function<std::size_t(const sched::Job&)> allowance;
};

/// Seconds of work that are lost when the placement is stopped and started elsewhere; none: it
/// stays.
///
/// On the protocol a task that moves is stopped first, so only what may pause moves: running tasks
/// of arrays. One that saves loses the time to save and about two heartbeats until it is started
/// again, one that does not loses all it has done. A replica moves where a router drains it and
/// others can serve meanwhile; it costs the drain and the restart. What is not durable, in doubt,
/// being stopped or cancelled stays.
std::optional<double> move_cost(const sched::ClusterState& cluster, const sched::Job& job,
                                const sched::Placement& placement, const MoveRules& rules,
                                double now);

/// The machines that may take new work, with what runs on them.
std::vector<Host> view_fleet(sched::ClusterState& cluster, const MoveRules& rules, double now);

}  // namespace cranklock::defrag
