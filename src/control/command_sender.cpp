#include "control/command_sender.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace cranklock::control {

using net::Sleep;
using net::Task;
using sched::Job;
using sched::Machine;

CommandSender::CommandSender(Services services, const LeaderLease& lease,
                             sched::ClusterState& cluster, net::Signal& work, Callbacks callbacks)
    : services_(services),
      leader_lease_(lease),
      cluster_(cluster),
      work_(work),
      callbacks_(std::move(callbacks)),
      term_started_at_(services.reactor.now()) {}

namespace {
/// What the leader lease is good for. What a user has cancelled is stopped even when it is in
/// doubt: no leader wants it to go on.
struct Allowed {
  bool start, stop;
};

bool start_due(const Job& job, const sched::Placement& p, Allowed allowed) {
  return allowed.start && !job.cancelled() && job.dependencies_met && p.durable && !p.ended &&
         !p.stop && !p.seen && p.start_epoch == 0 && p.unconfirmed_start_epoch == 0;
}

bool stop_due(const Job& job, const sched::Placement& p, Allowed allowed) {
  return ((p.stop && !p.drain_deadline && allowed.stop) || job.cancelled()) && p.seen && !p.ended &&
         !p.stop_sent;
}
}  // namespace

void CommandSender::send_commands() {
  const double at = now();
  if (callbacks_.is_lost()) return;
  const Allowed allowed{leader_lease_.may_start(at), leader_lease_.valid(at)};
  std::set<std::string> machines;
  for (const auto& [id, job] : cluster_.jobs()) {
    for (const auto& p : job.placements) {
      if (start_due(job, p, allowed) || stop_due(job, p, allowed)) machines.insert(p.machine);
    }
  }
  for (const auto& id : machines) {
    const Machine* m = cluster_.machine(id);
    if (m == nullptr || !m->heartbeat_received || m->lease_expired || m->terminating ||
        m->address.empty())
      continue;
    // A worker not heard of lately would only leave starts in doubt.
    if (at - m->last_heartbeat > 2 * services_.settings.heartbeat_interval_s) continue;
    if (calling_.size() >= max_calls()) return;
    if (calling_.insert(id).second) scope_.spawn(send_to(id));
  }
}

// What is due to the worker. Starts are in doubt from here on, until they are answered.
std::vector<wire::Command> CommandSender::take_due_commands(Machine& machine) {
  std::vector<wire::Command> commands;
  const Allowed allowed{leader_lease_.may_start(now()), leader_lease_.valid(now())};
  for (const auto& held : machine.tasks) {
    const Job& job = *held.job;
    sched::Placement& placement = held.placement();
    const wire::TaskName task{job.spec.id, placement.task};
    if (start_due(job, placement, allowed)) {
      commands.push_back({wire::CommandKind::start, task, placement.attempt, 0});
      placement.unconfirmed_start_epoch = machine.agent_epoch;
      machine.indeterminate_starts.insert({task, placement.attempt});
    } else if (stop_due(job, placement, allowed)) {
      const double grace_s = job.cancelled() ? 0 : placement.grace_s;
      commands.push_back({wire::CommandKind::stop, task, placement.attempt, grace_s});
      placement.stop_sent = true;
    }
  }
  return commands;
}

// `heartbeat` is the worker's where it executed the orders; otherwise they were certainly not
// executed.
void CommandSender::resolve_starts(Machine& machine, std::uint64_t agent_epoch,
                                   const std::vector<wire::Command>& commands,
                                   const std::optional<wire::Heartbeat>& heartbeat) {
  for (const auto& command : commands) {
    if (command.kind != wire::CommandKind::start) continue;
    if (machine.agent_epoch == agent_epoch) {
      machine.indeterminate_starts.erase({command.task, command.attempt});
    }
    Job* job = cluster_.job(command.task.job);
    auto* placement = job != nullptr ? job->find(command.task.index, command.attempt) : nullptr;
    if (placement == nullptr) continue;
    placement->unconfirmed_start_epoch = 0;
    if (!heartbeat) continue;
    placement->start_epoch = std::max(placement->start_epoch, heartbeat->agent_epoch);
    placement->start_sequence = std::max(placement->start_sequence, heartbeat->sequence);
  }
}

Task<void> CommandSender::send_to(std::string id) {
  Machine* machine = cluster_.machine(id);
  const std::uint64_t agent_epoch = machine->agent_epoch;
  const auto commands = take_due_commands(*machine);
  if (commands.empty()) {
    calling_.erase(id);
    co_return;
  }
  net::Request request{"POST", "/commands", "",
                       wire::commands_request(leader_lease_.fencing_token(), agent_epoch, commands),
                       true};
  auto calling = services_.transport.call(machine->address, std::move(request),
                                          services_.settings.heartbeat_interval_s);
  const auto reply = co_await calling;
  calling_.erase(id);
  if (reply.kind != net::Reply::Kind::not_sent && reply.status() != 200 && reply.status() != 409) {
    spdlog::debug("starts sent to {} are in doubt", id);
    co_return;
  }
  const auto heartbeat =
      reply.answered() ? wire::parse_heartbeat(reply.response.body) : std::nullopt;
  if (reply.answered() && (!heartbeat || heartbeat->machine != id)) co_return;  // tells nothing
  machine = cluster_.machine(id);
  if (machine == nullptr) co_return;
  resolve_starts(*machine, agent_epoch, commands, reply.status() == 200 ? heartbeat : std::nullopt);
  if (!heartbeat) co_return;
  if (heartbeat->fencing_token > leader_lease_.fencing_token()) {
    callbacks_.lose("a worker has seen a higher token");
    co_return;
  }
  cluster_.reconcile_heartbeat(*heartbeat, false, now());
  work_.set();
}

// A worker that reports to a former leader, or to nobody, is told of our fencing token straight
// away: from then on it drops the former leader's answers, and its lease is ours to time.
Task<void> CommandSender::announce_fencing_token() {
  const auto& s = services_.settings;
  for (;;) {
    Sleep pause(services_.reactor, s.heartbeat_interval_s / 2);
    co_await pause;
    const double at = now();
    if (at - term_started_at_ < 1.5 * s.heartbeat_interval_s) continue;  // most come by themselves
    std::vector<std::string> due;
    std::erase_if(announced_at_,
                  [&](const auto& call) { return cluster_.machine(call.first) == nullptr; });
    for (const auto& [id, m] : cluster_.machines()) {
      if (m.token_acknowledged || m.terminating || m.failed || m.address.empty() || !m.listed)
        continue;
      if (m.booting || at - m.last_heartbeat < 2 * s.heartbeat_interval_s) continue;
      const auto last = announced_at_.find(id);
      if (last != announced_at_.end() && at - last->second < s.lease_s / 3) continue;
      due.push_back(id);
    }
    for (const auto& id : due) {
      if (calling_.size() >= max_calls() / 2) break;
      announced_at_[id] = at;
      if (calling_.insert(id).second) scope_.spawn(send_fencing_token(id));
    }
  }
}

Task<void> CommandSender::send_fencing_token(std::string id) {
  std::uint64_t agent_epoch = 1;
  for (int tries = 0; tries < 2; ++tries) {
    const Machine* m = cluster_.machine(id);
    if (m == nullptr || !leader_lease_.valid(now())) break;
    if (m->agent_epoch != 0) agent_epoch = m->agent_epoch;
    net::Request request{"POST", "/commands", "",
                         wire::commands_request(leader_lease_.fencing_token(), agent_epoch, {}),
                         true};
    auto calling = services_.transport.call(m->address, std::move(request),
                                            services_.settings.heartbeat_interval_s);
    const auto reply = co_await calling;
    if (reply.status() != 200 && reply.status() != 409) break;
    const auto heartbeat = wire::parse_heartbeat(reply.response.body);
    if (!heartbeat || heartbeat->machine != id || callbacks_.is_deleted(id)) break;
    if (heartbeat->fencing_token > leader_lease_.fencing_token()) {
      callbacks_.lose("a worker has seen a higher token");
      break;
    }
    callbacks_.on_agent_message();
    cluster_.reconcile_heartbeat(*heartbeat, false, now());
    work_.set();
    if (reply.status() == 200 || heartbeat->agent_epoch == agent_epoch) break;
    agent_epoch = heartbeat->agent_epoch;  // it was told under the wrong agent epoch: once more
  }
  calling_.erase(id);
}

}  // namespace cranklock::control
