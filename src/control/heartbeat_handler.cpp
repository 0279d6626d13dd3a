#include "control/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "base/event_log.hpp"
#include "control/heartbeat_forwarder.hpp"
#include "control/term_log.hpp"

namespace cranklock::control {

using net::Response;
using sched::Machine;
using Freshness = sched::ClusterState::Freshness;

namespace {

/// What is logged of a machine's quarantine when it changes.
struct FaultStatus {
  bool quarantined = false;
  int failed_retries = 0;
};

FaultStatus fault_status(const Machine& machine) {
  return {machine.quarantined(), machine.faults.retry.failures};
}

/// Logs what a heartbeat has changed in the quarantine of its machine.
void log_fault_changes(const Machine& machine, const FaultStatus& before, double now) {
  const FaultStatus after = fault_status(machine);
  if (!before.quarantined && after.quarantined) {
    base::log_info("machine quarantined", base::field("machine", machine.id),
                   base::field("reason", "task failures"));
  } else if (before.quarantined && !after.quarantined) {
    base::log_info("quarantine lifted", base::field("machine", machine.id),
                   base::field("reason", "tasks do not fail on it"));
  } else if (after.quarantined && after.failed_retries > before.failed_retries) {
    base::log_info("quarantine retry failed", base::field("machine", machine.id),
                   base::field("failed_retries", after.failed_retries),
                   base::field("next_in_s", machine.faults.retry.due_at - now));
  }
}

/// A response that does not extend the agent's lease.
Response refusal(int status, std::string body = "") {
  Response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace

Response HeartbeatHandler::handle(const wire::Heartbeat& heartbeat) {
  // The leader lease is checked when responding: the process may have been paused since the
  // heartbeat arrived (invariant 10).
  const double now = context_.now();
  if (context_.cluster.tokens().is_superseded_by(heartbeat.fencing_token)) {
    context_.leadership.step_down(LeadershipLoss::agent_saw_higher_token);
    return refusal(421, wire::redirect_response(""));
  }
  if (context_.leadership.is_lost() || !context_.lease.may_respond(now)) return refusal(503);
  if (machines_.is_deleted(heartbeat.machine)) return refusal(503);

  const Machine* known = context_.cluster.machine(heartbeat.machine);
  const FaultStatus faults = known != nullptr ? fault_status(*known) : FaultStatus{};
  const auto freshness = context_.cluster.reconcile_heartbeat(heartbeat, true, now);
  log_fault_changes(*context_.cluster.machine(heartbeat.machine), faults, now);
  if (freshness == Freshness::stale) return refusal(503);

  last_agent_message_at_ = now;
  log_started_tasks(heartbeat, now);
  forgotten_.check(heartbeat);
  const auto commands =
      freshness == Freshness::fresh ? take_commands(heartbeat) : std::vector<wire::Command>{};
  context_.cluster.record_response(heartbeat.machine, now);
  context_.state_changed.set();
  Response response;
  response.body = wire::heartbeat_response(
      context_.cluster.fencing_token_for(*context_.cluster.machine(heartbeat.machine)), commands);
  return response;
}

// Returns the commands for the response, and records them in log and counters.
std::vector<wire::Command> HeartbeatHandler::take_commands(const wire::Heartbeat& heartbeat) {
  const double now = context_.now();
  const Machine& machine = *context_.cluster.machine(heartbeat.machine);
  const std::uint64_t token_before = context_.cluster.fencing_token_for(machine);
  auto commands = context_.cluster.commands_for(heartbeat, context_.lease.may_start(now), now);
  for (const auto& command : commands) {
    if (command.kind == wire::CommandKind::start)
      record_start(context_, command.task, machine.id, StartChannel::heartbeat_response);
    if (command.kind == wire::CommandKind::forget) forgotten_.record(machine.id, command);
  }
  const std::uint64_t token = context_.cluster.fencing_token_for(machine);
  if (token == token_before) return commands;
  ++context_.counters.tokens_raised;
  base::log_debug("agent token raised", base::field("machine", machine.id),
                  base::field("from", token_before), base::field("to", token));
  return commands;
}

// Logs tasks that this heartbeat is the first to report as running.
void HeartbeatHandler::log_started_tasks(const wire::Heartbeat& heartbeat, double now) const {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  for (const auto& status : heartbeat.tasks) {
    sched::Job* job = context_.cluster.job(status.task.job);
    const auto* placement = job != nullptr ? job->find(status.task.index, status.attempt) : nullptr;
    if (placement == nullptr || placement->running_since != now) continue;
    base::log_debug("task running", base::field("task", wire::to_string(status.task)),
                    base::field("class", job->spec.job_class),
                    base::field("machine", heartbeat.machine),
                    base::field("since_decision_s", now - placement->decided_at),
                    base::field("since_accepted_s", now - job->known_since));
  }
}

peer::ForwardedResponse HeartbeatHandler::handle_forwarded(const wire::Heartbeat& heartbeat,
                                                           const std::string& forwarder,
                                                           std::uint64_t request_id) {
  const auto response = handle(heartbeat);
  peer::ForwardedResponse forwarded{request_id, static_cast<std::uint16_t>(response.status),
                                    context_.lease.fencing_token(), 0, response.body};
  if (response.status != 200) return forwarded;
  Machine* machine = context_.cluster.machine(heartbeat.machine);
  if (machine != nullptr) forwarded.fencing_token = context_.cluster.fencing_token_for(*machine);
  if (machine == nullptr || response.body.size() > peer::kMaxTextBytes) {
    forwarded.status = 503;
    return forwarded;
  }
  // A forwarder must not extend the lease of a machine on which a task is to be stopped: the stop
  // command, which may be part of this response, may not have arrived yet.
  if (machine->stopping()) return forwarded;
  if (!is_forwarder_of_zone(forwarder, machine->kind.zone)) return forwarded;
  const double until = context_.lease.may_respond_until();
  const double now = context_.now();
  if (until <= now) return forwarded;
  forwarded.delegation_ms = static_cast<std::uint32_t>((until - now) * 1000);
  double& delegated_until = machine->lease.delegated_until[forwarder];
  delegated_until = std::max(delegated_until, until);
  return forwarded;
}

bool HeartbeatHandler::is_forwarder_of_zone(const std::string& forwarder,
                                            const std::string& zone) const {
  const auto& others = context_.services.settings.others;
  return std::any_of(others.begin(), others.end(), [&](const base::Peer& peer) {
    return peer.name == forwarder && peer.zone == zone;
  });
}

void HeartbeatHandler::on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat) {
  // The echoed time is when this leader sent a peer heartbeat that the forwarder has received. The
  // forwarder does not respond as a delegate before its leader timeout has passed since then. The
  // factor allows for drift between the two clocks.
  constexpr double kClockDriftFactor = 0.98;
  constexpr double kNeverResponded = -1;
  const auto& settings = context_.services.settings;
  const double now = context_.now();
  const bool echoes_this_term =
      peer_heartbeat.echoed_fencing_token == context_.lease.fencing_token();
  double no_response_before = 0;
  if (echoes_this_term) {
    no_response_before = static_cast<double>(peer_heartbeat.echoed_clock_ms) / 1000 +
                         HeartbeatForwarder::leader_timeout(settings) * kClockDriftFactor;
  }
  double responded_at = kNeverResponded;
  if (peer_heartbeat.delegate_responded_ms != peer::kNeverMs) {
    responded_at = now - peer_heartbeat.delegate_responded_ms / 1000.0;
  }
  context_.cluster.record_forwarder(peer_heartbeat.name, peer_heartbeat.incarnation,
                                    no_response_before, responded_at, now);
}

bool HeartbeatHandler::try_redirect(const std::string& machine_id, const std::string& forwarder) {
  Machine* machine = context_.cluster.machine(machine_id);
  const double now = context_.now();
  if (machine == nullptr || !machine->agent.token_acknowledged) return false;
  if (!context_.cluster.is_forwarder_reachable(forwarder, now)) return false;
  // Prevents redirection loops: an agent that returns this soon could not reach its forwarder.
  const double min_interval_s = 2 * context_.services.settings.lease_s;
  if (machine->lease.redirected_at > 0 && now - machine->lease.redirected_at < min_interval_s)
    return false;
  machine->lease.redirected_at = now;
  return true;
}

bool HeartbeatHandler::agents_timed_out() const {
  const auto& settings = context_.services.settings;
  const double timeout_s = std::max(3 * settings.heartbeat_interval_s, settings.lease_s / 3);
  return context_.now() > last_agent_message_at_ + timeout_s;
}

}  // namespace cranklock::control
