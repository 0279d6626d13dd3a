#include "sched/placement.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "sched/availability.hpp"
#include "sched/best_fit.hpp"
#include "sched/candidates.hpp"
#include "sched/failed_searches.hpp"
#include "sched/gang_placement.hpp"
#include "sched/nomination.hpp"
#include "sched/preemption.hpp"
#include "sched/shortfall_estimator.hpp"
#include "sched/waiting_queue.hpp"

namespace cranklock::sched {
namespace {

// A long pass would delay heartbeats, user requests and the renewal of the leader lease. A burst,
// or the loss of many machines, is therefore spread over several passes, most entitled jobs first.
constexpr int kMaxPlacedPerPass = 400;  // tasks
/// Preemption searches per pass; each examines all schedulable machines.
constexpr std::size_t kMaxPreemptionSearches = 100;
/// Machines that a pass examines for nominations.
constexpr std::size_t kMaxExaminedForNominations = 1'600'000;

/// Whether a placement of the job on the candidate is a retry after failures there.
bool is_retry(const Job& job, const Candidate& candidate) {
  return candidate.machine->quarantined() || job.avoids(candidate.machine->id);
}

/// One placement pass: places the waiting jobs in order, then passes those left unplaced to
/// preemption and to the shortfall estimate.
class PlacementPass {
 public:
  PlacementPass(ClusterState& cluster, const std::map<MachineKind, double>& refused_until,
                double now)
      : cluster_(cluster),
        refused_until_(refused_until),
        now_(now),
        candidates_(cluster),
        remaining_placements_(remaining_placements(cluster)) {}

  PassResult run() {
    place_rescheduled();
    const WaitingQueue queue = queue_waiting_jobs(cluster_, now_);
    result_.incomplete = !place_jobs(queue.jobs);
    if (!result_.incomplete) {
      preempt_for_unplaced(queue.placed);
      estimate_shortfall();
    }
    result_.candidates_examined = candidates_.examined();
    return std::move(result_);
  }

 private:
  void place_rescheduled();
  bool may_reschedule(const Job& job, std::uint32_t task, const Candidate& target);
  bool place_jobs(const std::vector<Job*>& jobs);
  void place_job(Job& job);
  void place_gang(Job& job, const std::vector<std::uint32_t>& tasks);
  void place_tasks(Job& job, const std::vector<std::uint32_t>& tasks);
  void nominate(const Job& job);
  Candidate* find_candidate(const Job& job, const ZoneCount& zones);
  void place_task(Candidate& candidate, Job& job, std::uint32_t task, std::uint64_t attempt);
  void preempt_for_unplaced(const PlacedPriorities& placed);
  void estimate_shortfall();

  ClusterState& cluster_;
  const std::map<MachineKind, double>& refused_until_;
  double now_;
  CandidateSet candidates_;
  std::size_t remaining_placements_;
  std::size_t examined_for_nominations_ = 0;
  FailedSearches failed_searches_;
  std::vector<Job*> unplaced_;  ///< in queue order
  PassResult result_;
};

// Tasks that a move plan has stopped are placed on their targets before anything else. Otherwise
// the team quota that they have just released could go to another job of the team, or their targets
// to other pending tasks of the same job.
void PlacementPass::place_rescheduled() {
  const auto reservations = candidates_.reservations();  // a copy, since fulfil() removes elements
  for (const Reservation* reservation : reservations) {
    if (!reservation->task) continue;
    Candidate* target = candidates_.find(reservation->machine);
    if (target == nullptr) continue;
    Job& job = *cluster_.job(reservation->job);
    if (!may_reschedule(job, *reservation->task, *target)) continue;
    place_task(*target, job, *reservation->task, job.last_attempt + 1);
    candidates_.fulfil(reservation);
  }
}

/// A move plan grants no privileges (invariant 17): the start of a moved task passes the same
/// checks as any other start.
bool PlacementPass::may_reschedule(const Job& job, std::uint32_t task, const Candidate& target) {
  if (!job.placeable(now_) || !job.is_pending(task)) return false;
  return job.live_count() < max_live_tasks(cluster_.settings()) &&
         within_quota_limit(cluster_, job.spec.team, job.spec.resources) &&
         allows(job.spec, target.kind) &&
         zone_rules_allow(job.spec, count_zones(cluster_, job), target.kind.zone) &&
         job.spec.resources.fits_in(target.free);
}

/// Returns false if it stopped early because the pass reached kMaxPlacedPerPass.
bool PlacementPass::place_jobs(const std::vector<Job*>& jobs) {
  for (Job* job : jobs) {
    place_job(*job);
    if (result_.placed >= kMaxPlacedPerPass) return false;
  }
  return true;
}

void PlacementPass::place_job(Job& job) {
  job.considered = true;
  // More live tasks would not fit into the job's record; the others stay pending.
  const std::size_t max_live = max_live_tasks(cluster_.settings());
  const std::size_t live = job.live_count();
  const std::size_t max_added =
      std::min(live < max_live ? max_live - live : 0, remaining_placements_);
  const auto tasks = job.pending_tasks(max_added);
  if (tasks.empty()) return;
  if (job.spec.kind == wire::JobKind::gang) {
    place_gang(job, tasks);
  } else {
    place_tasks(job, tasks);
  }
}

/// Places all tasks of the gang under one attempt number, or none.
void PlacementPass::place_gang(Job& job, const std::vector<std::uint32_t>& tasks) {
  // All tasks of the previous attempt must have ended before the next attempt begins.
  if (job.live_count() > 0 || tasks.size() != job.spec.tasks) return;
  if (!within_quota_limit(cluster_, job.spec.team, job.spec.resources * job.spec.tasks)) return;
  candidates_.begin_search();
  std::vector<Candidate*> chosen;
  if (!failed_searches_.rules_out(cluster_, job)) {
    chosen = fit_gang(candidates_, job);
    if (chosen.empty()) failed_searches_.record(candidates_, job);
  }
  if (chosen.empty()) chosen = fit_gang_for_retry(candidates_, job, now_);
  if (chosen.empty()) {
    unplaced_.push_back(&job);
    nominate(job);
    return;
  }
  const std::uint64_t attempt = job.last_attempt + 1;
  for (std::size_t i = 0; i < tasks.size(); ++i) place_task(*chosen[i], job, tasks[i], attempt);
}

/// Nominates machines for a job that was not placed, the most entitled jobs first.
void PlacementPass::nominate(const Job& job) {
  if (examined_for_nominations_ >= kMaxExaminedForNominations) return;
  if (!may_be_nominated(candidates_, job, now_)) return;
  examined_for_nominations_ += candidates_.schedulable().size();
  if (job.spec.kind == wire::JobKind::gang) {
    nominate_gang_machines(candidates_, job, now_);
  } else {
    nominate_machine(candidates_, job, now_);
  }
}

/// Places as many of the tasks as the team's quota and the free resources allow.
void PlacementPass::place_tasks(Job& job, const std::vector<std::uint32_t>& tasks) {
  ZoneCount zones = count_zones(cluster_, job);
  Candidate* candidate = nullptr;
  for (const auto task : tasks) {
    if (!within_quota_limit(cluster_, job.spec.team, job.spec.resources)) return;
    // The best fit for one task is also the best fit for the next one for as long as it fits, since
    // placing a task reduces the unused capacity there. A retry takes one task only.
    if (candidate == nullptr || job.spec.spread || is_retry(job, *candidate) ||
        !job.spec.resources.fits_in(candidates_.available_to(job, *candidate)) ||
        is_kept_for_nominee(*candidate, job)) {
      candidate = find_candidate(job, zones);
    }
    if (candidate == nullptr) {
      unplaced_.push_back(&job);
      nominate(job);
      return;
    }
    zones.add(candidate->kind.zone);
    place_task(*candidate, job, task, job.last_attempt + 1);
  }
}

/// A machine for one task of the job, one that has failed tasks only if there is no other; null if
/// there is none.
Candidate* PlacementPass::find_candidate(const Job& job, const ZoneCount& zones) {
  candidates_.begin_search();
  if (!failed_searches_.rules_out(cluster_, job)) {
    Candidate* best = find_best_fit(candidates_, job, zones);
    if (best != nullptr) return best;
    failed_searches_.record(candidates_, job);
  }
  return find_retry_fit(candidates_, job, zones, now_);
}

void PlacementPass::place_task(Candidate& candidate, Job& job, std::uint32_t task,
                               std::uint64_t attempt) {
  cluster_.add_placement(job, task, attempt, candidate.machine->id, now_);
  if (is_retry(job, candidate)) cluster_.record_retry(job, *candidate.machine, now_);
  allocate_task(candidate, job);
  remaining_placements_ -= std::min<std::size_t>(remaining_placements_, 1);
  ++result_.placed;
}

void PlacementPass::preempt_for_unplaced(const PlacedPriorities& placed) {
  const std::size_t budget = kMaxPreemptionSearches * candidates_.schedulable().size();
  Preemptor preemptor(candidates_, placed, candidates_.examined() + budget, now_);
  for (const Job* job : unplaced_) preemptor.preempt_for(*job);
  result_.preempted = preemptor.preempted();
}

void PlacementPass::estimate_shortfall() {
  ShortfallEstimator estimator(candidates_, refused_until_, now_);
  for (const Job* job : unplaced_) {
    // A move plan already frees resources for these jobs; they need no additional machines.
    if (!cluster_.reservations().any_for_pending_tasks(job->spec.id)) estimator.add_pending(*job);
  }
  estimator.add_unreachable();
  result_.shortfall = estimator.take();
}

}  // namespace

PassResult place_waiting_jobs(ClusterState& cluster,
                              const std::map<MachineKind, double>& refused_until, double now) {
  return PlacementPass(cluster, refused_until, now).run();
}

}  // namespace cranklock::sched
