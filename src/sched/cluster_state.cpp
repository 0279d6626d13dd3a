#include "sched/cluster_state.hpp"

namespace cranklock::sched {

ClusterState::ClusterState(const base::Settings& settings, std::uint64_t fencing_token,
                           double leader_since)
    : settings_(settings),
      tokens_(fencing_token),
      jobs_(changes_),
      machines_(changes_),
      start_policy_(settings, quota_),
      placements_(machines_, quota_, changes_),
      failures_(settings, machines_, changes_),
      leases_(settings, leader_since),
      zones_(settings, machines_, changes_),
      boots_(machines_, changes_),
      tasks_(settings, jobs_, machines_, start_policy_, placements_, failures_, changes_),
      heartbeats_(settings, tokens_, machines_, boots_, tasks_, changes_),
      commands_(settings, jobs_, start_policy_, tokens_) {}

Job& ClusterState::upsert_job(Job job, double now) {
  job.record.placements.set(job.placements.size());
  if (Job* known = jobs_.find(job.spec.id)) {
    carry_over_runtime_state(job, *known);
    placements_.detach_all(*known, now);
  } else {
    job.known_since = now;
    failures_.restore_earlier_failures(job, now);
  }
  if (job.cancelled() && job.cancelled_since == 0) job.cancelled_since = now;
  job.complete_partly_done_gang();
  job.urgency.priority = job.spec.priority;  // until the next pass
  // The outcome replaces the record of a complete job.
  if (job.complete()) job.record.dirty = true;
  job.sort_placements();
  Job& stored_job = jobs_.put(std::move(job));
  placements_.attach_all(stored_job, now);
  return stored_job;
}

void ClusterState::remove_job(const std::string& id) {
  Job* job = jobs_.find(id);
  if (job == nullptr) return;
  placements_.detach_all(*job, job->known_since);
  jobs_.erase(id);
}

void ClusterState::remove_machine(const std::string& id, double now) {
  changes_.raise();
  Machine* machine = machines_.find(id);
  if (machine == nullptr) return;
  placements_.end_all(*machine, EndProof::machine_deleted, now);
  machines_.erase(id);
}

std::vector<wire::Command> ClusterState::commands_for(const wire::Heartbeat& heartbeat,
                                                      bool may_start, double now) {
  Machine* machine = machines_.find(heartbeat.machine);
  if (machine == nullptr) return {};
  return commands_.commands_for(*machine, heartbeat, may_start, now);
}

void ClusterState::record_response(const std::string& id, double now) {
  if (Machine* machine = machines_.find(id)) machine->lease.last_response = now;
}

std::vector<ClusterState::ExpiredLease> ClusterState::expire_leases(double now) {
  std::vector<ExpiredLease> expired;
  for (auto& [id, machine] : machines_.all()) {
    const bool holds_lease = machine.agent.heartbeat_received || !machine.tasks.empty();
    if (machine.lease.expired || !holds_lease) continue;
    if (!leases_.has_expired(machine, now)) continue;
    machine.lease.expired = true;
    expired.push_back({id, machine.tasks.size()});
    placements_.end_all(machine, EndProof::lease_expired, now);
  }
  return expired;
}

void ClusterState::set_reservations(Reservations reservations) {
  if (reservations.all() == reservations_.all()) return;
  // Capacity reserved for the previous plan becomes available at once (invariant 19).
  changes_.raise();
  reservations_ = std::move(reservations);
}

bool ClusterState::is_reservation_active(const Reservation& reservation) const {
  const Job* job = jobs_.find(reservation.job);
  return job != nullptr && holds_capacity(reservation, *job);
}

}  // namespace cranklock::sched
