#include "sched/failure_tracker.hpp"

#include <algorithm>
#include <cstdint>

namespace cranklock::sched {

namespace {

/// Number of failed rounds after which the backoff stops growing.
constexpr int kMaxBackoffRounds = 5;
/// A machine is considered faulty if at least this many jobs fail on it, and a job if it fails on
/// at least this many machines.
constexpr std::size_t kFaultThreshold = 2;
/// Time for which a running task must not fail to show that its machine works, in leases.
constexpr double kHealthyRunLeases = 0.5;
/// The first delay before a retry on a faulty machine, in leases; it doubles with each failure.
constexpr double kFirstRetryLeases = 0.5;
/// The longest such delay, as a share of `cancel_s`.
constexpr double kMaxRetryDelayShare = 0.5;
/// Doublings after which the delay certainly exceeds its maximum.
constexpr int kMaxRetryDoublings = 10;
/// A quarantined machine is left for so long to jobs that have not failed on it. Otherwise the
/// retries of a few crash-looping jobs could keep it quarantined.
constexpr double kPrecedenceHeartbeats = 2;

/// `job_has_succeeded`: a task of the failed job has completed before, so its failure on this
/// machine is attributed to the machine.
void update_quarantine(MachineFaults& faults, bool job_has_succeeded, double now) {
  const bool suspected = faults.failed_jobs.size() >= kFaultThreshold;
  if (faults.quarantine == Quarantine::none && (job_has_succeeded || suspected)) {
    faults.quarantine = Quarantine::suspected;
    faults.quarantined_since = now;
  }
  if (job_has_succeeded) faults.quarantine = Quarantine::confirmed;
}

void clear_failures(Job& job) {
  job.retry.failed_rounds = 0;
  job.retry.earlier_failed_rounds = 0;
  job.retry.same_machine = {};
  job.retry.failed_machines.clear();
}

}  // namespace

void FailureTracker::record_error(Job& job, Machine& machine, double now) {
  job.retry.failed_machines.insert(machine.id);
  job.retry.same_machine_works = false;
  if (job.crash_looping()) {
    clear_suspected_machines(job);
  } else {
    machine.faults.failed_jobs.insert(job.spec.id);
    machine.faults.last_failure_at = now;
    record_failed_retry(machine.faults.retry, now);
  }
  update_quarantine(machine.faults, job.retry.succeeded, now);
  if (job.avoids(machine.id)) record_failed_retry(job.retry.same_machine, now);
  if (job.retry.failed_machines.size() >= kFaultThreshold) back_off_retries(job, now);
}

// Guards against deleting sound machines on which two crash-looping jobs failed.
void FailureTracker::clear_suspected_machines(const Job& job) {
  for (const std::string& id : job.retry.failed_machines) {
    Machine* machine = machines_.find(id);
    if (machine == nullptr) continue;
    MachineFaults& faults = machine->faults;
    faults.failed_jobs.erase(job.spec.id);
    if (faults.quarantine != Quarantine::suspected || faults.failed_jobs.size() >= kFaultThreshold)
      continue;
    end_quarantine(*machine);
  }
}

void FailureTracker::end_quarantine(Machine& machine) {
  machine.faults.quarantine = Quarantine::none;
  changes_.raise();
}

// A task that was started together with a failed one fails too, which is no failed retry.
void FailureTracker::record_failed_retry(RetryPacing& pacing, double now) const {
  if (pacing.in_progress) ++pacing.failures;
  pacing.in_progress = false;
  pacing.due_at = now + retry_delay_s(pacing.failures);
}

double FailureTracker::retry_delay_s(int failed_retries) const {
  const int doublings = std::min(failed_retries, kMaxRetryDoublings);
  return std::min(kFirstRetryLeases * settings_.lease_s * (1 << doublings),
                  kMaxRetryDelayShare * settings_.cancel_s);
}

bool FailureTracker::is_retry_due(const Job& job, const Machine& machine, double now) const {
  const bool avoided = job.avoids(machine.id);
  if (avoided && now < job.retry.same_machine.due_at) return false;
  if (!machine.quarantined()) return avoided;
  const bool has_failed_here = job.retry.failed_machines.contains(machine.id);
  const double precedence_s =
      has_failed_here ? kPrecedenceHeartbeats * settings_.heartbeat_interval_s : 0;
  return now >= machine.faults.retry.due_at + precedence_s;
}

void FailureTracker::record_retry(Job& job, Machine& machine, double now) const {
  const auto begin = [&](RetryPacing& pacing) {
    pacing.in_progress = true;
    pacing.due_at = now + retry_delay_s(pacing.failures);
  };
  if (job.avoids(machine.id)) begin(job.retry.same_machine);
  if (machine.quarantined()) begin(machine.faults.retry);
}

void FailureTracker::expire_quarantine(Machine& machine, double now) {
  if (!machine.quarantined()) return;
  const double since = std::max(machine.faults.quarantined_since, machine.faults.last_failure_at);
  if (now - since > settings_.cancel_s) end_quarantine(machine);
}

// Counts rounds instead of tasks, since hundreds of tasks started together also fail together.
void FailureTracker::back_off_retries(Job& job, double now) const {
  if (now < job.retry.backoff_until) return;
  ++job.retry.failed_rounds;
  const int rounds =
      std::min(job.retry.failed_rounds + job.retry.earlier_failed_rounds, kMaxBackoffRounds);
  job.retry.backoff_until =
      now + std::min(settings_.heartbeat_interval_s * (1 << rounds), settings_.cancel_s);
}

void FailureTracker::record_completion(Job& job, Machine& machine) {
  job.retry.succeeded = true;
  clear_failures(job);
  machine.faults.failed_jobs.clear();
}

void FailureTracker::record_running_replica(Job& job, double running_since, double now) const {
  if (job.retry.failed_machines.empty() || now - running_since <= settings_.lease_s) return;
  clear_failures(job);
}

void FailureTracker::record_healthy_task(Job& job, Machine& machine, double started_at) {
  MachineFaults& faults = machine.faults;
  if (started_at <= faults.last_failure_at) return;
  if (job.avoids(machine.id)) {
    job.retry.same_machine_works = true;
    changes_.raise();
  }
  faults.failed_jobs.clear();
  faults.retry = {};
  if (machine.quarantined()) end_quarantine(machine);
}

void FailureTracker::record_running_task(Job& job, Machine& machine, double running_since,
                                         double now) {
  if (now - running_since <= kHealthyRunLeases * settings_.lease_s) return;
  record_healthy_task(job, machine, running_since);
}

void FailureTracker::delay_retry(Job& job, double now) const {
  job.retry.backoff_until = now + settings_.heartbeat_interval_s;
}

void FailureTracker::restore_earlier_failures(Job& job, double now) const {
  // All tasks of a gang share one attempt number; other tasks have one each.
  const bool shares_attempt = job.spec.kind == wire::JobKind::gang;
  const std::uint64_t rounds =
      shares_attempt ? job.last_attempt : job.last_attempt / job.spec.tasks;
  if (rounds < 2 || job.done.size() > 0 || job.live_count() > 0) return;
  job.retry.earlier_failed_rounds =
      static_cast<int>(std::min<std::uint64_t>(rounds - 1, kMaxBackoffRounds));
  job.retry.backoff_until = now + settings_.heartbeat_interval_s * job.retry.earlier_failed_rounds;
}

}  // namespace cranklock::sched
