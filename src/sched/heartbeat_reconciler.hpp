// Applies heartbeats to the cluster state.
#pragma once

#include "base/settings.hpp"
#include "sched/boot_monitor.hpp"
#include "sched/machine_inventory.hpp"
#include "sched/task_reconciler.hpp"
#include "sched/term_tokens.hpp"

namespace cranklock::sched {

/// The order of a message relative to those of the same agent that were applied before.
enum class HeartbeatFreshness {
  fresh,
  out_of_order,  ///< not newer than an applied message, e.g. the response to a direct command
  stale,         ///< not newer than an earlier heartbeat; changes nothing and renews no lease
};

/// Applies the messages of agents according to their order and their fencing token. Updates the
/// machine; TaskReconciler updates the tasks.
class HeartbeatReconciler {
 public:
  /// All references must outlive this object.
  HeartbeatReconciler(const base::Settings& settings, const TermTokens& tokens,
                      MachineInventory& machines, BootMonitor& boots, TaskReconciler& tasks,
                      ChangeSignal& changes)
      : settings_(settings),
        tokens_(tokens),
        machines_(machines),
        boots_(boots),
        tasks_(tasks),
        changes_(changes) {}

  /// Applies one message. `is_heartbeat` is false for the response to a direct command: it proves
  /// the presence of tasks, but never their absence, since it may cross a start command in transit.
  HeartbeatFreshness reconcile(const wire::Heartbeat& heartbeat, bool is_heartbeat, double now);

 private:
  void record_message(Machine& machine, const wire::Heartbeat& heartbeat, double now);
  void record_token(Machine& machine, const wire::Heartbeat& heartbeat, double now);
  void record_preemption_notice(Machine& machine, double notice_s, double now);
  void count_unacknowledged_response(Machine& machine, double now) const;

  const base::Settings& settings_;
  const TermTokens& tokens_;
  MachineInventory& machines_;
  BootMonitor& boots_;
  TaskReconciler& tasks_;
  ChangeSignal& changes_;
};

}  // namespace cranklock::sched
