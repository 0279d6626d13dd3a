#include "defrag/advisor.hpp"

#include <spdlog/fmt/fmt.h>

namespace cranklock::defrag {
namespace {

Advice name_moves(const FoundPlan& found) {
  Advice advice{found.job->spec.id, {}, found.plan.cost_s};
  for (const auto& move : found.plan.moves) {
    const Host& from = found.hosts[move.from];
    advice.moves.push_back({from.residents[move.resident].task, from.id, found.hosts[move.to].id});
  }
  return advice;
}

}  // namespace

std::optional<Advice> Advisor::look(double now) {
  if (now < next_look_) return std::nullopt;
  next_look_ = now + every_s_;
  const auto any_job = [](const sched::Job&) { return true; };
  const auto found = find_plan(cluster_, {}, any_job, now);
  if (!found) return std::nullopt;
  return name_moves(*found);
}

std::string to_string(const Advice& advice) {
  std::string moves;
  for (const auto& move : advice.moves) {
    moves += fmt::format("{}{} from {} to {}", moves.empty() ? "" : ", ",
                         wire::to_string(move.task), move.from, move.to);
  }
  return fmt::format("{} moves would make room for job {}, at {:.0f} s of work: {}",
                     advice.moves.size(), advice.job, advice.cost_s, moves);
}

}  // namespace cranklock::defrag
