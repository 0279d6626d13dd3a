#include "control/machine_lifecycle.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranklock::control {

using net::Sleep;
using net::Task;
using sched::Job;
using sched::Machine;

MachineLifecycle::MachineLifecycle(Services services, const LeaderLease& lease,
                                   sched::ClusterState& cluster, net::Signal& work)
    : services_(services),
      leader_lease_(lease),
      cluster_(cluster),
      work_(work),
      deletions_(services.reactor),
      term_started_at_(services.reactor.now()) {}

void MachineLifecycle::start(net::Scope& scope) {
  scope.spawn(follow_list());
  scope.spawn(follow_types());
  scope.spawn(supervise());
  scope.spawn(delete_terminating());
}

// ---- the cloud ----

Task<void> MachineLifecycle::follow_types() {
  for (;;) {
    auto asking = services_.cloud.types();
    auto types = co_await asking;
    if (types && !types->empty()) {
      cluster_.set_types(std::move(*types));
      cluster_.mark_changed();
      work_.set();
    }
    const bool known = !cluster_.types().empty();
    Sleep pause(services_.reactor, known ? 2 * services_.settings.list_lag_s : 1.0);
    co_await pause;
  }
}

void MachineLifecycle::take_in_list(const std::vector<wire::ListedMachine>& machines) {
  const double at = now();
  for (const auto& item : machines) {
    if (is_deleted(item.id)) continue;
    auto& m = cluster_.upsert_machine(item.id, {item.type, item.zone, item.spot}, at);
    m.cloud.listed = true;
    m.cloud.provisioned_at = std::min(m.cloud.provisioned_at, at - item.age_s);
    if (m.address.empty()) m.address = item.address;
    if (item.state == wire::MachineState::failed) m.cloud.failed = true;
    m.cloud.booting = item.state == wire::MachineState::booting;
  }
}

Task<void> MachineLifecycle::follow_list() {
  for (;;) {
    auto asking = services_.cloud.list();
    const auto machines = co_await asking;
    if (machines) take_in_list(*machines);
    const auto known = cluster_.machines().size();
    Sleep pause(services_.reactor, cloud::Client::list_interval(services_.settings, known));
    co_await pause;
  }
}

namespace {
bool holds_cancelled(const Machine& m) {
  return std::any_of(m.tasks.begin(), m.tasks.end(),
                     [](const sched::PlacementRef& held) { return held.job->cancelled(); });
}
}  // namespace

// When a cancelled task that is not proven gone takes its machine along. A new leader first hears
// those that report, as long as there is time for it.
double MachineLifecycle::cancel_due(const Job& job) const {
  const auto& s = services_.settings;
  const double due = job.cancelled_since + (s.cancel_s - s.heartbeat_interval_s) / 2;
  const double heard = std::min(term_started_at_ + 2.5 * s.heartbeat_interval_s,
                                job.cancelled_since + s.cancel_s * 0.75);
  return std::max(due, heard);
}

void MachineLifecycle::terminate(Machine& m, const char* why) {
  if (m.cloud.terminating) return;
  m.cloud.terminating = true;
  spdlog::info("machine {} ({} in {}{}) is returned: {}", m.id, m.kind.type, m.kind.zone,
               m.kind.spot ? ", spot" : "", why);
  cluster_.mark_changed();
  deletions_.set();
}

// What was cancelled must be gone in time, also in an outage: no leader wants it to go on. Guards
// against a leader that stood still, and knows neither that the task has ended since nor what its
// successor has placed on the machine: it has to ask for its lease first.
bool MachineLifecycle::may_delete(const Machine& m) const {
  if (leader_lease_.valid(now())) return true;
  return holds_cancelled(m) && leader_lease_.may_still_lead(now());
}

std::vector<std::string> MachineLifecycle::due_deletions() const {
  std::vector<std::string> names, from_start;
  for (const auto& [id, m] : cluster_.machines()) {
    if (!m.cloud.terminating || !may_delete(m)) continue;
    auto& list = id > deletions_after_ ? names : from_start;
    if (list.size() < max_deletions_) list.push_back(id);
  }
  for (auto& id : from_start) {
    if (names.size() < max_deletions_) names.push_back(std::move(id));
  }
  return names;
}

// Guards against a machine that the cloud refuses to delete, and with it all that are named in the
// same request: half as many are named next, and others, until it stands alone.
void MachineLifecycle::record_deletion_result(const std::vector<std::string>& names,
                                              cloud::DeletionResult deletion_result) {
  if (deletion_result == cloud::DeletionResult::indeterminate) return;
  deletions_after_ = names.back();
  if (deletion_result == cloud::DeletionResult::rejected) {
    spdlog::error("the cloud refuses to delete {} machines, {} among them", names.size(),
                  names.front());
    max_deletions_ = std::max<std::size_t>(names.size() / 2, 1);
    return;
  }
  max_deletions_ = std::min(2 * max_deletions_, cloud::kMaxDeletions);
  note_deleted(names);
  for (const auto& name : names) cluster_.remove_machine(name, now());
  work_.set();
}

Task<void> MachineLifecycle::delete_terminating() {
  for (;;) {
    net::Signal::Wait wait(deletions_, services_.settings.heartbeat_interval_s);
    co_await wait;
    const auto names = due_deletions();
    if (names.empty()) continue;
    const bool may_be_more = names.size() == max_deletions_;
    auto terminating = services_.cloud.remove(names);
    const auto deletion_result = co_await terminating;
    record_deletion_result(names, deletion_result);
    if (deletion_result == cloud::DeletionResult::deleted) {
      if (may_be_more) deletions_.set();
      continue;
    }
    Sleep pause(services_.reactor, services_.settings.heartbeat_interval_s / 2);
    co_await pause;
  }
}

void MachineLifecycle::note_deleted(const std::vector<std::string>& names) {
  const auto& s = services_.settings;
  const double kept = 20 * std::max(s.list_lag_s, s.lease_s);
  std::erase_if(deleted_, [&](const auto& entry) { return entry.second < now() - kept; });
  for (const auto& name : names) deleted_[name] = now();
}

void MachineLifecycle::check_machine(Machine& m,
                                     const std::map<std::string, sched::ZoneWorkers>& zones,
                                     double at) {
  const auto& s = services_.settings;
  const auto* type = cluster_.type(m.kind.type);
  if (m.cloud.failed) return terminate(m, "it has stopped on its own");
  if (!m.agent.heartbeat_received) {
    // A list alone proves nothing; a machine that has not reported for several boot times, to a
    // leader who has been there for long enough, does no work.
    const double expected =
        type != nullptr ? cluster_.expected_boot(*type, m.kind.zone, at) : s.lease_s;
    const double patience = s.operators.boot_patience * expected;
    // Nor has one that its zone's cut keeps from reporting failed to come up.
    if (at - m.cloud.provisioned_at > patience && at - term_started_at_ > s.lease_s * 2 &&
        at > m.lease.grace_until) {
      terminate(m, "it never came up");
    }
    return;
  }
  if (m.lease.expired && at - m.lease.last_response > 2 * s.lease_s && at > m.lease.grace_until) {
    return terminate(m, "it is silent");
  }
  // Its deletion proves what its lease would prove only later: its work starts elsewhere the
  // sooner.
  if (sched::is_reclaimed(cluster_, m, zones, at)) return terminate(m, "it is taken");
  const bool confirmed = m.faults.quarantine == sched::Quarantine::confirmed;
  const bool tried = confirmed || at - m.faults.quarantined_since > cluster_.quarantine_period();
  if (m.quarantined() && m.idle() && tried) return terminate(m, "it fails what it starts");
  if (!m.cloud.reclaim_at) return;
  // Its work moves while it still runs: what saves is told to save.
  for (const auto& held : m.tasks) {
    const auto& spec = held.job->spec;
    if (spec.checkpoint_interval_s > 0 &&
        *m.cloud.reclaim_at - at < 2 * spec.checkpoint_save_s + 3 * s.heartbeat_interval_s) {
      held.placement().request_stop(spec.checkpoint_save_s, at);
    }
  }
}

Task<void> MachineLifecycle::supervise() {
  for (;;) {
    Sleep pause(services_.reactor, services_.settings.heartbeat_interval_s / 3);
    co_await pause;
    const double at = now();
    report_expired_leases(at);
    cluster_.update_overdue_boots(at);
    const auto zones = sched::count_workers(cluster_, at);
    for (auto& [id, m] : cluster_.machines()) {
      if (!m.cloud.terminating) check_machine(m, zones, at);
    }
    check_placements(at);
  }
}

void MachineLifecycle::report_expired_leases(double at) {
  for (const auto& id : cluster_.expire_leases(at)) {
    spdlog::info("machine {} is silent, its lease is over", id);
    work_.set();
  }
  for (const auto& zone : cluster_.update_zone_reachability(at)) {
    spdlog::info("zone {} is unreachable: none of its workers is heard", zone);
    work_.set();
  }
}

// Deletes machines whose cancelled tasks could not be confirmed as ended in time, and machines that
// a record names though neither the list nor a heartbeat has shown them: for both, the deletion is
// the only proof left.
void MachineLifecycle::check_placements(double at) {
  const auto& s = services_.settings;
  const bool all_known = at - term_started_at_ > 2 * s.list_lag_s + s.lease_s;
  std::vector<std::string> unknown;
  for (const auto& [id, job] : cluster_.jobs()) {
    const bool overdue = job.cancelled() && at > cancel_due(job);
    for (const auto& p : job.placements) {
      if (p.ended) continue;
      Machine* m = cluster_.machine(p.machine);
      if (m != nullptr && overdue) terminate(*m, "a cancelled task may still be on it");
      if (m == nullptr && (overdue || all_known)) unknown.push_back(p.machine);
    }
  }
  for (const auto& name : unknown) {
    terminate(cluster_.upsert_machine(name, {}, at), "nothing is known of it");
  }
}

}  // namespace cranklock::control
