#include "sched/task_reconciler.hpp"

#include <optional>

namespace cranklock::sched {

using wire::ExitReason;
using wire::TaskState;

void TaskReconciler::reconcile_reported(Machine& machine, const wire::Heartbeat& heartbeat,
                                        bool token_acknowledged, double now) {
  int unknown_tasks = 0;
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    Job* job = jobs_.find(status.task.job);
    Placement* placement = job != nullptr ? job->find(status.task.index, status.attempt) : nullptr;
    if (placement == nullptr || placement->machine != machine.id) {
      if (status.state != TaskState::exited) ++unknown_tasks;
    } else if (!placement->ended) {
      reconcile_task(machine, *job, *placement, status, token_acknowledged, now);
    }
  }
  if (machine.agent.unknown_tasks != unknown_tasks) changes_.raise();
  machine.agent.unknown_tasks = unknown_tasks;
}

void TaskReconciler::reconcile_task(Machine& machine, Job& job, Placement& placement,
                                    const wire::TaskStatus& status, bool token_acknowledged,
                                    double now) {
  if (status.state == TaskState::exited) {
    reconcile_exit(machine, job, placement, status, token_acknowledged, now);
    return;
  }
  const bool running = status.state == TaskState::running;
  if (!placement.seen || (placement.state != status.state && running)) {
    const wire::MachineType* type = machines_.type(machine.kind.type);
    machine.record_image_use(job.spec,
                             type != nullptr ? std::optional(type->cache_gb) : std::nullopt);
    if (running) placement.running_since = now;
  }
  if (running && placement.running_since > 0 && job.spec.kind == wire::JobKind::service) {
    failures_.record_running_replica(job, placement.running_since, now);
  }
  placement.seen = true;
  placement.state = status.state;
}

void TaskReconciler::reconcile_exit(Machine& machine, Job& job, Placement& placement,
                                    const wire::TaskStatus& status, bool token_acknowledged,
                                    double now) {
  if (token_acknowledged) {
    apply_exit(machine, job, placement, status, now);
    return;
  }
  // Guards against a late copy, from before our leadership, of an exit in an earlier agent epoch:
  // the same attempt may have been started again since. Only that the task is done stays true.
  if (status.exit_reason != ExitReason::completed || job.done.contains(placement.task)) return;
  job.done.add(placement.task);
  job.record.dirty = true;
  changes_.raise();
}

void TaskReconciler::apply_exit(Machine& machine, Job& job, Placement& placement,
                                const wire::TaskStatus& status, double now) {
  placement.seen = true;
  placement.state = TaskState::exited;
  switch (status.exit_reason) {
    case ExitReason::completed:
      job.done.add(placement.task);
      failures_.record_completion(job, machine);
      break;
    case ExitReason::error:
      if (!job.cancelled()) failures_.record_error(job, machine, now);
      break;
    case ExitReason::insufficient_resources:
    case ExitReason::other_attempt_present:
    case ExitReason::unknown_task:
      failures_.delay_retry(job, now);
      break;
    default:
      break;
  }
  placements_.end(job, placement, now);
  if (status.exit_reason != ExitReason::completed) {
    PlacementTracker::stop_gang(job, placement.attempt, now);
  }
}

void TaskReconciler::reconcile_absent(Machine& machine, const wire::Heartbeat& heartbeat,
                                      double now) {
  std::set<TaskAttempt> reported;
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    reported.insert({status.task, status.attempt});
  }
  const auto tasks = machine.tasks;  // a copy: ending a placement changes the list
  for (const PlacementRef& held : tasks) {
    Job& job = *held.job;
    Placement& placement = held.placement();
    if (reported.contains({{job.spec.id, placement.task}, placement.attempt})) continue;
    if (!is_proven_absent(machine, job, placement, sequence_of(heartbeat), now)) continue;
    placements_.end(job, placement, now);
    PlacementTracker::stop_gang(job, held.attempt, now);
  }
}

// Whether a heartbeat with this position, which does not name the task, proves that the task is not
// on the machine and never will be under this attempt.
bool TaskReconciler::is_proven_absent(Machine& machine, const Job& job, Placement& placement,
                                      AgentSequence reported, double now) const {
  const AgentSequence started = placement.start_carrier;
  const std::uint64_t unconfirmed_epoch = placement.unconfirmed_start_epoch;
  // Guards against an indeterminate start: it may still be executed in this agent epoch.
  if (unconfirmed_epoch == reported.epoch) return false;
  const bool start_sent = started.epoch != 0;
  // Guards against late copies, and against answers that crossed this heartbeat.
  if (start_sent && reported <= started) return false;
  const bool lost = placement.seen || (start_sent && started.epoch != reported.epoch) ||
                    (unconfirmed_epoch != 0 && unconfirmed_epoch != reported.epoch);
  if (lost || placement.stop || job.cancelled()) return true;
  // Guards against a machine whose heartbeats arrive and that no answer reaches: idle for ever, it
  // would hold whatever is placed on it. What it was not told, it does not run.
  if (!start_sent) return false;
  ++placement.unacknowledged;
  if (placement.unacknowledged < kMaxUnacknowledgedResponses) return false;  // it is sent again
  machine.agent.unresponsive_until = now + settings_.lease_s;
  return true;
}

}  // namespace cranklock::sched
