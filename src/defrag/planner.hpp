// Plans of moves that make room for work which found none. Pure: no I/O, nothing is changed.
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

/// A task on a machine.
struct Resident {
  wire::TaskName task;
  const wire::JobSpec* spec = nullptr;
  /// Seconds of its work or service that a move costs, without the fetch of its image; none: it
  /// stays.
  std::optional<double> move_cost_s;
  /// It may only move within its zone: the job's zone rules count both copies while it moves.
  bool zone_bound = false;
};

/// A machine, as far as plans concern it.
struct Host {
  std::string id;
  sched::MachineKind kind;
  wire::Resources free;
  std::vector<Resident> residents;
  std::set<std::string> images;
  double fetch_gb_per_s = 1;
  /// New work may be put on it.
  bool receives = true;
};

/// Tasks of one job that wait, all to be placed at once.
struct Demand {
  const wire::JobSpec* spec = nullptr;
  std::size_t tasks = 1;
};

/// What a plan may cost, and how long it may be looked for.
struct PlanLimits {
  std::size_t max_moves = 64;
  /// A plan that costs more is not worth it: waiting, for a boot say, would cost less.
  double max_cost_s = 1e9;
  /// Machines looked at, all searches together; bounds the planner's time.
  std::size_t max_candidates = 1'000'000;
};

/// One resident's way to another machine. The room there is taken before the old room is free.
struct Move {
  std::size_t from = 0;      ///< index of the host
  std::size_t resident = 0;  ///< index on that host
  std::size_t to = 0;
  double cost_s = 0;
};

struct Plan {
  std::vector<std::size_t> places;  ///< a host for each task of the demand, by index
  std::vector<Move> moves;
  double cost_s = 0;
};

enum class NoPlan {
  no_room,      ///< nothing that may be moved makes enough room, as far as was looked
  too_dear,     ///< there is a plan, above the limits
  looked_long,  ///< the search ended at its bound
};

struct Planned {
  std::optional<Plan> plan;
  NoPlan why = NoPlan::no_room;  ///< where there is none
};

/// The cheapest plan that was found. It is an estimate from above: the search is greedy, from
/// several beginnings (docs/defragmentation.md tells how far from the best it is).
///
/// A plan keeps this: every place has its room once the moves of its host are done; every move fits
/// its target beside all that is there and all else the plan puts there, while the old copy still
/// runs; no machine both gives and takes; types, zones, spot machines, and the demand's zone rules
/// hold.
Planned plan_moves(const std::vector<Host>& hosts, const Demand& demand, const PlanLimits& limits);

}  // namespace cranklock::defrag
