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
  job.retry.failed_machines.clear();
}

}  // namespace

void FailureTracker::record_error(Job& job, Machine& machine, double now) {
  job.retry.failed_machines.insert(machine.id);
  if (job.crash_looping()) {
    clear_suspected_machines(job);
  } else {
    machine.faults.failed_jobs.insert(job.spec.id);
  }
  update_quarantine(machine.faults, job.retry.succeeded, now);
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
    faults.quarantine = Quarantine::none;
    changes_.raise();
  }
}

// Counts rounds instead of tasks, since hundreds of tasks started together also fail together.
void FailureTracker::back_off_retries(Job& job, double now) const {
  if (now < job.retry.backoff_until) return;
  ++job.retry.failed_rounds;
  const int rounds =
      std::min(job.retry.failed_rounds + job.retry.earlier_failed_rounds, kMaxBackoffRounds);
  job.retry.backoff_until = now + settings_.heartbeat_interval_s * (1 << rounds);
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
