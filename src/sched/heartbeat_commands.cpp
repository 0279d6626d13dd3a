#include "sched/heartbeat_commands.hpp"

#include <set>

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

/// How many attempts an agent holds before its fencing token is raised to forget them. Bounds its
/// heartbeats; each raised token may cost one more heartbeat.
constexpr std::size_t kForgetBatchSize = 4;

}  // namespace

std::vector<wire::Command> HeartbeatCommands::commands_for(Machine& machine,
                                                           const wire::Heartbeat& heartbeat,
                                                           bool may_start, double now) {
  std::vector<wire::Command> commands;
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    if (status.state != TaskState::exited) add_stop_for(machine, status, now, commands);
  }
  add_forgets(machine, heartbeat, commands);
  if (may_start && !machine.cloud.terminating) add_starts(machine, heartbeat, commands);
  return commands;
}

std::optional<PlacementRef> HeartbeatCommands::placement_of(const Machine& machine,
                                                            const wire::TaskStatus& status) {
  Job* job = jobs_.find(status.task.job);
  const Placement* placement =
      job != nullptr ? job->find(status.task.index, status.attempt) : nullptr;
  if (placement == nullptr || placement->machine != machine.id) return std::nullopt;
  return PlacementRef{job, status.task.index, status.attempt};
}

void HeartbeatCommands::add_stop_for(const Machine& machine, const wire::TaskStatus& status,
                                     double now, std::vector<wire::Command>& commands) {
  const auto ref = placement_of(machine, status);
  if (!ref || ref->placement().ended || ref->job->cancelled()) {
    commands.push_back({CommandKind::stop, status.task, status.attempt, 0});
  } else if (ref->placement().stop_requested && may_send_stop(ref->placement(), now)) {
    add_stop(ref->placement(), status, now, commands);
  }
}

// Invariant 5: `done` is durable before `forget`, since a placement is kept until a record without
// it has been written.
void HeartbeatCommands::add_forgets(Machine& machine, const wire::Heartbeat& heartbeat,
                                    std::vector<wire::Command>& commands) {
  std::vector<wire::Command> forgets;
  for (const wire::TaskStatus& status : heartbeat.tasks) {
    if (status.state != TaskState::exited || placement_of(machine, status)) continue;
    forgets.push_back({CommandKind::forget, status.task, status.attempt, 0});
  }
  if (!may_forget(machine, forgets.size())) return;
  commands.insert(commands.end(), forgets.begin(), forgets.end());
}

// Guards against a start that was sent straight to the agent and is executed once more after the
// `forget`: the agent refuses it once it has seen a higher token (invariant 5).
bool HeartbeatCommands::may_forget(Machine& machine, std::size_t attempts) const {
  AgentStatus& agent = machine.agent;
  if (tokens_.for_agent(agent) > agent.direct_start_token) return true;
  if (attempts < kForgetBatchSize || tokens_.newest() <= agent.direct_start_token) return false;
  agent.fencing_token = tokens_.newest();
  return true;
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
