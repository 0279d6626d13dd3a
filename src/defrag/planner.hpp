// Plans moves that free capacity for tasks that could not be placed. Pure: no I/O, changes no
// state.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sched/cluster_state.hpp"
#include "wire/client_api.hpp"
#include "wire/types.hpp"

namespace cranklock::defrag {

/// A task placed on a machine.
struct HostedTask {
  wire::TaskName task;
  const wire::JobSpec* spec = nullptr;
  /// Seconds of work or service that a move costs, without fetching its image on the target; none
  /// if it must not move.
  std::optional<double> move_cost_s;
  /// May only move within its zone: the zone rules of its job count both copies during the move.
  bool zone_bound = false;
};

/// A machine, as far as planning needs it.
struct Host {
  std::string id;
  sched::MachineKind kind;
  wire::Resources free;
  std::vector<HostedTask> hosted_tasks;
  std::set<std::string> images;
  double fetch_gb_per_s = 1;
  /// Whether new tasks may be placed on it.
  bool accepts_tasks = true;
};

/// Waiting tasks of one job, to be placed together.
struct Demand {
  const wire::JobSpec* spec = nullptr;
  std::size_t tasks = 1;
};

/// Limits on a plan and on the search for it.
struct PlanLimits {
  std::size_t max_moves = 64;
  /// A plan that costs more is not worthwhile: waiting, for example for a machine to boot, costs
  /// less.
  double max_cost_s = 1e9;
  /// Maximum number of host evaluations over all searches; limits the planning time.
  std::size_t max_evaluated_hosts = 1'000'000;
};

/// The move of one hosted task to another machine. Resources on the target are taken before those
/// on the source are freed.
struct Move {
  std::size_t from = 0;         ///< index of the source host
  std::size_t hosted_task = 0;  ///< index on the source host
  std::size_t to = 0;           ///< index of the target host
  double cost_s = 0;
};

struct Plan {
  std::vector<std::size_t> places;  ///< for each task of the demand, the index of its host
  std::vector<Move> moves;
  double cost_s = 0;
};

enum class NoPlanReason {
  no_capacity,           ///< no permitted moves that the search found free enough capacity
  too_expensive,         ///< a plan was found, but it exceeds the limits
  search_limit_reached,  ///< the search ended at `max_evaluated_hosts`
};

struct PlanResult {
  std::optional<Plan> plan;
  NoPlanReason no_plan_reason = NoPlanReason::no_capacity;  ///< meaningful only without a plan
};

/// The cheapest plan that was found. Its cost is an upper bound of the optimum: the search is
/// greedy, with several preferences (docs/defragmentation.md compares it with the optimum).
///
/// A plan guarantees: each place has enough resources once the moves from its host are done; each
/// move fits its target beside everything there and everything else the plan places there, while
/// the old copy still runs; no machine is both source and target; machine types, zones, spot rules
/// and the zone rules of the demand are respected.
PlanResult plan_moves(const std::vector<Host>& hosts, const Demand& demand,
                      const PlanLimits& limits);

}  // namespace cranklock::defrag
