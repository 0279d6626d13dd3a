// The leader's state of jobs, placements, machines and quota use. No I/O; callers pass the time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/settings.hpp"
#include "sched/boot_monitor.hpp"
#include "sched/change_signal.hpp"
#include "sched/dependencies.hpp"
#include "sched/failure_tracker.hpp"
#include "sched/heartbeat_commands.hpp"
#include "sched/heartbeat_reconciler.hpp"
#include "sched/job.hpp"
#include "sched/job_table.hpp"
#include "sched/lease_tracker.hpp"
#include "sched/machine.hpp"
#include "sched/machine_inventory.hpp"
#include "sched/placement_tracker.hpp"
#include "sched/quota_usage.hpp"
#include "sched/reservations.hpp"
#include "sched/start_policy.hpp"
#include "sched/task_reconciler.hpp"
#include "sched/team_shares.hpp"
#include "sched/term_tokens.hpp"
#include "sched/zone_reachability.hpp"
#include "wire/agent_protocol.hpp"
#include "wire/client_api.hpp"
#include "wire/cloud_api.hpp"
#include "wire/types.hpp"

namespace cranklock::sched {

/// Facade over the classes that each hold a part of the scheduler's state; other modules access the
/// state only through it. All times are seconds on the steady clock of this leader.
///
/// JobTable and MachineInventory hold jobs and machines. PlacementTracker keeps placements,
/// allocations and QuotaUsage consistent. HeartbeatReconciler and TaskReconciler apply heartbeats,
/// and HeartbeatCommands builds the commands of the response. LeaseTracker, ZoneReachability,
/// BootMonitor and FailureTracker assess the state of machines.
class ClusterState {
 public:
  using Freshness = HeartbeatFreshness;

  /// `leader_since`: when this node began its term as leader. `settings` must outlive this
  /// object.
  ClusterState(const base::Settings& settings, std::uint64_t fencing_token, double leader_since);
  // Not copyable: members hold references to each other.
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  // Jobs.
  /// Adds or replaces a job by its stored record. Runtime state of the job and of its placements
  /// that this leader has collected is kept.
  Job& upsert_job(Job job, double now);
  void remove_job(const std::string& id);
  /// See JobTable::cancel. To be called before the cancellation is written to the stored record.
  void cancel(Job& job, std::int64_t at_ms, double since) { jobs_.cancel(job, at_ms, since); }
  /// See JobTable::record_outcome.
  void record_outcome(const std::string& id, const Dependencies::Outcome& outcome) {
    jobs_.record_outcome(id, outcome);
  }
  const Dependencies& dependencies() const { return jobs_.dependencies(); }
  /// See JobTable::unknown_outcomes.
  std::vector<std::string> unknown_outcomes() const { return jobs_.unknown_outcomes(); }
  /// nullptr: the job is not live.
  Job* job(const std::string& id) { return jobs_.find(id); }
  std::map<std::string, Job>& jobs() { return jobs_.all(); }
  const std::map<std::string, Job>& jobs() const { return jobs_.all(); }
  /// See JobTable::memory_bytes.
  std::size_t job_memory_bytes() const { return jobs_.memory_bytes(); }

  // Placements; see PlacementTracker.
  Placement& add_placement(Job& job, std::uint32_t task, std::uint64_t attempt,
                           const std::string& machine, double now) {
    return placements_.add(job, task, attempt, machine, now);
  }
  void end_placement(Job& job, Placement& placement, EndProof proof, double now) {
    placements_.end(job, placement, proof, now);
  }
  /// Sets what is called for each placement that ends.
  void set_end_observer(PlacementTracker::EndObserver observer) {
    placements_.set_end_observer(std::move(observer));
  }
  void resolve_abandoned(Job& job, Placement& placement, double now) {
    placements_.resolve_abandoned(job, placement, now);
  }
  void erase_ended(Job& job, const std::vector<PlacementKey>& written) {
    placements_.erase_ended(job, {written.begin(), written.end()});
  }

  // Machines.
  Machine& upsert_machine(const std::string& id, const MachineKind& kind, double now) {
    return machines_.upsert(id, kind, now);
  }
  /// nullptr: the machine is unknown.
  Machine* machine(const std::string& id) { return machines_.find(id); }
  std::map<std::string, Machine>& machines() { return machines_.all(); }
  const std::map<std::string, Machine>& machines() const { return machines_.all(); }
  /// To be called when the cloud has confirmed the deletion of the machine with 200: none of its
  /// tasks runs any more (invariant 4 b).
  void remove_machine(const std::string& id, double now);
  void set_types(std::vector<wire::MachineType> types) { machines_.set_types(std::move(types)); }
  const std::map<std::string, wire::MachineType>& types() const { return machines_.types(); }
  const wire::MachineType* type(const std::string& name) const { return machines_.type(name); }

  // Heartbeats and leases of agents.
  /// See HeartbeatReconciler::reconcile.
  Freshness reconcile_heartbeat(const wire::Heartbeat& heartbeat, bool is_heartbeat, double now) {
    return heartbeats_.reconcile(heartbeat, is_heartbeat, now);
  }
  /// See HeartbeatCommands::commands_for; empty for an unknown machine.
  std::vector<wire::Command> commands_for(const wire::Heartbeat& heartbeat, bool may_start,
                                          double now);
  /// Records that this leader responded to a heartbeat of the machine with 200.
  void record_response(const std::string& machine, double now);
  /// See LeaseTracker::record_forwarder.
  void record_forwarder(const std::string& name, std::uint64_t incarnation,
                        double no_response_until, double delegate_responded_at, double now) {
    leases_.record_forwarder(name, incarnation, no_response_until, delegate_responded_at, now);
  }
  bool is_forwarder_reachable(const std::string& name, double now) const {
    return leases_.is_forwarder_reachable(name, now);
  }
  double latest_possible_response(const Machine& machine, double now) const {
    return leases_.latest_possible_response(machine, now);
  }
  double lease_upper_bound_s() const { return leases_.lease_upper_bound_s(); }
  struct ExpiredLease {
    std::string machine;
    std::size_t placements = 0;  ///< that ended with it
  };
  /// Ends the placements of machines whose lease has certainly expired.
  std::vector<ExpiredLease> expire_leases(double now);

  // Health of machines and zones.
  /// See ZoneReachability::update.
  std::vector<std::string> update_zone_reachability(double now) { return zones_.update(now); }
  bool is_unreachable(const std::string& zone) const { return zones_.is_unreachable(zone); }
  bool any_unreachable() const { return zones_.any_unreachable(); }
  /// See BootMonitor::update_overdue.
  void update_overdue_boots(double now) { boots_.update_overdue(now); }
  double expected_boot_s(const wire::MachineType& type, const std::string& zone, double now) const {
    return boots_.expected_boot_s(type, zone, now);
  }
  double boot_penalty(const wire::MachineType& type, const std::string& zone, double now) const {
    return boots_.penalty(type, zone, now);
  }
  double quarantine_period_s() const { return failures_.quarantine_period_s(); }
  /// See FailureTracker::is_retry_due.
  bool is_retry_due(const Job& job, const Machine& machine, double now) const {
    return failures_.is_retry_due(job, machine, now);
  }
  /// Whether the job avoids the machine and no retry is due there.
  bool is_avoided(const Job& job, const Machine& machine, double now) const {
    return job.avoids(machine.id) && !failures_.is_retry_due(job, machine, now);
  }
  /// See FailureTracker::record_retry.
  void record_retry(Job& job, Machine& machine, double now) const {
    failures_.record_retry(job, machine, now);
  }
  /// See FailureTracker::expire_quarantine.
  void expire_quarantine(Machine& machine, double now) {
    failures_.expire_quarantine(machine, now);
  }

  // Quota and reservations.
  const wire::Resources& team_allocation(const std::string& team) const {
    return quota_.allocated(team);
  }
  /// See QuotaUsage::ended.
  const wire::Resources& team_ended(const std::string& team) const { return quota_.ended(team); }
  /// See QuotaUsage::set_shares.
  void set_team_shares(const TeamShares* shares) { quota_.set_shares(shares); }
  wire::Resources guarantee_for(const base::Team& team) const { return quota_.guarantee(team); }
  wire::Resources limit_for(const base::Team& team) const { return quota_.limit(team); }
  /// See QuotaUsage::is_within_limit.
  bool is_within_limit(const base::Team& team, const wire::Resources& sum) const {
    return quota_.is_within_limit(team, sum);
  }
  /// See StartPolicy::may_start.
  bool may_start(const Job& job, const Placement& placement) const {
    return start_policy_.may_start(job, placement);
  }
  /// Replaces all reservations by those of the current move plan.
  void set_reservations(Reservations reservations);
  const Reservations& reservations() const { return reservations_; }
  /// Whether the job of the reservation is live and the reservation still holds resources; see
  /// holds_capacity().
  bool is_reservation_active(const Reservation& reservation) const;

  const base::Settings& settings() const { return settings_; }

  // Fencing tokens.
  const TermTokens& tokens() const { return tokens_; }
  /// See TermTokens::record_write.
  void record_leader_write(std::uint64_t revision) { tokens_.record_write(revision); }
  /// The fencing token for messages to this machine's agent.
  std::uint64_t fencing_token_for(const Machine& machine) const {
    return tokens_.for_agent(machine.agent);
  }
  /// Records that a start is sent straight to the agent, with its present fencing token.
  void record_direct_start(Machine& machine) const {
    machine.agent.direct_start_token = fencing_token_for(machine);
  }

  /// See ChangeSignal.
  bool take_changed() { return changes_.take(); }
  void mark_changed() { changes_.raise(); }

 private:
  const base::Settings& settings_;
  TermTokens tokens_;
  ChangeSignal changes_;
  JobTable jobs_;
  MachineInventory machines_;
  QuotaUsage quota_;
  Reservations reservations_;
  StartPolicy start_policy_;
  PlacementTracker placements_;
  FailureTracker failures_;
  LeaseTracker leases_;
  ZoneReachability zones_;
  BootMonitor boots_;
  TaskReconciler tasks_;
  HeartbeatReconciler heartbeats_;
  HeartbeatCommands commands_;
};

}  // namespace cranklock::sched
