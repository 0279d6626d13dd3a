// Selects the waiting job to free capacity for, and searches for the moves. Pure: no I/O, time
// passed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "defrag/fleet_view.hpp"
#include "defrag/move_plan.hpp"
#include "defrag/planner.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::defrag {

/// A plan for one waiting job, as indices into `hosts`.
struct FoundPlan {
  const sched::Job* job = nullptr;
  std::vector<Host> hosts;
  Plan plan;
  double boot_s = 0;  ///< cost of waiting for new machines instead, summed over all tasks
};

/// Number of tasks of the job that have to be placed together.
std::size_t tasks_placed_together(const sched::Job& job);

/// The shortest boot time of the machine types that the job may use; 0 if there are none.
double shortest_boot_s(const sched::ClusterState& cluster, const sched::Job& job);

/// Whether the job lacks only capacity, however long it has waited: it may start now, and its team
/// is within its limit.
bool waits_only_for_capacity(const sched::ClusterState& cluster, const sched::Job& job, double now);

/// Whether booting machines have enough free resources for the tasks that have to be placed
/// together, so that moves gain nothing.
bool has_booting_capacity(sched::ClusterState& cluster, const sched::Job& job);

/// The cheapest plan found for the first job in placement order that lacks only capacity and has
/// been known to this leader for at least the shortest boot time of its machine types; none if each
/// plan found costs more than that boot time for each task placed together. `eligible` filters the
/// jobs to plan for.
std::optional<FoundPlan> find_plan(sched::ClusterState& cluster, const MoveRules& rules,
                                   const std::function<bool(const sched::Job&)>& eligible,
                                   double now);

/// Converts the found plan to names, with no move begun. `id` must be unique in the region.
MovePlan make_move_plan(const FoundPlan& found, const std::string& id, std::int64_t wall_ms,
                        sched::ClusterState& cluster);

}  // namespace cranklock::defrag
