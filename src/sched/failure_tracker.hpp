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
  /// Delays the next start by a heartbeat interval after a start was rejected.
  void delay_retry(Job& job, double now) const;

  /// Restores the backoff of a job that was read from the store, from its number of attempts and
  /// the absence of completed tasks. Guards against a leader change resetting the backoff of a
  /// crash-looping job.
  void restore_earlier_failures(Job& job, double now) const;
  /// The time after the start of a quarantine during which it may still be lifted because the
  /// failures turn out to be the fault of the jobs.
  double quarantine_period_s() const { return 3 * settings_.heartbeat_interval_s; }

 private:
  void clear_suspected_machines(const Job& job);
  void back_off_retries(Job& job, double now) const;

  const base::Settings& settings_;
  MachineInventory& machines_;
  ChangeSignal& changes_;
};

}  // namespace cranklock::sched
