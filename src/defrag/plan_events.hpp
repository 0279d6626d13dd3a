// What operators are told of the plan that is carried out. The leader writes each as a log line.
#pragma once

#include <cstddef>
#include <string>
#include <variant>

#include "defrag/move_plan.hpp"
#include "defrag/plan_check.hpp"

namespace cranklock::defrag {

/// A new leader goes on with a stored plan.
struct PlanTakenOver {
  std::string plan;
  std::string job;
  std::size_t moves = 0;
};

/// A plan was made; it is carried out once it is stored.
struct PlanBegun {
  MovePlan plan;
};

/// The waiting job has its room, and no move is under way.
struct PlanDone {
  std::string plan;
  std::string job;
  double took_s = 0;
};

struct PlanDropped {
  std::string plan;
  std::string job;
  double took_s = 0;
  std::size_t moves_undone = 0;
  DropReason reason = DropReason::disabled;
};

/// A move that was begun is over: its step is `done` or `diverted`.
struct MoveEnded {
  PlannedMove move;
  double took_s = 0;
};

using PlanEvent = std::variant<PlanTakenOver, PlanBegun, PlanDone, PlanDropped, MoveEnded>;

}  // namespace cranklock::defrag
