// Takes heartbeats into the cluster state.
#pragma once

#include <cstdint>

#include "base/settings.hpp"
#include "sched/boot_monitor.hpp"
#include "sched/machine_inventory.hpp"
#include "sched/task_reconciler.hpp"

namespace cranklock::sched {

/// How a message compares with those of the same agent that were taken in before.
enum class HeartbeatFreshness {
  fresh,
  overtaken,  ///< a heartbeat that came after the answer to a later direct command
  late_copy,  ///< a heartbeat no newer than one before; it changes and renews nothing
};

/// Decides what a message of an agent proves, by its order and its fencing token, and takes in what
/// it says of the machine; what it says of tasks is the concern of TaskReconciler.
class HeartbeatReconciler {
 public:
  /// All references must outlive this object.
  HeartbeatReconciler(const base::Settings& settings, std::uint64_t fencing_token,
                      MachineInventory& machines, BootMonitor& boots, TaskReconciler& tasks,
                      ChangeSignal& changes)
      : settings_(settings),
        fencing_token_(fencing_token),
        machines_(machines),
        boots_(boots),
        tasks_(tasks),
        changes_(changes) {}

  /// Takes in one message. `is_heartbeat` is false for the answer to a direct command: it shows
  /// presence, but never absence, since it may cross a start on the way.
  HeartbeatFreshness reconcile(const wire::Heartbeat& heartbeat, bool is_heartbeat, double now);

 private:
  void record_message(Machine& machine, const wire::Heartbeat& heartbeat, double now);
  void record_token(Machine& machine, const wire::Heartbeat& heartbeat, double now);
  void record_preemption_notice(Machine& machine, double notice_s, double now);
  void count_unacknowledged_response(Machine& machine, double now) const;

  const base::Settings& settings_;
  std::uint64_t fencing_token_;
  MachineInventory& machines_;
  BootMonitor& boots_;
  TaskReconciler& tasks_;
  ChangeSignal& changes_;
};

}  // namespace cranklock::sched
