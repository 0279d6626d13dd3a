#include "sched/heartbeat_commands.hpp"

namespace cranklock::sched {

using wire::CommandKind;
using wire::TaskState;

namespace {

// Guards against stopping a replica that is back in service (invariant 19): an agent may accept the
// response until its timeout, and the drain must last until then.
bool may_send_stop(const Placement& placement, double now) {
  constexpr double kAgentResponseTimeoutS = 4;  // an agent's timeout for the response
  const double latest_delivery = now + kAgentResponseTimeoutS * (1 + 2 * base::kMaxClockDrift);
  return !placement.drain_deadline || latest_delivery < *placement.drain_deadline;
}

}  // namespace

std::vector<wire::Command> HeartbeatCommands::commands_for(Machine& machine,
                                                           const wire::Heartbeat& heartbeat,
                                                           bool may_start, double now) {
  std::vector<wire::Command> commands;
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    add_command_for(machine, status, now, commands);
  }
  if (may_start && !machine.cloud.terminating) add_starts(machine, heartbeat, commands);
  return commands;
}

void HeartbeatCommands::add_command_for(const Machine& machine, const wire::TaskStatus& status,
                                        double now, std::vector<wire::Command>& commands) {
  Job* job = jobs_.find(status.task.job);
  const Placement* placement =
      job != nullptr ? job->find(status.task.index, status.attempt) : nullptr;
  const bool placed_here = placement != nullptr && placement->machine == machine.id;
  if (status.state == TaskState::exited) {
    // Invariant 5: `done` is durable before `forget`, since a placement is kept until a record
    // without it has been written. An indeterminate start that arrived after a `forget` would run
    // the task a second time.
    const bool indeterminate =
        machine.agent.indeterminate_starts.contains({status.task, status.attempt});
    if (!placed_here && !indeterminate) {
      commands.push_back({CommandKind::forget, status.task, status.attempt, 0});
    }
  } else if (!placed_here || placement->ended || job->cancelled()) {
    commands.push_back({CommandKind::stop, status.task, status.attempt, 0});
  } else if (placement->stop_requested && may_send_stop(*placement, now)) {
    add_stop(*placement, status, now, commands);
  }
}

void HeartbeatCommands::add_stop(const Placement& placement, const wire::TaskStatus& status,
                                 double now, std::vector<wire::Command>& commands) const {
  // A task that is still running after its grace period is stopped without one.
  const bool overdue =
      now > placement.stop_requested_at + placement.grace_s + 2 * settings_.heartbeat_interval_s;
  if (status.state == TaskState::checkpointing && !overdue) return;
  commands.push_back(
      {CommandKind::stop, status.task, status.attempt, overdue ? 0 : placement.grace_s});
}

void HeartbeatCommands::add_starts(Machine& machine, const wire::Heartbeat& heartbeat,
                                   std::vector<wire::Command>& commands) const {
  std::set<TaskAttempt> reported;
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    reported.insert({status.task, status.attempt});
  }
  for (const PlacementRef& ref : machine.tasks) {
    const Job& job = *ref.job;
    Placement& placement = ref.placement();
    if (!start_policy_.may_start(job, placement)) continue;
    // A placement that is to stop is started only if an earlier start is indeterminate in this
    // agent epoch. Its absence proves nothing then, so it would never end. Once the agent has
    // executed a start and a stop from one response, the indeterminate start has no effect.
    if (placement.stop_requested && placement.indeterminate_start_epoch != heartbeat.agent_epoch)
      continue;
    const wire::TaskName task{job.spec.id, placement.task};
    if (reported.contains({task, placement.attempt})) continue;
    commands.push_back({CommandKind::start, task, placement.attempt, 0});
    if (placement.stop_requested)
      commands.push_back({CommandKind::stop, task, placement.attempt, 0});
    placement.last_start_sequence = sequence_of(heartbeat);
  }
}

}  // namespace cranklock::sched
