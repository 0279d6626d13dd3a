#include "defrag/advisor.hpp"

#include "base/event_log.hpp"

namespace cranklock::defrag {
namespace {

Advice make_advice(const FoundPlan& found) {
  Advice advice{found.job->spec.id, {}, found.plan.cost_s};
  for (const auto& move : found.plan.moves) {
    const Host& from = found.hosts[move.from];
    advice.moves.push_back(
        {from.hosted_tasks[move.hosted_task].task, from.id, found.hosts[move.to].id});
  }
  return advice;
}

}  // namespace

std::optional<Advice> Advisor::find_advice(double now) {
  if (now < next_search_at_) return std::nullopt;
  next_search_at_ = now + interval_s_;
  const auto any_job = [](const sched::Job&) { return true; };
  const auto found = find_plan(cluster_, {}, any_job, now);
  if (!found) return std::nullopt;
  return make_advice(*found);
}

std::string to_log_line(const Advice& advice) {
  std::string list;
  for (const auto& move : advice.moves) {
    if (!list.empty()) list += ", ";
    list += wire::to_string(move.task) + " from " + move.from + " to " + move.to;
  }
  return base::log_line("moves advised", base::field("job", advice.job),
                        base::field("moves", advice.moves.size()),
                        base::field("cost_s", advice.cost_s), base::field("list", list));
}

}  // namespace cranklock::defrag
