#include "sched/preemption.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "sched/availability.hpp"
#include "sched/best_fit.hpp"

namespace cranklock::sched {

void Preemptor::preempt_for(const Job& job) {
  if (job.spec.kind == wire::JobKind::gang) return preempt_for_gang(job);
  ZoneCount zones = count_zones(candidates_.cluster(), job);
  FailedSearches& failed = failed_searches_[{job.spec.team, job.urgency.priority, job.guaranteed}];
  candidates_.begin_search();
  if (failed.rules_out(candidates_.cluster(), job)) return;
  wire::Resources planned;
  for (auto remaining = job.pending_count(); remaining > 0; --remaining) {
    if (candidates_.examined() >= max_examined_) return;
    planned += job.spec.resources;
    if (!within_quota_limit(candidates_.cluster(), job.spec.team, planned)) return;
    const auto choice = choose_preemption(job, zones, "", {});
    if (!choice) {
      // The nominee itself may need a machine that others were kept from.
      if (!candidates_.blocked_by_nomination()) failed.record(candidates_, job);
      return;
    }
    zones.add(choice->candidate->kind.zone);
    preempt_victims(job, *choice);
  }
}

// Preempts for all tasks of the gang or for none, in the zone with the lowest total cost.
void Preemptor::preempt_for_gang(const Job& job) {
  std::vector<PreemptionChoice> best;
  double best_cost_s = std::numeric_limits<double>::infinity();
  for (const auto& zone : gang_zones(candidates_, job.spec)) {
    if (candidates_.examined() >= max_examined_) break;
    auto choices = choose_for_gang(job, zone);
    if (choices.size() < job.spec.tasks) continue;
    double cost_s = 0;
    for (const auto& choice : choices) cost_s += choice.cost_s;
    if (cost_s >= best_cost_s) continue;
    best = std::move(choices);
    best_cost_s = cost_s;
  }
  for (const auto& choice : best) preempt_victims(job, choice);
}

/// Whether the resources that are free or being released suffice for all tasks of the gang, apart
/// from zone rules.
bool Preemptor::may_fit_without_victims(const Job& job, const std::string& only_zone) {
  std::uint32_t fitting = 0;
  candidates_.record_search();
  for (const auto& candidate : candidates_.schedulable()) {
    if (!only_zone.empty() && candidate.kind.zone != only_zone) continue;
    if (!allows(job.spec, candidate.kind)) continue;
    const auto available = candidates_.available_to(job, candidate) + candidate.releasing;
    fitting += fitting_tasks(job.spec.resources, available);
    if (fitting >= job.spec.tasks) return true;
  }
  return false;
}

/// One choice for each task of the gang, fewer if there is none for some task. Leaves the free
/// resources of the candidates unchanged.
std::vector<Preemptor::PreemptionChoice> Preemptor::choose_for_gang(const Job& job,
                                                                    const std::string& only_zone) {
  if (!placed_.any_preemptible_by(job) && !may_fit_without_victims(job, only_zone)) return {};
  std::vector<PreemptionChoice> choices;
  std::set<Candidate*> preempted_on;  // a machine's victims are chosen for one task only
  ZoneCount zones;
  while (choices.size() < job.spec.tasks) {
    auto choice = choose_preemption(job, zones, only_zone, preempted_on);
    if (!choice) break;
    zones.add(choice->candidate->kind.zone);
    if (!choice->victims.empty()) preempted_on.insert(choice->candidate);
    choice->candidate->free -= job.spec.resources;
    choices.push_back(std::move(*choice));
  }
  for (const auto& choice : choices) choice.candidate->free += job.spec.resources;
  return choices;
}

/// Whether the machine is nominated for a job that this one may not preempt.
bool Preemptor::is_nominated_against(const Job& job, const Candidate& candidate) const {
  const Job* nominee = candidate.nominated_for;
  if (nominee == nullptr || nominee == &job || may_preempt(job, *nominee)) return false;
  candidates_.note_blocked_by_nomination();
  return true;
}

/// The machine on which freeing resources for one task of the job costs least. Returns at once if a
/// machine needs no victims because the resources being released suffice.
std::optional<Preemptor::PreemptionChoice> Preemptor::choose_preemption(
    const Job& job, const ZoneCount& zones, const std::string& only_zone,
    const std::set<Candidate*>& excluded) {
  std::optional<PreemptionChoice> best;
  const bool may_have_victims = placed_.any_preemptible_by(job);
  candidates_.record_search();
  for (auto& candidate : candidates_.schedulable()) {
    const wire::Resources available =
        candidates_.available_to(job, candidate) + candidate.releasing;
    const bool fits = job.spec.resources.fits_in(available);
    if (!may_have_victims && !fits) continue;
    if (is_nominated_against(job, candidate)) continue;
    if (!allows(job.spec, candidate.kind)) continue;
    if (!zone_rules_allow(job.spec, zones, candidate.kind.zone)) continue;
    if (!only_zone.empty() && candidate.kind.zone != only_zone) continue;
    if (excluded.contains(&candidate)) continue;
    if (candidates_.cluster().is_avoided(job, *candidate.machine, now_)) continue;
    if (fits) return PreemptionChoice{&candidate, {}, 0};
    auto choice = choose_victims(job, candidate, available);
    if (choice && (!best || choice->cost_s < best->cost_s)) best = std::move(choice);
  }
  return best;
}

/// The victims on one machine that, in addition to the available resources, free enough for a task;
/// none if all possible victims together do not suffice.
std::optional<Preemptor::PreemptionChoice> Preemptor::choose_victims(
    const Job& job, Candidate& candidate, wire::Resources available) const {
  PreemptionChoice choice{&candidate, {}, 0};
  for (const auto& victim : victims_on(job, candidate)) {
    if (job.spec.resources.fits_in(available)) break;
    available += victim.job->spec.resources;
    choice.cost_s += 1 + victim.lost_work_s;
    choice.victims.push_back(victim);
  }
  if (!job.spec.resources.fits_in(available)) return std::nullopt;
  return choice;
}

/// The tasks on a machine that may be preempted for a job, ordered by lowest priority, then least
/// lost work. Gangs of several tasks are not preempted, nor are placements that are not yet
/// durable.
std::vector<Preemptor::Victim> Preemptor::victims_on(const Job& job,
                                                     const Candidate& candidate) const {
  std::vector<Victim> victims;
  for (const auto& task : candidate.machine->tasks) {
    Job* victim = task.job;
    if (victim->cancelled() || !may_preempt(job, *victim)) continue;
    if (victim->spec.kind == wire::JobKind::gang && victim->spec.tasks > 1) continue;
    Placement& placement = task.placement();
    if (placement.stop_requested || !placement.durable()) continue;
    victims.push_back({lost_work_s(*victim, placement), victim, &placement});
  }
  std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    return std::pair(b.job->urgency.priority, a.lost_work_s) <
           std::pair(a.job->urgency.priority, b.lost_work_s);
  });
  return victims;
}

/// The work lost by a stop, in seconds: the time since the task began to run, but for a task with
/// checkpoints at most the time to save one, since it may save one before it stops. For a service
/// replica `cancel_s`, since its absence takes effect at once.
double Preemptor::lost_work_s(const Job& victim, const Placement& placement) const {
  if (victim.spec.kind == wire::JobKind::service) return candidates_.cluster().settings().cancel_s;
  const double ran = placement.running_since > 0 ? now_ - placement.running_since : 0;
  const bool checkpoints = victim.spec.checkpoint_interval_s > 0;
  return checkpoints ? std::min(ran, victim.spec.checkpoint_save_s) : ran;
}

/// Requests the stops of a choice, with a grace period for tasks that checkpoint, and allocates the
/// resources to the job for the rest of the pass.
void Preemptor::preempt_victims(const Job& job, const PreemptionChoice& choice) {
  choice.candidate->free -= job.spec.resources;
  for (const auto& victim : choice.victims) {
    const wire::JobSpec& spec = victim.job->spec;
    const double grace_s = spec.checkpoint_interval_s > 0 ? spec.checkpoint_save_s : 0;
    victim.placement->request_stop(grace_s, now_);
    choice.candidate->releasing += spec.resources;
    ++preempted_;
  }
}

}  // namespace cranklock::sched
