// For whom moves would make room, and which. Pure: no I/O, time passed in.
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

/// A plan for one waiting job, in indices of the hosts.
struct FoundPlan {
  const sched::Job* job = nullptr;
  std::vector<Host> hosts;
  Plan plan;
  double boot_s = 0;  ///< what waiting for machines would cost instead, for all tasks together
};

/// Tasks of the job that have to be placed together.
std::size_t tasks_at_once(const sched::Job& job);

/// The shortest boot of any machine type that the job may use.
double shortest_boot_s(const sched::ClusterState& cluster, const sched::Job& job);

/// Whether the job waits for room alone, however long it has waited: it may start now, and its team
/// is within its limit.
bool waits_for_room(const sched::ClusterState& cluster, const sched::Job& job, double now);

/// Whether machines that boot now will hold all of its tasks: then moves gain nothing.
bool room_is_coming(sched::ClusterState& cluster, const sched::Job& job);

/// The cheapest plan for the most entitled job that has waited for room for as long as a machine
/// boots; none where no plan costs less than that boot for each of its tasks. `eligible` says for
/// which jobs plans are looked for.
std::optional<FoundPlan> find_plan(sched::ClusterState& cluster, const MoveRules& rules,
                                   const std::function<bool(const sched::Job&)>& eligible,
                                   double now);

/// The found plan in names, with all its moves still to begin. `id` is unique in the region.
MovePlan make_move_plan(const FoundPlan& found, const std::string& id, std::int64_t wall_ms,
                        sched::ClusterState& cluster);

}  // namespace cranklock::defrag
