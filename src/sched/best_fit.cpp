#include "sched/best_fit.hpp"

#include <algorithm>
#include <limits>

#include "sched/nomination.hpp"
#include "sched/run_time.hpp"

namespace cranklock::sched {

double dominant_share(const wire::Resources& part, const wire::Resources& whole) {
  double share = 0;
  if (whole.cpus > 0) share = std::max(share, part.cpus / whole.cpus);
  if (whole.gpus > 0) share = std::max(share, part.gpus / whole.gpus);
  if (whole.memory_gb > 0) share = std::max(share, part.memory_gb / whole.memory_gb);
  return share;
}

std::uint32_t fitting_tasks(const wire::Resources& task, const wire::Resources& available) {
  constexpr double kAmountTolerance = 1e-6;  // rounding of sums of decimals
  double tasks = wire::kMaxTasks;
  const auto limit_by = [&](double amount, double available_amount) {
    if (amount > 0) tasks = std::min(tasks, (available_amount + kAmountTolerance) / amount);
  };
  limit_by(task.cpus, available.cpus);
  limit_by(task.gpus, available.gpus);
  limit_by(task.memory_gb, available.memory_gb);
  return static_cast<std::uint32_t>(std::max(tasks, 0.0));
}

bool lacks_local_controller(const ClusterState& cluster, const Job& job, const std::string& zone) {
  return job.spec.kind == wire::JobKind::service && !cluster.settings().has_controller_in(zone);
}

double placement_cost_s(const ClusterState& cluster, const Job& job, const Candidate& candidate,
                        const ZoneCount& zones) {
  // Best fit keeps whole machines free for the largest tasks. The penalty grows with the capacity
  // that the task leaves unused, up to a tenth of the boot time for a whole machine.
  constexpr double kFragmentationWeight = 0.1;
  const wire::MachineType& type = *candidate.type;
  double seconds = 0;
  if (candidate.machine != nullptr && !candidate.machine->holds_image(job.spec.image)) {
    seconds += image_fetch_s(job.spec, type.fetch_gb_per_s);
  }
  seconds += kFragmentationWeight * type.ready_s *
             dominant_share(candidate.free - job.spec.resources, type.resources);
  if (job.spec.spot && !candidate.kind.spot) seconds += type.ready_s;
  if (lacks_local_controller(cluster, job, candidate.kind.zone))
    seconds += kNoLocalControllerWeight * type.ready_s;
  if (job.spec.spread) seconds += type.ready_s * zones.tasks_in(candidate.kind.zone);
  return seconds;
}

namespace {

/// Whether a task of the job may be placed on the candidate now if none has failed there. Cheap
/// checks that reject many candidates run first.
bool is_feasible(CandidateSet& candidates, const Job& job, const Candidate& candidate,
                 const ZoneCount& zones, const std::string& only_zone) {
  if (!job.spec.resources.fits_in(candidates.available_to(job, candidate))) return false;
  if (!allows(job.spec, candidate.kind)) return false;
  if (!only_zone.empty() && candidate.kind.zone != only_zone) return false;
  if (!zone_rules_allow(job.spec, zones, candidate.kind.zone)) return false;
  if (!is_kept_for_nominee(candidate, job)) return true;
  candidates.note_blocked_by_nomination();
  return false;
}

/// The candidate with the lowest cost, the first one on a tie.
struct BestCandidate {
  Candidate* candidate = nullptr;
  double cost_s = std::numeric_limits<double>::infinity();

  void consider(const CandidateSet& candidates, const Job& job, Candidate& other,
                const ZoneCount& zones) {
    const double other_cost_s = placement_cost_s(candidates.cluster(), job, other, zones);
    if (other_cost_s >= cost_s) return;
    candidate = &other;
    cost_s = other_cost_s;
  }
};

/// Whether a machine that is starting would take a task of the job.
bool is_other_machine_starting(CandidateSet& candidates, const Job& job, const ZoneCount& zones) {
  return std::any_of(
      candidates.starting().begin(), candidates.starting().end(), [&](const Candidate& starting) {
        return job.spec.resources.fits_in(starting.free) && allows(job.spec, starting.kind) &&
               zone_rules_allow(job.spec, zones, starting.kind.zone);
      });
}

/// Whether the job should wait for a machine that is starting instead of being retried. Ends a boot
/// time after the last failure, in case that machine never becomes ready.
bool should_wait_for_boot(CandidateSet& candidates, const Job& job, const Candidate& candidate,
                          const ZoneCount& zones, double now) {
  const double boot_ends_at = candidate.machine->faults.last_failure_at + candidate.type->ready_s;
  return now < boot_ends_at && is_other_machine_starting(candidates, job, zones);
}

}  // namespace

Candidate* find_best_fit(CandidateSet& candidates, const Job& job, const ZoneCount& zones,
                         const std::string& only_zone, AvoidedMachine avoided) {
  BestCandidate best;
  candidates.record_search();
  for (auto& candidate : candidates.schedulable()) {
    if (!is_feasible(candidates, job, candidate, zones, only_zone)) continue;
    if (avoided == AvoidedMachine::excluded && job.avoids(candidate.machine->id)) continue;
    best.consider(candidates, job, candidate, zones);
  }
  return best.candidate;
}

Candidate* find_retry_fit(CandidateSet& candidates, const Job& job, const ZoneCount& zones,
                          double now) {
  const ClusterState& cluster = candidates.cluster();
  BestCandidate best;
  const auto consider = [&](Candidate& candidate) {
    if (!cluster.is_retry_due(job, *candidate.machine, now)) return;
    if (!is_feasible(candidates, job, candidate, zones, "")) return;
    if (should_wait_for_boot(candidates, job, candidate, zones, now)) return;
    best.consider(candidates, job, candidate, zones);
  };
  if (job.retry.failed_machines.size() == 1) {
    Candidate* avoided = candidates.find(*job.retry.failed_machines.begin());
    if (avoided != nullptr) consider(*avoided);
  }
  for (auto& candidate : candidates.retriable()) consider(candidate);
  return best.candidate;
}

}  // namespace cranklock::sched
