// The leader's cluster state as plans of moves see it. Pure: no I/O, time passed in.
#pragma once

#include <optional>
#include <vector>

#include "defrag/planner.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::defrag {

/// Seconds of work that are lost when the placement is stopped and started elsewhere; none: it
/// stays.
///
/// On the protocol a task that moves is stopped first, so only what may pause moves: running tasks
/// of arrays. One that saves loses the time to save and about two reports until it is started
/// again, one that does not loses all it has done. What is not durable, in doubt, being stopped or
/// cancelled stays.
std::optional<double> move_cost(const sched::Job& job, const sched::Placement& placement,
                                double report_s, double now);

/// The machines that may take new work, with what runs on them.
std::vector<Host> view_fleet(sched::ClusterState& cluster, double now);

}  // namespace cranklock::defrag
