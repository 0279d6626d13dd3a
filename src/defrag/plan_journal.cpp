#include "defrag/plan_journal.hpp"

#include <vector>

#include "defrag/move_budget.hpp"

namespace cranklock::defrag {

bool PlanJournal::is_durable() const {
  return desired_.plan && stored_.plan && stored_.plan->id == desired_.plan->id;
}

bool PlanJournal::is_stop_durable(std::size_t move) const {
  if (!is_durable()) return false;
  const MoveStep step = stored_.plan->moves[move].step;
  return step != MoveStep::reserved && step != MoveStep::draining;
}

std::optional<MoveRecord> PlanJournal::pending_write() const {
  if (!desired_.plan) {
    if (!stored_.plan) return std::nullopt;
    return desired_;
  }
  if (!is_durable()) return desired_;
  for (std::size_t i = 0; i < desired_.plan->moves.size(); ++i) {
    if (desired_.plan->moves[i].step == MoveStep::stopping && !is_stop_durable(i)) return desired_;
  }
  return std::nullopt;
}

void PlanJournal::prune_past_moves(std::int64_t wall_ms, double clock_error_s) {
  const double window_s = kBudgetWindowS + 2 * clock_error_s;
  std::erase_if(desired_.past, [&](const PastMove& move) {
    return static_cast<double>(wall_ms - move.begun_ms) / 1000 > window_s;
  });
}

}  // namespace cranklock::defrag
