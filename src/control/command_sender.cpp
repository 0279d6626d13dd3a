#include "control/command_sender.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/event_log.hpp"
#include "control/term_log.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using sched::Job;
using sched::Machine;
using sched::Placement;

namespace {

/// Which commands the leader lease permits now. Tasks of cancelled jobs are stopped regardless of
/// it, since no leader would continue them.
struct PermittedCommands {
  bool start, stop;
};

PermittedCommands permitted_commands(const LeaderLease& lease, double now) {
  return {lease.may_start(now), lease.valid(now)};
}

/// A start is sent directly only if no earlier start command may have reached the agent (invariant
/// 5).
bool is_start_due(const sched::ClusterState& cluster, const Job& job, const Placement& placement,
                  PermittedCommands permitted) {
  return permitted.start && !placement.ended && !placement.stop_requested && !placement.reported &&
         !placement.start_sent() && cluster.may_start(job, placement);
}

/// A draining placement is stopped only in heartbeat responses (invariant 19).
bool is_stop_due(const Job& job, const Placement& placement, PermittedCommands permitted) {
  const bool requested = placement.stop_requested && !placement.drain_deadline && permitted.stop;
  return (requested || job.cancelled()) && placement.reported && !placement.ended &&
         !placement.stop_sent;
}

/// Whether the agent is expected to respond.
bool is_reachable(const Machine& machine, double heartbeat_interval_s, double now) {
  if (!machine.agent.heartbeat_received || machine.lease.expired) return false;
  if (machine.cloud.terminating || machine.address.empty()) return false;
  // Avoids indeterminate starts on machines that may no longer exist.
  return now - machine.agent.last_heartbeat <= 2 * heartbeat_interval_s;
}

}  // namespace

CommandSender::CommandSender(const LeaderContext& context, const MachineLifecycle& machines,
                             std::function<void()> on_agent_message)
    : context_(context), machines_(machines), on_agent_message_(std::move(on_agent_message)) {}

void CommandSender::send_commands() {
  const double now = context_.now();
  if (context_.leadership.is_lost()) return;
  const auto permitted = permitted_commands(context_.lease, now);
  std::set<std::string> due;
  for (const auto& [id, job] : context_.cluster.jobs()) {
    for (const auto& placement : job.placements) {
      if (is_start_due(context_.cluster, job, placement, permitted) ||
          is_stop_due(job, placement, permitted)) {
        due.insert(placement.machine);
      }
    }
  }
  const double heartbeat_interval_s = context_.services.settings.heartbeat_interval_s;
  for (const auto& machine_id : due) {
    const Machine* machine = context_.cluster.machine(machine_id);
    if (machine == nullptr || !is_reachable(*machine, heartbeat_interval_s, now)) continue;
    if (calls_in_progress_.size() >= max_concurrent_calls()) return;
    if (calls_in_progress_.insert(machine_id).second) scope_.spawn(send_to(machine_id));
  }
}

std::vector<wire::Command> CommandSender::take_due_commands(Machine& machine) {
  std::vector<wire::Command> commands;
  const auto permitted = permitted_commands(context_.lease, context_.now());
  for (const auto& placement_ref : machine.tasks) {
    const Job& job = *placement_ref.job;
    Placement& placement = placement_ref.placement();
    const wire::TaskName task{job.spec.id, placement.task};
    if (is_start_due(context_.cluster, job, placement, permitted)) {
      commands.push_back({wire::CommandKind::start, task, placement.attempt, 0});
      placement.indeterminate_start_epoch = machine.agent.newest_message.epoch;
      context_.cluster.record_direct_start(machine);
      record_start(context_, task, machine.id, StartChannel::command);
    } else if (is_stop_due(job, placement, permitted)) {
      const double grace_s = job.cancelled() ? 0 : placement.grace_s;
      commands.push_back({wire::CommandKind::stop, task, placement.attempt, grace_s});
      placement.stop_sent = true;
    }
  }
  return commands;
}

void CommandSender::resolve_starts(const std::vector<wire::Command>& commands,
                                   const std::optional<wire::Heartbeat>& heartbeat) {
  for (const auto& command : commands) {
    if (command.kind != wire::CommandKind::start) continue;
    Job* job = context_.cluster.job(command.task.job);
    auto* placement = job != nullptr ? job->find(command.task.index, command.attempt) : nullptr;
    if (placement == nullptr) continue;
    placement->indeterminate_start_epoch = 0;
    if (!heartbeat) continue;
    auto& [start_epoch, start_sequence] = placement->last_start_sequence;
    start_epoch = std::max(start_epoch, heartbeat->agent_epoch);
    start_sequence = std::max(start_sequence, heartbeat->sequence);
  }
}

Task<void> CommandSender::send_to(std::string machine_id) {
  Machine* machine = context_.cluster.machine(machine_id);
  const std::uint64_t agent_epoch = machine->agent.newest_message.epoch;
  const std::uint64_t fencing_token = context_.cluster.fencing_token_for(*machine);
  const auto commands = take_due_commands(*machine);
  if (commands.empty()) {
    calls_in_progress_.erase(machine_id);
    co_return;
  }
  net::Request request{"POST", "/commands", "",
                       wire::commands_request(fencing_token, agent_epoch, commands), true};
  auto calling = context_.services.transport.call(machine->address, std::move(request),
                                                  context_.services.settings.heartbeat_interval_s);
  const auto reply = co_await calling;
  calls_in_progress_.erase(machine_id);
  if (reply.kind != net::Reply::Kind::not_sent && reply.status() != 200 && reply.status() != 409) {
    const auto starts = std::count_if(
        commands.begin(), commands.end(),
        [](const wire::Command& command) { return command.kind == wire::CommandKind::start; });
    context_.counters.unanswered_commands += static_cast<std::uint64_t>(starts);
    base::log_debug("commands unanswered", base::field("machine", machine_id),
                    base::field("agent_epoch", agent_epoch), base::field("starts", starts));
    co_return;
  }
  const auto heartbeat =
      reply.answered() ? wire::parse_heartbeat(reply.response.body) : std::nullopt;
  // A malformed response, or one from another machine, leaves the starts indeterminate.
  if (reply.answered() && (!heartbeat || heartbeat->machine != machine_id)) co_return;
  if (context_.cluster.machine(machine_id) == nullptr) co_return;
  resolve_starts(commands, reply.status() == 200 ? heartbeat : std::nullopt);
  if (!heartbeat) co_return;
  if (context_.cluster.tokens().is_superseded_by(heartbeat->fencing_token)) {
    context_.leadership.step_down(LeadershipLoss::agent_saw_higher_token);
    co_return;
  }
  context_.cluster.reconcile_heartbeat(*heartbeat, false, context_.now());
  context_.state_changed.set();
}

Task<void> CommandSender::announce_fencing_token() {
  const double heartbeat_interval_s = context_.services.settings.heartbeat_interval_s;
  for (;;) {
    Sleep pause(context_.services.reactor, heartbeat_interval_s / 2);
    co_await pause;
    const double now = context_.now();
    // Most agents send a heartbeat to the new leader before this time.
    if (now - context_.term_started_at < 1.5 * heartbeat_interval_s) continue;
    std::erase_if(announced_at_, [&](const auto& announcement) {
      return context_.cluster.machine(announcement.first) == nullptr;
    });
    for (const auto& machine_id : due_announcements(now)) {
      if (calls_in_progress_.size() >= max_concurrent_calls() / 2) break;
      announced_at_[machine_id] = now;
      if (calls_in_progress_.insert(machine_id).second)
        scope_.spawn(send_fencing_token(machine_id));
    }
  }
}

// Running machines whose agents send no heartbeats to this leader and to which its fencing token
// was not announced recently.
std::vector<std::string> CommandSender::due_announcements(double now) const {
  const auto& settings = context_.services.settings;
  std::vector<std::string> due;
  for (const auto& [id, machine] : context_.cluster.machines()) {
    if (machine.agent.token_acknowledged || machine.cloud.terminating || machine.cloud.failed)
      continue;
    if (machine.address.empty() || !machine.cloud.listed || machine.cloud.booting) continue;
    if (now - machine.agent.last_heartbeat < 2 * settings.heartbeat_interval_s) continue;
    const auto last = announced_at_.find(id);
    if (last != announced_at_.end() && now - last->second < settings.lease_s / 3) continue;
    due.push_back(id);
  }
  return due;
}

Task<void> CommandSender::send_fencing_token(std::string machine_id) {
  constexpr int kMaxTries = 2;
  std::uint64_t agent_epoch = 1;
  for (int tries = 0; tries < kMaxTries; ++tries) {
    const Machine* machine = context_.cluster.machine(machine_id);
    if (machine == nullptr || !context_.lease.valid(context_.now())) break;
    if (machine->agent.newest_message.epoch != 0) agent_epoch = machine->agent.newest_message.epoch;
    const std::uint64_t fencing_token = context_.cluster.fencing_token_for(*machine);
    net::Request request{"POST", "/commands", "",
                         wire::commands_request(fencing_token, agent_epoch, {}), true};
    auto calling = context_.services.transport.call(
        machine->address, std::move(request), context_.services.settings.heartbeat_interval_s);
    const auto reply = co_await calling;
    if (reply.status() != 200 && reply.status() != 409) break;
    const auto heartbeat = wire::parse_heartbeat(reply.response.body);
    if (!heartbeat || heartbeat->machine != machine_id || machines_.is_deleted(machine_id)) break;
    if (context_.cluster.tokens().is_superseded_by(heartbeat->fencing_token)) {
      context_.leadership.step_down(LeadershipLoss::agent_saw_higher_token);
      break;
    }
    on_agent_message_();
    context_.cluster.reconcile_heartbeat(*heartbeat, false, context_.now());
    context_.state_changed.set();
    if (reply.status() == 200 || heartbeat->agent_epoch == agent_epoch) break;
    // The request named an agent epoch other than the agent's own: retry with that one.
    agent_epoch = heartbeat->agent_epoch;
  }
  calls_in_progress_.erase(machine_id);
}

}  // namespace cranklock::control
