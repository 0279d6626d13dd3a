#include "defrag/plan_journal.hpp"

#include <vector>

#include "defrag/move_budget.hpp"

namespace cranklock::defrag {

bool PlanJournal::is_durable() const {
  return wanted_.plan && stored_.plan && stored_.plan->id == wanted_.plan->id;
}

bool PlanJournal::is_stop_durable(std::size_t move) const {
  if (!is_durable()) return false;
  const MoveStep step = stored_.plan->moves[move].step;
  return step != MoveStep::reserved && step != MoveStep::draining;
}

std::optional<MoveRecord> PlanJournal::pending_write() const {
  if (!wanted_.plan) {
    if (!stored_.plan) return std::nullopt;
    return wanted_;
  }
  if (!is_durable()) return wanted_;
  for (std::size_t i = 0; i < wanted_.plan->moves.size(); ++i) {
    if (wanted_.plan->moves[i].step == MoveStep::stopping && !is_stop_durable(i)) return wanted_;
  }
  return std::nullopt;
}

void PlanJournal::forget_past(std::int64_t wall_ms, double clock_error_s) {
  const double span_s = kBudgetSpan + 2 * clock_error_s;
  std::erase_if(wanted_.past, [&](const PastMove& move) {
    return static_cast<double>(wall_ms - move.begun_ms) / 1000 > span_s;
  });
}

}  // namespace cranklock::defrag
