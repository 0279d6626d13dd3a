#include "control/machine_supervisor.hpp"

#include <algorithm>
#include <vector>

#include "base/event_log.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using sched::Job;
using sched::Machine;

Task<void> MachineSupervisor::run() {
  for (;;) {
    Sleep pause(context_.services.reactor, context_.services.settings.heartbeat_interval_s / 3);
    co_await pause;
    const double now = context_.now();
    expire_leases(now);
    context_.cluster.update_overdue_boots(now);
    const auto zones = sched::count_agents_by_zone(context_.cluster, now);
    for (auto& [id, machine] : context_.cluster.machines()) {
      if (!machine.cloud.terminating) check_machine(machine, zones, now);
    }
    check_placements(now);
  }
}

void MachineSupervisor::expire_leases(double now) {
  for (const auto& [machine, placements] : context_.cluster.expire_leases(now)) {
    base::log_info("machine lease expired", base::field("machine", machine),
                   base::field("placements", placements));
    context_.state_changed.set();
  }
  for (const auto& zone : context_.cluster.update_zone_reachability(now)) {
    base::log_info("zone unreachable", base::field("zone", zone));
    context_.state_changed.set();
  }
}

void MachineSupervisor::check_machine(Machine& machine, const Zones& zones, double now) {
  if (const auto reason = termination_reason(machine, zones, now)) {
    deleter_.terminate(machine, *reason);
    return;
  }
  expire_quarantine(machine, now);
  if (machine.agent.heartbeat_received && machine.cloud.reclaim_at)
    checkpoint_before_reclaim(machine, now);
}

std::optional<TerminationReason> MachineSupervisor::termination_reason(const Machine& machine,
                                                                       const Zones& zones,
                                                                       double now) {
  if (machine.cloud.failed) return TerminationReason::listed_as_failed;
  if (!machine.agent.heartbeat_received) {
    if (is_boot_timed_out(machine, now)) return TerminationReason::boot_timeout;
    return std::nullopt;
  }
  const bool unanswered =
      now - machine.lease.last_response > 2 * context_.services.settings.lease_s;
  if (machine.lease.expired && unanswered && now > machine.lease.grace_until) {
    return TerminationReason::lease_expired;
  }
  // Deletion proves immediately that its tasks have ended, which lease expiry would prove only
  // later, so the tasks are restarted elsewhere sooner.
  if (sched::is_reclaimed(context_.cluster, machine, zones, now))
    return TerminationReason::reclaimed;
  const bool fault_confirmed = machine.faults.quarantine == sched::Quarantine::confirmed;
  const bool quarantine_over =
      now - machine.faults.quarantined_since > context_.cluster.quarantine_period_s();
  if (machine.quarantined() && machine.idle() && (fault_confirmed || quarantine_over)) {
    return TerminationReason::quarantined;
  }
  return std::nullopt;
}

void MachineSupervisor::expire_quarantine(Machine& machine, double now) {
  if (!machine.quarantined()) return;
  context_.cluster.expire_quarantine(machine, now);
  if (machine.quarantined()) return;
  base::log_info("quarantine lifted", base::field("machine", machine.id),
                 base::field("reason", "no task failed lately"));
  context_.state_changed.set();
}

// The machine list alone does not prove that a boot has failed. But a machine runs no tasks if it
// has sent no heartbeat for several boot times and this leader's term is long enough to have
// received one. Until `grace_until`, machines whose heartbeats cannot arrive because their zone is
// unreachable are exempt: their boot has not failed.
bool MachineSupervisor::is_boot_timed_out(const Machine& machine, double now) const {
  const auto& settings = context_.services.settings;
  const auto* type = context_.cluster.type(machine.kind.type);
  const double expected_s = type != nullptr
                                ? context_.cluster.expected_boot_s(*type, machine.kind.zone, now)
                                : settings.lease_s;
  const double timeout_s = settings.operator_settings.boot_timeout_factor * expected_s;
  return now - machine.cloud.provisioned_at > timeout_s &&
         now - context_.term_started_at > settings.lease_s * 2 && now > machine.lease.grace_until;
}

// Stops tasks with checkpoints early enough to save them before the machine is reclaimed.
void MachineSupervisor::checkpoint_before_reclaim(Machine& machine, double now) {
  constexpr double kStopHeartbeats = 3;  ///< for the stop to arrive and its result to be reported
  const double left_s = *machine.cloud.reclaim_at - now;
  for (const auto& placement_ref : machine.tasks) {
    const auto& spec = placement_ref.job->spec;
    const double needed_s = 2 * spec.checkpoint_save_s +
                            kStopHeartbeats * context_.services.settings.heartbeat_interval_s;
    if (spec.checkpoint_interval_s > 0 && left_s < needed_s) {
      placement_ref.placement().request_stop(spec.checkpoint_save_s, now);
    }
  }
}

// A new leader first waits for heartbeats, as far as the time limit for cancellations permits.
double MachineSupervisor::cancellation_deadline(const Job& job) const {
  constexpr double kHeartbeatsAfterFailover = 2.5;
  constexpr double kMaxDelayFraction = 0.75;  ///< of the time limit for a cancellation
  const auto& settings = context_.services.settings;
  const double default_deadline =
      job.cancelled_since + (settings.cancel_s - settings.heartbeat_interval_s) / 2;
  const double heartbeats_expected_by =
      context_.term_started_at + kHeartbeatsAfterFailover * settings.heartbeat_interval_s;
  const double latest_deadline = job.cancelled_since + settings.cancel_s * kMaxDelayFraction;
  return std::max(default_deadline, std::min(heartbeats_expected_by, latest_deadline));
}

// Terminates machines whose cancelled tasks were not confirmed to have ended in time, and machines
// that a record names but that neither the list nor a heartbeat has shown. For both, deletion is
// the only remaining proof that their tasks have ended (invariants 4 and 7).
void MachineSupervisor::check_placements(double now) {
  const auto& settings = context_.services.settings;
  const bool all_known =
      now - context_.term_started_at > 2 * settings.list_lag_s + settings.lease_s;
  std::vector<std::string> unknown;
  for (const auto& [id, job] : context_.cluster.jobs()) {
    const bool overdue = job.cancelled() && now > cancellation_deadline(job);
    for (const auto& placement : job.placements) {
      if (placement.ended) continue;
      Machine* machine = context_.cluster.machine(placement.machine);
      if (machine != nullptr && overdue) {
        deleter_.terminate(*machine, TerminationReason::cancelled_task_unconfirmed);
      }
      if (machine == nullptr && (overdue || all_known)) unknown.push_back(placement.machine);
    }
  }
  for (const auto& id : unknown) {
    deleter_.terminate(context_.cluster.upsert_machine(id, {}, now),
                       TerminationReason::unknown_machine);
  }
}

}  // namespace cranklock::control
