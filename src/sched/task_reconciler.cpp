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
  if (!placement.reported || (placement.state != status.state && running)) {
    const wire::MachineType* type = machines_.type(machine.kind.type);
    machine.record_image_use(job.spec,
                             type != nullptr ? std::optional(type->cache_gb) : std::nullopt);
    if (running) placement.running_since = now;
  }
  if (running && placement.running_since > 0) {
    if (job.spec.kind == wire::JobKind::service) {
      failures_.record_running_replica(job, placement.running_since, now);
    }
    failures_.record_running_task(job, machine, placement.running_since, now);
  }
  placement.reported = true;
  placement.state = status.state;
}

void TaskReconciler::reconcile_exit(Machine& machine, Job& job, Placement& placement,
                                    const wire::TaskStatus& status, bool token_acknowledged,
                                    double now) {
  if (token_acknowledged) {
    apply_exit(machine, job, placement, status, now);
    return;
  }
  // Guards against a stale copy, from before this leadership, of an exit in an earlier agent epoch:
  // the same attempt may have been started again since. Only a completion remains valid.
  if (status.exit_reason != ExitReason::completed || job.done.contains(placement.task)) return;
  job.mark_completed(placement.task);
  job.record.dirty = true;
  changes_.raise();
}

void TaskReconciler::apply_exit(Machine& machine, Job& job, Placement& placement,
                                const wire::TaskStatus& status, double now) {
  placement.reported = true;
  placement.state = TaskState::exited;
  switch (status.exit_reason) {
    case ExitReason::completed:
      apply_completion(machine, job, placement, now);
      return;
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
  placements_.end(job, placement, EndProof::exit_reported, now);
  PlacementTracker::stop_gang(job, placement.attempt, now);
}

void TaskReconciler::apply_completion(Machine& machine, Job& job, Placement& placement,
                                      double now) {
  job.mark_completed(placement.task);
  record_completion(job, machine, placement);
  placements_.end(job, placement, EndProof::exit_reported, now);
  if (job.spec.kind == wire::JobKind::gang) end_completed_gang(job, placement.attempt, now);
}

void TaskReconciler::record_completion(Job& job, Machine& machine, const Placement& placement) {
  // A short task may never have been reported as running.
  const double started_at =
      placement.running_since > 0 ? placement.running_since : placement.decided_at;
  failures_.record_completion(job, machine);
  failures_.record_healthy_task(job, machine, started_at);
}

// Invariant 4: the tasks of a gang complete together, so the report of one completion proves that
// the other tasks have exited. Guards against waiting for reports that may never come: an agent
// that can't send heartbeats drops its tasks with its lease, and a machine may be lost.
void TaskReconciler::end_completed_gang(Job& job, std::uint64_t attempt, double now) {
  for (Placement& placement : job.placements) {
    if (placement.attempt != attempt || placement.ended) continue;
    Machine* machine = machines_.find(placement.machine);
    const bool has_run = placement.state == TaskState::running;
    if (machine != nullptr && has_run) record_completion(job, *machine, placement);
    placements_.end(job, placement, EndProof::gang_completed, now);
  }
}

void TaskReconciler::reconcile_absent(Machine& machine, const wire::Heartbeat& heartbeat,
                                      double now) {
  std::set<TaskAttempt> reported;
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    reported.insert({status.task, status.attempt});
  }
  const auto tasks = machine.tasks;  // a copy: ending a placement changes the list
  for (const PlacementRef& ref : tasks) {
    Job& job = *ref.job;
    Placement& placement = ref.placement();
    if (reported.contains({{job.spec.id, placement.task}, placement.attempt})) continue;
    const Absence absence = classify_absence(job, placement, sequence_of(heartbeat));
    if (absence == Absence::indeterminate) continue;
    const bool start_may_have_been_lost = absence == Absence::start_unacknowledged &&
                                          !record_unacknowledged_start(machine, placement, now);
    if (start_may_have_been_lost) continue;  // it is sent again
    const EndProof proof =
        absence == Absence::over_limit ? EndProof::over_limit : EndProof::not_reported;
    placements_.end(job, placement, proof, now);
    PlacementTracker::stop_gang(job, ref.attempt, now);
  }
}

TaskReconciler::Absence TaskReconciler::classify_absence(const Job& job, const Placement& placement,
                                                         AgentSequence reported) const {
  const AgentSequence start = placement.last_start_sequence;
  const std::uint64_t indeterminate_epoch = placement.indeterminate_start_epoch;
  // An indeterminate start may still be executed in this agent epoch.
  if (indeterminate_epoch == reported.epoch) return Absence::indeterminate;
  const bool start_sent = start.epoch != 0;
  // Excludes stale copies, and responses that crossed this heartbeat in transit.
  if (start_sent && reported <= start) return Absence::indeterminate;
  const bool certainly_gone = placement.reported || (start_sent && start.epoch != reported.epoch) ||
                              (indeterminate_epoch != 0 && indeterminate_epoch != reported.epoch);
  if (certainly_gone || placement.stop_requested || job.cancelled()) return Absence::proven;
  // A start that was never sent can't be executed, nor can a former leader's any more. If it must
  // not be sent either, the placement would hold its quota for ever.
  if (start_policy_.is_excess(job, placement)) return Absence::over_limit;
  return start_sent ? Absence::start_unacknowledged : Absence::indeterminate;
}

// Guards against a machine that sends heartbeats but receives no responses: it would stay idle and
// hold its placements indefinitely.
bool TaskReconciler::record_unacknowledged_start(Machine& machine, Placement& placement,
                                                 double now) const {
  ++placement.unacknowledged_starts;
  if (placement.unacknowledged_starts < kMaxUnacknowledgedResponses) return false;
  machine.agent.unresponsive_until = now + settings_.lease_s;
  return true;
}

}  // namespace cranklock::sched
