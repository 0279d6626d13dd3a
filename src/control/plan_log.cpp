#include "control/plan_log.hpp"

#include <variant>

#include "base/event_log.hpp"
#include "wire/types.hpp"

namespace cranklock::control {
namespace {

using base::field;
using base::log_line;

std::string list_moves(const defrag::MovePlan& plan) {
  std::string list;
  for (const auto& move : plan.moves) {
    if (!list.empty()) list += ", ";
    list += wire::to_string(move.task) + " from " + move.source + " to " + move.target;
  }
  return list;
}

std::string format_event(const defrag::PlanTakenOver& event) {
  return log_line("plan taken over", field("plan", event.plan), field("job", event.job),
                  field("moves", event.moves));
}

std::string format_event(const defrag::PlanBegun& event) {
  const auto& plan = event.plan;
  return log_line(base::kPlanBegun, field("plan", plan.id), field("job", plan.job),
                  field("moves", plan.moves.size()), field("cost_s", plan.cost_s),
                  field("boot_s", plan.boot_s), field("list", list_moves(plan)));
}

std::string format_event(const defrag::PlanDone& event) {
  return log_line(base::kPlanDone, field("plan", event.plan), field("job", event.job),
                  field("took_s", event.took_s));
}

std::string format_event(const defrag::PlanDropped& event) {
  return log_line(base::kPlanDropped, field("plan", event.plan), field("job", event.job),
                  field("took_s", event.took_s), field("moves_undone", event.moves_undone),
                  field("reason", defrag::to_string(event.reason)));
}

std::string format_event(const defrag::MoveEnded& event) {
  const auto& move = event.move;
  const bool is_done = move.step == defrag::MoveStep::done;
  return log_line(is_done ? base::kMoveDone : "move diverted",
                  field("task", wire::to_string(move.task)), field("from", move.source),
                  field("to", move.target), field("took_s", event.took_s));
}

}  // namespace

std::string to_log_line(const defrag::PlanEvent& event) {
  return std::visit([](const auto& alternative) { return format_event(alternative); }, event);
}

}  // namespace cranklock::control
