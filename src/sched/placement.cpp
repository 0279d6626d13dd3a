#include "sched/placement.hpp"

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

// Guards against a pass that holds up heartbeats, users and the renewal of the leader lease: a
// burst, or the loss of many machines, is dealt with in several passes, the most entitled work
// first.
constexpr int kMaxPlacedPerPass = 400;  // tasks
/// Searches for preemption, each through all schedulable machines.
constexpr std::size_t kMaxPreemptionSearches = 100;

/// One placement pass: serves the waiting jobs in order and hands what finds no machine on to
/// preemption and to the shortfall.
class PlacementPass {
 public:
  PlacementPass(ClusterState& cluster, const std::map<MachineKind, double>& refused_until,
                double now)
      : cluster_(cluster), refused_until_(refused_until), now_(now), candidates_(cluster) {}

  PassResult run() {
    place_rescheduled();
    const WaitingQueue queue = queue_waiting_jobs(cluster_, now_);
    result_.incomplete = !place_all(queue.jobs);
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
  bool place_all(const std::vector<Job*>& jobs);
  void place(Job& job);
  void place_gang(Job& job, const std::vector<std::uint32_t>& tasks);
  void place_tasks(Job& job, const std::vector<std::uint32_t>& tasks);
  void start_on(Candidate& candidate, Job& job, std::uint32_t task, std::uint64_t attempt);
  void preempt_for_unplaced(const PlacedPriorities& placed);
  void estimate_shortfall();

  ClusterState& cluster_;
  const std::map<MachineKind, double>& refused_until_;
  double now_;
  CandidateSet candidates_;
  FailedSearches failed_searches_;
  std::vector<Job*> unplaced_;  ///< in the order of the queue
  PassResult result_;
};

// Tasks that a plan has stopped go to their targets before anything else is placed. Guards against
// their team's limit, which was theirs until just now, going to another job of the team, and
// against other tasks of the same job that wait.
void PlacementPass::place_rescheduled() {
  const auto reservations = candidates_.reservations();  // a copy: fulfilling one removes it
  for (const Reservation* reservation : reservations) {
    if (!reservation->task) continue;
    Candidate* target = candidates_.find(reservation->machine);
    if (target == nullptr) continue;
    Job& job = *cluster_.job(reservation->job);
    if (!may_reschedule(job, *reservation->task, *target)) continue;
    start_on(*target, job, *reservation->task, job.last_attempt + 1);
    candidates_.fulfil(reservation);
  }
}

/// A plan grants nothing (invariant 17): a move's start is an ordinary start, and checked as one.
bool PlacementPass::may_reschedule(const Job& job, std::uint32_t task, const Candidate& target) {
  if (job.cancelled() || !job.dependencies_met || job.retry.backoff_until > now_ ||
      !job.is_pending(task)) {
    return false;
  }
  return job.live_count() < max_live_tasks(cluster_.settings()) &&
         within_quota_limit(cluster_, job.spec.team, job.spec.resources) &&
         allows(job.spec, target.kind) &&
         zone_rules_allow(job.spec, count_zones(cluster_, job), target.kind.zone) &&
         job.spec.resources.fits_in(target.free);
}

/// False if it stopped early, having placed as many tasks as a pass may.
bool PlacementPass::place_all(const std::vector<Job*>& jobs) {
  for (Job* job : jobs) {
    place(*job);
    if (result_.placed >= kMaxPlacedPerPass) return false;
  }
  return true;
}

void PlacementPass::place(Job& job) {
  // More live tasks would not fit the job's record; the rest waits its turn.
  const std::size_t max_live = max_live_tasks(cluster_.settings());
  const std::size_t live = job.live_count();
  const auto tasks = job.pending_tasks(live < max_live ? max_live - live : 0);
  if (tasks.empty()) return;
  if (job.spec.kind == wire::JobKind::gang) {
    place_gang(job, tasks);
  } else {
    place_tasks(job, tasks);
  }
}

/// Places all tasks of the gang under one attempt number, or none.
void PlacementPass::place_gang(Job& job, const std::vector<std::uint32_t>& tasks) {
  // The old attempt must be gone entirely before the next begins.
  if (job.live_count() > 0 || tasks.size() != job.spec.tasks) return;
  if (!within_quota_limit(cluster_, job.spec.team, job.spec.resources * job.spec.tasks)) return;
  candidates_.clear_blocked_by_reservation();
  std::vector<Candidate*> chosen;
  if (!failed_searches_.rule_out(cluster_, job)) chosen = fit_gang(candidates_, job);
  if (chosen.empty()) {
    unplaced_.push_back(&job);
    nominate_gang_machines(candidates_, job, now_);
    return;
  }
  const std::uint64_t attempt = job.last_attempt + 1;
  for (std::size_t i = 0; i < tasks.size(); ++i) start_on(*chosen[i], job, tasks[i], attempt);
}

/// Places as many of the tasks as the team's limit and the machines allow.
void PlacementPass::place_tasks(Job& job, const std::vector<std::uint32_t>& tasks) {
  ZoneCount zones = count_zones(cluster_, job);
  Candidate* candidate = nullptr;
  for (const auto task : tasks) {
    if (!within_quota_limit(cluster_, job.spec.team, job.spec.resources)) return;
    // Where one task fits best the next does too, as long as it fits: less is left over there.
    if (candidate == nullptr || job.spec.spread ||
        !job.spec.resources.fits_in(candidates_.available_to(job, *candidate))) {
      candidates_.clear_blocked_by_reservation();
      candidate = failed_searches_.rule_out(cluster_, job) ? nullptr
                                                           : find_best_fit(candidates_, job, zones);
    }
    if (candidate == nullptr) {
      failed_searches_.record(candidates_, job);
      unplaced_.push_back(&job);
      nominate_machine(candidates_, job, now_);
      return;
    }
    zones.add(candidate->kind.zone);
    start_on(*candidate, job, task, job.last_attempt + 1);
  }
}

void PlacementPass::start_on(Candidate& candidate, Job& job, std::uint32_t task,
                             std::uint64_t attempt) {
  cluster_.add_placement(job, task, attempt, candidate.machine->id, now_);
  candidate.free -= job.spec.resources;
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
    // What a plan of moves makes room for needs no machine beside it.
    if (!cluster_.reservations().any_for_waiting(job->spec.id)) estimator.add_pending(*job);
  }
  estimator.add_unreachable();
  result_.shortfall = estimator.take();
}

}  // namespace

PassResult place_waiting(ClusterState& cluster, const std::map<MachineKind, double>& refused_until,
                         double now) {
  return PlacementPass(cluster, refused_until, now).run();
}

}  // namespace cranklock::sched
