// Events of the current plan that are reported to operators. The leader logs each one.
#pragma once

#include <cstddef>
#include <string>
#include <variant>

#include "defrag/move_plan.hpp"
#include "defrag/plan_check.hpp"

namespace cranklock::defrag {

/// A new leader continues a stored plan.
struct PlanTakenOver {
  std::string plan;
  std::string job;
  std::size_t moves = 0;
};

/// A plan was created; its moves begin once it is stored.
struct PlanBegun {
  MovePlan plan;
};

/// The waiting job is placed, and no task is between its stop and its restart on the target.
struct PlanDone {
  std::string plan;
  std::string job;
  double took_s = 0;
};

struct PlanDropped {
  std::string plan;
  std::string job;
  double took_s = 0;
  std::size_t moves_undone = 0;  ///< moves that are not at step `done`
  DropReason reason = DropReason::disabled;
};

/// A move that had begun ended at step `done` or `diverted`.
struct MoveEnded {
  PlannedMove move;
  double took_s = 0;
};

using PlanEvent = std::variant<PlanTakenOver, PlanBegun, PlanDone, PlanDropped, MoveEnded>;

}  // namespace cranklock::defrag
