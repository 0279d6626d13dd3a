// Attributes task failures to the job or to the machine.
#pragma once

#include "base/settings.hpp"
#include "sched/change_signal.hpp"
#include "sched/machine_inventory.hpp"

namespace cranklock::sched {

/// Applies retry backoff to failing jobs, and quarantines faulty machines.
///
/// A machine is considered faulty when tasks of several jobs fail on it, or a task of a job that
/// has already completed tasks, on whichever machine. A job is considered crash looping when its
/// tasks fail on several machines and none of them has ever completed.
///
/// A quarantined machine that can't be deleted because it runs tasks is retried with single tasks,
/// after delays that grow with each failure. The quarantine ends once a task that started after the
/// last failure has run without failing, or if none has failed for `cancel_s` (invariant 21).
class FailureTracker {
 public:
  /// All three must outlive this object.
  FailureTracker(const base::Settings& settings, MachineInventory& machines, ChangeSignal& changes)
      : settings_(settings), machines_(machines), changes_(changes) {}

  /// Records that a task exited with an error.
  void record_error(Job& job, Machine& machine, double now);
  /// Records that a task completed, which clears the failures of its job and of the machine.
  void record_completion(Job& job, Machine& machine);
  /// Records that a replica has been running since `running_since`. Replicas never complete, so one
  /// that runs for longer than a lease clears the failures of its job.
  void record_running_replica(Job& job, double running_since, double now) const;
  /// Records that a task that started at `started_at` completed on the machine, or ran there for
  /// some time. Unless a task has failed there since, this ends the machine's quarantine.
  void record_healthy_task(Job& job, Machine& machine, double started_at);
  /// As record_healthy_task(), for a task that is still running. Counts only after half a lease,
  /// since the task may yet fail.
  void record_running_task(Job& job, Machine& machine, double running_since, double now);
  /// Delays the next start by a heartbeat interval after a start was rejected.
  void delay_retry(Job& job, double now) const;

  /// Whether a task of the job may be placed on the machine now although the machine is quarantined
  /// or the job avoids it.
  bool is_retry_due(const Job& job, const Machine& machine, double now) const;
  /// Records that a task was placed for which is_retry_due() held, and delays the next one.
  void record_retry(Job& job, Machine& machine, double now) const;
  /// Ends the quarantine of a machine on which no task has failed for `cancel_s`. Guards against a
  /// quarantine without end where no retry is possible: only a gang waits, or there is no room
  /// without preemption. The next failure of a job quarantines the machine again.
  void expire_quarantine(Machine& machine, double now);

  /// Restores the backoff of a job that was read from the store, from its number of attempts and
  /// the absence of completed tasks. Guards against a leader change resetting the backoff of a
  /// crash-looping job.
  void restore_earlier_failures(Job& job, double now) const;
  /// The time after the start of a quarantine during which it may still be lifted because the
  /// failures turn out to be the fault of the jobs.
  double quarantine_period_s() const { return 3 * settings_.heartbeat_interval_s; }

 private:
  void clear_suspected_machines(const Job& job);
  void end_quarantine(Machine& machine);
  void record_failed_retry(RetryPacing& pacing, double now) const;
  void back_off_retries(Job& job, double now) const;
  /// The delay before a retry on a faulty machine after so many failed ones.
  double retry_delay_s(int failed_retries) const;

  const base::Settings& settings_;
  MachineInventory& machines_;
  ChangeSignal& changes_;
};

}  // namespace cranklock::sched
