#include "defrag/advisor.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <tuple>

#include "defrag/fleet_view.hpp"
#include "sched/placement.hpp"

namespace cranklock::defrag {
namespace {

/// Tasks of it that would have to be placed together.
std::size_t tasks_at_once(const sched::Job& job) {
  return job.spec.shape == wire::Shape::gang ? job.spec.tasks : 1;
}

Advice name_moves(const sched::Job& job, const std::vector<Host>& hosts, const Plan& plan) {
  Advice advice{job.spec.id, {}, plan.cost_s};
  for (const auto& move : plan.moves) {
    const Host& from = hosts[move.from];
    advice.moves.push_back({from.residents[move.resident].task, from.id, hosts[move.to].id});
  }
  return advice;
}

}  // namespace

double Advisor::boot_s(const sched::Job& job) const {
  double least = 0;
  for (const auto& [name, type] : cluster_.types()) {
    const auto& allowed = job.spec.types;
    const bool fits =
        allowed.empty() || std::find(allowed.begin(), allowed.end(), name) != allowed.end();
    if (fits && (least <= 0 || type.ready_s < least)) least = type.ready_s;
  }
  return least;
}

bool Advisor::waits_for_room(const sched::Job& job, double now) const {
  if (job.withdrawn() || job.complete() || !job.needs_met || job.backoff_until > now) return false;
  if (job.pending_count() == 0 || now - job.known_since < boot_s(job)) return false;
  // The old attempt of a gang must be gone entirely before the next begins.
  if (job.spec.shape == wire::Shape::gang && job.live() > 0) return false;
  const auto tasks = static_cast<double>(tasks_at_once(job));
  return sched::within_limit(cluster_, job.spec.team, job.spec.room * tasks);
}

const sched::Job* Advisor::most_entitled(double now) const {
  const auto order = [](const sched::Job& job) {
    return std::tuple(!job.guaranteed, job.urgency.rank, job.ready_ms);
  };
  const sched::Job* best = nullptr;
  for (const auto& [id, job] : cluster_.jobs()) {
    if (best != nullptr && order(job) >= order(*best)) continue;
    if (waits_for_room(job, now)) best = &job;
  }
  return best;
}

std::optional<Advice> Advisor::look(double now) {
  if (now < next_look_) return std::nullopt;
  next_look_ = now + every_s_;
  const sched::Job* job = most_entitled(now);
  if (job == nullptr) return std::nullopt;
  const auto hosts = view_fleet(cluster_, now);
  const Demand demand{&job->spec, tasks_at_once(*job)};
  // On a whole core a million looks take some tens of milliseconds; a smaller share looks less far.
  constexpr double kLooksOnACore = 500'000;
  PlanLimits limits;
  limits.most_looks = static_cast<std::size_t>(kLooksOnACore * cluster_.settings().core_share);
  limits.most_cost_s = boot_s(*job) * static_cast<double>(demand.tasks);
  const auto planned = plan_moves(hosts, demand, limits);
  // Without a move there is room already: the next placement pass uses it.
  if (!planned.plan || planned.plan->moves.empty()) return std::nullopt;
  return name_moves(*job, hosts, *planned.plan);
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
