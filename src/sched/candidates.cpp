#include "sched/candidates.hpp"

#include <algorithm>
#include <map>

#include "sched/availability.hpp"
#include "sched/entitlement.hpp"
#include "sched/run_time.hpp"

namespace cranklock::sched {
namespace {

/// Resources still held by tasks that are being stopped, by machine. Few tasks are being stopped at
/// any time, so the map is small.
std::map<std::string, wire::Resources> releasing_by_machine(ClusterState& cluster) {
  std::map<std::string, wire::Resources> releasing;
  for (const auto& [id, job] : cluster.jobs()) {
    for (const auto& placement : job.placements) {
      const bool stopping = !placement.ended && (placement.stop_requested || job.cancelled());
      if (stopping) releasing[placement.machine] += job.spec.resources;
    }
  }
  return releasing;
}

}  // namespace

CandidateSet::CandidateSet(ClusterState& cluster) : cluster_(cluster) {
  const auto releasing = releasing_by_machine(cluster);
  any_releasing_ = !releasing.empty();
  for (auto& [id, machine] : cluster.machines()) {
    const auto* type = cluster.type(machine.kind.type);
    if (type == nullptr) continue;
    const wire::Resources free = type->resources - machine.allocated;
    const bool retriable = is_retriable(cluster, machine);
    if (retriable || is_schedulable(cluster, machine)) {
      const auto released = releasing.find(id);
      auto& list = retriable ? retriable_ : schedulable_;
      list.push_back({machine.kind, free, &machine,
                      released == releasing.end() ? wire::Resources{} : released->second, nullptr,
                      type, cluster.reservations().any_on(id)});
    } else if (is_starting(cluster, machine)) {
      starting_.push_back({machine.kind, free, nullptr, {}, nullptr, type});
    }
  }
  for (const auto& reservation : cluster.reservations().all()) {
    if (cluster.is_reservation_active(reservation)) reservations_.push_back(&reservation);
  }
}

Candidate* CandidateSet::find(const std::string& machine) {
  const auto found =
      std::find_if(schedulable_.begin(), schedulable_.end(),
                   [&](const Candidate& candidate) { return candidate.machine->id == machine; });
  return found == schedulable_.end() ? nullptr : &*found;
}

// Resources on the candidate that are reserved for other jobs, or for a task of this job that is
// being moved. Omits reservations that this job may also use, and those for jobs that it may
// preempt: a reservation must not block the placement of work that is entitled to preempt its
// holder (invariant 19).
wire::Resources CandidateSet::reserved_for_others(const Job& job, const Candidate& candidate) {
  wire::Resources reserved;
  for (const Reservation* reservation : reservations_) {
    if (reservation->machine != candidate.machine->id) continue;
    const Job& holder = *cluster_.job(reservation->job);
    if (&holder == &job && !reservation->task) continue;
    if (reservation->also_usable_by == job.spec.id) continue;
    if (&holder != &job && may_preempt(job, holder)) continue;
    reserved += reservation->resources;
  }
  return reserved;
}

wire::Resources CandidateSet::unreserved_for(const Job& job, const Candidate& candidate) {
  const wire::Resources available = candidate.free - reserved_for_others(job, candidate);
  if (job.spec.resources.fits_in(candidate.free + candidate.releasing) &&
      !job.spec.resources.fits_in(available + candidate.releasing)) {
    blocked_by_reservation_ = true;
  }
  return available;
}

const wire::Resources& CandidateSet::held_by_replicas(Candidate& candidate) const {
  if (candidate.held_by_replicas) return *candidate.held_by_replicas;
  wire::Resources held;
  for (const PlacementRef& ref : candidate.machine->tasks) {
    const bool is_stopping = ref.job->cancelled() || ref.placement().stop_requested;
    if (stands(ref.job->spec) && !is_stopping) held += ref.job->spec.resources;
  }
  return candidate.held_by_replicas.emplace(held);
}

std::vector<std::string> gang_zones(const CandidateSet& candidates, const wire::JobSpec& spec) {
  if (!spec.one_zone) return {""};
  std::vector<std::string> zones;
  for (const auto& candidate : candidates.schedulable()) {
    if (std::find(zones.begin(), zones.end(), candidate.kind.zone) == zones.end()) {
      zones.push_back(candidate.kind.zone);
    }
  }
  return zones;
}

}  // namespace cranklock::sched
