#include "defrag/plan_search.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "sched/availability.hpp"
#include "wire/client_api.hpp"

namespace cranklock::defrag {
namespace {

/// The most entitled first, as placement orders waiting jobs.
auto entitlement(const sched::Job& job) {
  return std::tuple(!job.guaranteed, job.urgency.priority, job.ready_ms);
}

const sched::Job* most_entitled(sched::ClusterState& cluster,
                                const std::function<bool(const sched::Job&)>& eligible,
                                double now) {
  const sched::Job* best = nullptr;
  for (const auto& [id, job] : cluster.jobs()) {
    if (best != nullptr && entitlement(job) >= entitlement(*best)) continue;
    if (now - job.known_since < shortest_boot_s(cluster, job)) continue;
    if (waits_for_room(cluster, job, now) && eligible(job)) best = &job;
  }
  return best;
}

PlanLimits limits_for(const sched::ClusterState& cluster, double boot_s) {
  // On a whole core a million looks take some tens of milliseconds; a smaller share looks less far.
  constexpr double kLooksOnACore = 500'000;
  PlanLimits limits;
  limits.max_candidates = static_cast<std::size_t>(kLooksOnACore * cluster.settings().core_share);
  limits.max_cost_s = boot_s;
  return limits;
}

/// How many such tasks fit into so much room.
double tasks_that_fit(const wire::Resources& task, const wire::Resources& resources) {
  double tasks = wire::kMaxTasks;
  if (task.cpus > 0) tasks = std::min(tasks, std::floor(resources.cpus / task.cpus));
  if (task.gpus > 0) tasks = std::min(tasks, std::floor(resources.gpus / task.gpus));
  if (task.memory_gb > 0) tasks = std::min(tasks, std::floor(resources.memory_gb / task.memory_gb));
  return std::max(tasks, 0.0);
}

/// A job of which the plan moves more tasks than may move; nullptr: there is none.
const sched::Job* beyond_allowance(sched::ClusterState& cluster, const MoveRules& rules,
                                   const std::vector<Host>& hosts, const Plan& plan) {
  if (!rules.allowance) return nullptr;
  std::map<const sched::Job*, std::size_t> moved;
  for (const auto& move : plan.moves) {
    const sched::Job* job = cluster.job(hosts[move.from].residents[move.resident].task.job);
    if (++moved[job] > rules.allowance(*job)) return job;
  }
  return nullptr;
}

}  // namespace

std::size_t tasks_at_once(const sched::Job& job) {
  return job.spec.kind == wire::JobKind::gang ? job.spec.tasks : 1;
}

double shortest_boot_s(const sched::ClusterState& cluster, const sched::Job& job) {
  double least = 0;
  for (const auto& [name, type] : cluster.types()) {
    const auto& allowed = job.spec.types;
    const bool fits =
        allowed.empty() || std::find(allowed.begin(), allowed.end(), name) != allowed.end();
    if (fits && (least <= 0 || type.ready_s < least)) least = type.ready_s;
  }
  return least;
}

bool waits_for_room(const sched::ClusterState& cluster, const sched::Job& job, double now) {
  if (job.cancelled() || job.complete() || !job.dependencies_met || job.retry.backoff_until > now)
    return false;
  if (job.pending_count() == 0) return false;
  // The old attempt of a gang must be gone entirely before the next begins.
  if (job.spec.kind == wire::JobKind::gang && job.live_count() > 0) return false;
  const auto tasks = static_cast<double>(tasks_at_once(job));
  return sched::within_quota_limit(cluster, job.spec.team, job.spec.resources * tasks);
}

bool room_is_coming(sched::ClusterState& cluster, const sched::Job& job) {
  double tasks = 0;
  for (const auto& [id, machine] : cluster.machines()) {
    const auto* type = cluster.type(machine.kind.type);
    if (type == nullptr || machine.agent.heartbeat_received ||
        !sched::is_starting(cluster, machine))
      continue;
    if (!sched::allows(job.spec, machine.kind)) continue;
    tasks += tasks_that_fit(job.spec.resources, type->resources - machine.allocated);
  }
  return tasks >= static_cast<double>(tasks_at_once(job));
}

std::optional<FoundPlan> find_plan(sched::ClusterState& cluster, const MoveRules& rules,
                                   const std::function<bool(const sched::Job&)>& eligible,
                                   double now) {
  const sched::Job* job = most_entitled(cluster, eligible, now);
  if (job == nullptr) return std::nullopt;
  const Demand demand{&job->spec, tasks_at_once(*job)};
  const double boot_s = shortest_boot_s(cluster, *job) * static_cast<double>(demand.tasks);
  // A job that would have to move more than it may stays in the next try.
  constexpr int kTries = 3;
  std::set<const sched::Job*> stays;
  for (int tries = 0; tries < kTries; ++tries) {
    MoveRules allowed = rules;
    if (!stays.empty()) {
      allowed.allowance = [&](const sched::Job& other) {
        return stays.contains(&other) ? std::size_t{0} : rules.allowance(other);
      };
    }
    FoundPlan found{job, view_fleet(cluster, allowed, now), {}, boot_s};
    auto planned = plan_moves(found.hosts, demand, limits_for(cluster, boot_s));
    // Without a move there is room already: the next placement pass uses it.
    if (!planned.plan || planned.plan->moves.empty()) return std::nullopt;
    found.plan = std::move(*planned.plan);
    const sched::Job* beyond = beyond_allowance(cluster, rules, found.hosts, found.plan);
    if (beyond == nullptr) return found;
    stays.insert(beyond);
  }
  return std::nullopt;
}

MovePlan make_move_plan(const FoundPlan& found, const std::string& id, std::int64_t wall_ms,
                        sched::ClusterState& cluster) {
  MovePlan plan;
  plan.id = id;
  plan.job = found.job->spec.id;
  plan.begun_ms = wall_ms;
  plan.cost_s = found.plan.cost_s;
  plan.boot_s = found.boot_s;
  std::map<std::size_t, std::uint32_t> tasks_by_host;
  for (const auto host : found.plan.places) ++tasks_by_host[host];
  for (const auto& [host, tasks] : tasks_by_host) {
    plan.places.push_back({found.hosts[host].id, tasks});
  }
  for (const auto& move : found.plan.moves) {
    const Host& source = found.hosts[move.from];
    const auto& task = source.residents[move.resident].task;
    const auto* placement = cluster.job(task.job)->live_placement(task.index);
    plan.moves.push_back({task, placement->attempt, source.id, found.hosts[move.to].id});
  }
  return plan;
}

}  // namespace cranklock::defrag
