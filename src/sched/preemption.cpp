#include "sched/preemption.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "sched/availability.hpp"

namespace cranklock::sched {

void Preemptor::preempt_for(const Job& job) {
  if (job.spec.kind == wire::JobKind::gang) return preempt_for_gang(job);
  ZoneCount zones = count_zones(candidates_.cluster(), job);
  FailedSearches& failed = failed_searches_[{job.spec.team, job.urgency.priority, job.guaranteed}];
  candidates_.clear_blocked_by_reservation();
  if (failed.rule_out(candidates_.cluster(), job)) return;
  wire::Resources planned;
  for (auto missing = job.pending_count(); missing > 0; --missing) {
    if (candidates_.examined() >= max_examined_) return;
    planned += job.spec.resources;
    if (!within_quota_limit(candidates_.cluster(), job.spec.team, planned)) return;
    const auto choice = choose_preemption(job, zones, "", {});
    if (!choice) return failed.record(candidates_, job);
    zones.add(choice->candidate->kind.zone);
    preempt_victims(job, *choice);
  }
}

// All of the gang or nothing: in the zone where least is lost by preempting for every task.
void Preemptor::preempt_for_gang(const Job& job) {
  std::vector<Choice> best;
  double best_loss = std::numeric_limits<double>::infinity();
  for (const auto& zone : gang_zones(candidates_, job.spec)) {
    if (candidates_.examined() >= max_examined_) break;
    auto choices = choose_for_gang(job, zone);
    if (choices.size() < job.spec.tasks) continue;
    double loss = 0;
    for (const auto& choice : choices) loss += choice.loss;
    if (loss >= best_loss) continue;
    best = std::move(choices);
    best_loss = loss;
  }
  for (const auto& choice : best) preempt_victims(job, choice);
}

/// A choice for each task of the gang, or for as many as there is one for. Takes nothing.
std::vector<Preemptor::Choice> Preemptor::choose_for_gang(const Job& job,
                                                          const std::string& only_zone) {
  std::vector<Choice> choices;
  std::set<Candidate*> preempted_on;  // each machine's victims are chosen for one task only
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

/// The machine on which room for one task of the job loses least. The first on which what is being
/// released suffices is taken at once.
std::optional<Preemptor::Choice> Preemptor::choose_preemption(
    const Job& job, const ZoneCount& zones, const std::string& only_zone,
    const std::set<Candidate*>& excluded) {
  std::optional<Choice> best;
  const bool may_have_victims = placed_.any_preemptible_by(job);
  candidates_.record_search();
  for (auto& candidate : candidates_.schedulable()) {
    const wire::Resources available =
        candidates_.available_to(job, candidate) + candidate.releasing;
    const bool fits = job.spec.resources.fits_in(available);
    if (!may_have_victims && !fits) continue;
    if (candidate.nominated_for != nullptr && candidate.nominated_for != &job) continue;
    if (!allows(job.spec, candidate.kind)) continue;
    if (!zone_rules_allow(job.spec, zones, candidate.kind.zone)) continue;
    if (!only_zone.empty() && candidate.kind.zone != only_zone) continue;
    if (excluded.contains(&candidate)) continue;
    if (fits) return Choice{&candidate, {}, 0};
    auto choice = choose_victims(job, candidate, available);
    if (choice && (!best || choice->loss < best->loss)) best = std::move(choice);
  }
  return best;
}

/// The victims on one machine that free enough for a task, beyond what is available; none if all of
/// them would not do.
std::optional<Preemptor::Choice> Preemptor::choose_victims(const Job& job, Candidate& candidate,
                                                           wire::Resources available) const {
  Choice choice{&candidate, {}, 0};
  for (const auto& victim : victims_on(job, candidate)) {
    if (job.spec.resources.fits_in(available)) break;
    available += victim.job->spec.resources;
    choice.loss += 1 + victim.lost_work_s;
    choice.victims.push_back(victim);
  }
  if (!job.spec.resources.fits_in(available)) return std::nullopt;
  return choice;
}

/// What may be stopped on a machine for a job: the lowest priority and least lost work first. A
/// gang of several tasks is not preempted, and a start that is not durable is not stopped.
std::vector<Preemptor::Victim> Preemptor::victims_on(const Job& job,
                                                     const Candidate& candidate) const {
  std::vector<Victim> victims;
  for (const auto& held : candidate.machine->tasks) {
    Job* victim = held.job;
    if (victim->cancelled() || !may_preempt(job, *victim)) continue;
    if (victim->spec.kind == wire::JobKind::gang && victim->spec.tasks > 1) continue;
    Placement& placement = held.placement();
    if (placement.stop_requested || !placement.durable()) continue;
    victims.push_back({lost_work_s(*victim, placement), victim, &placement});
  }
  std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    return std::pair(b.job->urgency.priority, a.lost_work_s) <
           std::pair(a.job->urgency.priority, b.lost_work_s);
  });
  return victims;
}

/// Seconds of work that a stop costs: a replica's absence, which is noticed at once, and otherwise
/// what was not saved.
double Preemptor::lost_work_s(const Job& victim, const Placement& placement) const {
  if (victim.spec.kind == wire::JobKind::service) return candidates_.cluster().settings().cancel_s;
  const double ran = placement.running_since > 0 ? now_ - placement.running_since : 0;
  const bool checkpoints = victim.spec.checkpoint_interval_s > 0;
  return checkpoints ? std::min(ran, victim.spec.checkpoint_save_s) : ran;
}

/// Requests the stops of a choice, with time to save for what checkpoints, and counts the room as
/// the job's.
void Preemptor::preempt_victims(const Job& job, const Choice& choice) {
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
