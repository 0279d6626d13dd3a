// Whether a failed task speaks against its job or against its machine.
#pragma once

#include "base/settings.hpp"
#include "sched/change_signal.hpp"
#include "sched/machine_inventory.hpp"

namespace cranklock::sched {

/// Spaces out the retries of jobs that fail, and quarantines machines on which jobs fail.
///
/// A machine is at fault when tasks of several jobs fail on it, or one of a job that works
/// elsewhere. A job is at fault, crash looping, when its tasks fail on several machines and none of
/// them has ever completed.
class FailureTracker {
 public:
  /// All three must outlive this object.
  FailureTracker(const base::Settings& settings, MachineInventory& machines, ChangeSignal& changes)
      : settings_(settings), machines_(machines), changes_(changes) {}

  /// A task exited with an error.
  void record_error(Job& job, Machine& machine, double now);
  /// A task completed: its job works, and so does the machine.
  void record_completion(Job& job, Machine& machine);
  /// A replica has been running since `running_since`. Replicas never complete: one that runs for
  /// longer than a lease counts as working.
  void record_running_replica(Job& job, double running_since, double now) const;
  /// A start was rejected: the next one waits for a heartbeat interval.
  void delay_retry(Job& job, double now) const;

  /// For a job that was read from the store. Guards against a crash-looping job that every change
  /// of leader starts anew at full pace: the record tells how many attempts were made, and that no
  /// task is done.
  void restore_earlier_failures(Job& job, double now) const;
  /// For how many seconds after a quarantine has begun it may still be lifted, by evidence that the
  /// jobs are at fault.
  double quarantine_period() const { return 3 * settings_.heartbeat_interval_s; }

 private:
  void clear_suspicion(const Job& job);
  void back_off_retries(Job& job, double now) const;

  const base::Settings& settings_;
  MachineInventory& machines_;
  ChangeSignal& changes_;
};

}  // namespace cranklock::sched
