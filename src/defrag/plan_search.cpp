#include "defrag/plan_search.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "sched/availability.hpp"
#include "sched/best_fit.hpp"
#include "wire/client_api.hpp"

namespace cranklock::defrag {
namespace {

/// Sort key of waiting jobs, as in placement: the first job has the smallest key.
auto placement_order(const sched::Job& job) {
  return std::tuple(!job.guaranteed, job.urgency.priority, job.ready_ms);
}

const sched::Job* first_eligible_job(sched::ClusterState& cluster,
                                     const std::function<bool(const sched::Job&)>& eligible,
                                     double now) {
  const sched::Job* best = nullptr;
  for (const auto& [id, job] : cluster.jobs()) {
    if (best != nullptr && placement_order(job) >= placement_order(*best)) continue;
    if (now - job.known_since < shortest_boot_s(cluster, job)) continue;
    if (waits_only_for_capacity(cluster, job, now) && eligible(job)) best = &job;
  }
  return best;
}

PlanLimits limits_for(const sched::ClusterState& cluster, double boot_s) {
  // Evaluating a million hosts takes some tens of milliseconds on a whole core; a smaller CPU share
  // gets a smaller search limit.
  constexpr double kEvaluatedHostsPerCore = 500'000;
  PlanLimits limits;
  limits.max_evaluated_hosts =
      static_cast<std::size_t>(kEvaluatedHostsPerCore * cluster.settings().core_share);
  limits.max_cost_s = boot_s;
  return limits;
}

/// A job of which the plan moves more tasks than may move; nullptr if there is none.
const sched::Job* job_over_move_limit(sched::ClusterState& cluster, const MoveRules& rules,
                                      const std::vector<Host>& hosts, const Plan& plan) {
  if (!rules.remaining_moves) return nullptr;
  std::map<const sched::Job*, std::size_t> moved;
  for (const auto& move : plan.moves) {
    const sched::Job* job = cluster.job(hosts[move.from].hosted_tasks[move.hosted_task].task.job);
    if (++moved[job] > rules.remaining_moves(*job)) return job;
  }
  return nullptr;
}

}  // namespace

std::size_t tasks_placed_together(const sched::Job& job) {
  return job.spec.kind == wire::JobKind::gang ? job.spec.tasks : 1;
}

double shortest_boot_s(const sched::ClusterState& cluster, const sched::Job& job) {
  double shortest_s = 0;
  for (const auto& [name, type] : cluster.types()) {
    const auto& allowed = job.spec.types;
    const bool may_use =
        allowed.empty() || std::find(allowed.begin(), allowed.end(), name) != allowed.end();
    if (may_use && (shortest_s <= 0 || type.ready_s < shortest_s)) shortest_s = type.ready_s;
  }
  return shortest_s;
}

bool waits_only_for_capacity(const sched::ClusterState& cluster, const sched::Job& job,
                             double now) {
  if (!job.placeable(now) || job.pending_count() == 0) return false;
  // All tasks of a gang's previous attempt must have ended before the next attempt starts.
  if (job.spec.kind == wire::JobKind::gang && job.live_count() > 0) return false;
  const auto tasks = static_cast<double>(tasks_placed_together(job));
  return sched::within_quota_limit(cluster, job.spec.team, job.spec.resources * tasks);
}

bool has_booting_capacity(sched::ClusterState& cluster, const sched::Job& job) {
  std::size_t tasks = 0;
  for (const auto& [id, machine] : cluster.machines()) {
    const auto* type = cluster.type(machine.kind.type);
    if (type == nullptr || machine.agent.heartbeat_received ||
        !sched::is_starting(cluster, machine))
      continue;
    if (!sched::allows(job.spec, machine.kind)) continue;
    tasks += sched::fitting_tasks(job.spec.resources, type->resources - machine.allocated);
  }
  return tasks >= tasks_placed_together(job);
}

std::optional<FoundPlan> find_plan(sched::ClusterState& cluster, const MoveRules& rules,
                                   const std::function<bool(const sched::Job&)>& eligible,
                                   double now) {
  const sched::Job* job = first_eligible_job(cluster, eligible, now);
  if (job == nullptr) return std::nullopt;
  const Demand demand{&job->spec, tasks_placed_together(*job)};
  const double boot_s = shortest_boot_s(cluster, *job) * static_cast<double>(demand.tasks);
  // A job that the plan moves beyond its limit is excluded from moving in the next search.
  constexpr int kMaxSearches = 3;
  std::set<const sched::Job*> excluded_jobs;
  for (int searches = 0; searches < kMaxSearches; ++searches) {
    MoveRules allowed = rules;
    if (!excluded_jobs.empty()) {
      allowed.remaining_moves = [&](const sched::Job& other) {
        return excluded_jobs.contains(&other) ? std::size_t{0} : rules.remaining_moves(other);
      };
    }
    FoundPlan found{job, view_fleet(cluster, allowed, now), {}, boot_s};
    auto result = plan_moves(found.hosts, demand, limits_for(cluster, boot_s));
    // A plan without moves means that capacity is already free: the next placement pass uses it.
    if (!result.plan || result.plan->moves.empty()) return std::nullopt;
    found.plan = std::move(*result.plan);
    const sched::Job* over_limit = job_over_move_limit(cluster, rules, found.hosts, found.plan);
    if (over_limit == nullptr) return found;
    excluded_jobs.insert(over_limit);
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
    const auto& task = source.hosted_tasks[move.hosted_task].task;
    const auto* placement = cluster.job(task.job)->live_placement(task.index);
    plan.moves.push_back({task, placement->attempt, source.id, found.hosts[move.to].id});
  }
  return plan;
}

}  // namespace cranklock::defrag
