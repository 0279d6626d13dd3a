#include "defrag/plan_check.hpp"

#include <algorithm>
#include <map>
#include <string>

#include "defrag/move_progress.hpp"
#include "defrag/plan_search.hpp"
#include "sched/availability.hpp"

namespace cranklock::defrag {
namespace {

using sched::ClusterState;

bool is_in_progress(const PlannedMove& move) {
  return move.step != MoveStep::reserved && !is_over(move.step);
}

/// Whether the task of the move is still to be placed on its target.
bool needs_target_capacity(const PlannedMove& move) {
  return move.step != MoveStep::restarting && !is_over(move.step);
}

/// Whether the machine is schedulable and has these resources free.
bool has_capacity(ClusterState& cluster, const std::string& id, const wire::Resources& resources) {
  const auto* machine = cluster.machine(id);
  const auto* type = machine != nullptr ? cluster.type(machine->kind.type) : nullptr;
  return type != nullptr && sched::is_schedulable(cluster, *machine) &&
         resources.fits_in(type->resources - machine->allocated);
}

bool is_host_unavailable(ClusterState& cluster, const MovePlan& plan, const sched::Job& waiting,
                         const PlannedPlace& place) {
  const auto* machine = cluster.machine(place.machine);
  if (machine == nullptr || !sched::allows(waiting.spec, machine->kind)) return true;
  wire::Resources wanted = waiting.spec.resources * place.tasks;
  for (const auto& move : plan.moves) {
    if (move.source != place.machine || !is_on_source(cluster, move)) continue;
    wanted -= cluster.job(move.task.job)->spec.resources;
  }
  return !has_capacity(cluster, place.machine, wanted);
}

bool target_allows(ClusterState& cluster, const PlannedMove& move, const sched::Job& job) {
  const auto* target = cluster.machine(move.target);
  if (target == nullptr || !sched::allows(job.spec, target->kind)) return false;
  const auto* source = cluster.machine(move.source);
  const bool zone_bound = job.spec.one_zone || job.spec.spread;
  return !zone_bound || source == nullptr || source->kind.zone == target->kind.zone;
}

bool is_target_unavailable(ClusterState& cluster, const MovePlan& plan, bool placed) {
  std::map<std::string, wire::Resources> wanted;  // by target
  for (const auto& move : plan.moves) {
    const sched::Job* job = cluster.job(move.task.job);
    if (job == nullptr || !needs_target_capacity(move) || (placed && !is_in_progress(move)))
      continue;
    if (!target_allows(cluster, move, *job)) return true;
    wanted[move.target] += job->spec.resources;
  }
  return std::any_of(wanted.begin(), wanted.end(), [&](const auto& target) {
    return !has_capacity(cluster, target.first, target.second);
  });
}

/// The current cost of the moves that have not begun.
double remaining_cost(ClusterState& cluster, const MovePlan& plan, const MoveRules& rules,
                      double now) {
  double cost = 0;
  for (const auto& move : plan.moves) {
    if (move.step != MoveStep::reserved || !is_on_source(cluster, move)) continue;
    const sched::Job& job = *cluster.job(move.task.job);
    MoveRules unlimited = rules;
    unlimited.remaining_moves = nullptr;  // checked when the move begins
    const auto* placement = job.live_placement(move.task.index);
    cost += move_cost(cluster, job, *placement, unlimited, now).value_or(0);
  }
  return cost;
}

}  // namespace

const char* to_string(DropReason reason) {
  switch (reason) {
    case DropReason::job_ended:
      return "job ended";
    case DropReason::no_gain:
      return "no gain";
    case DropReason::too_expensive:
      return "too expensive";
    case DropReason::timed_out:
      return "timed out";
    case DropReason::host_unavailable:
      return "host unavailable";
    case DropReason::target_unavailable:
      return "target unavailable";
    case DropReason::drain_refused:
      return "drain refused";
    case DropReason::drain_late:
      return "drain late";
    case DropReason::disabled:
      return "disabled";
  }
  return "";
}

double max_plan_duration_s(const base::Settings& settings) {
  return 2 * settings.cancel_s;
}

bool is_waiting_job_placed(const sched::Job& job, const MovePlan& plan) {
  if (job.spec.kind == wire::JobKind::gang) return job.live_count() > 0;
  if (job.pending_count() == 0) return true;
  return std::any_of(job.placements.begin(), job.placements.end(), [&](const auto& placement) {
    if (placement.ended) return false;
    return std::any_of(plan.places.begin(), plan.places.end(), [&](const PlannedPlace& place) {
      return place.machine == placement.machine;
    });
  });
}

std::optional<DropReason> drop_reason_by_records(ClusterState& cluster, const MovePlan& plan,
                                                 bool placed, std::int64_t wall_ms, double now) {
  // If this leader's wall clock is behind that of the leader that began the plan, the plan times
  // out later by the difference.
  const double age_s = static_cast<double>(wall_ms - plan.begun_ms) / 1000;
  if (age_s > max_plan_duration_s(cluster.settings())) return DropReason::timed_out;
  if (placed) return std::nullopt;
  const sched::Job* waiting = cluster.job(plan.job);
  if (waiting == nullptr || waiting->cancelled()) return DropReason::job_ended;
  if (!waits_only_for_capacity(cluster, *waiting, now)) return DropReason::no_gain;
  return std::nullopt;
}

std::optional<DropReason> drop_reason_by_fleet(ClusterState& cluster, const MovePlan& plan,
                                               bool placed, const MoveRules& rules, double now) {
  if (is_target_unavailable(cluster, plan, placed)) return DropReason::target_unavailable;
  if (placed) return std::nullopt;
  const sched::Job& waiting = *cluster.job(plan.job);
  if (has_booting_capacity(cluster, waiting)) return DropReason::no_gain;
  const bool any_host_unavailable =
      std::any_of(plan.places.begin(), plan.places.end(), [&](const PlannedPlace& place) {
        return is_host_unavailable(cluster, plan, waiting, place);
      });
  if (any_host_unavailable) return DropReason::host_unavailable;
  const bool too_expensive =
      plan.boot_s > 0 && remaining_cost(cluster, plan, rules, now) >= plan.boot_s;
  if (too_expensive) return DropReason::too_expensive;
  return std::nullopt;
}

}  // namespace cranklock::defrag
