#include "sched/best_fit.hpp"

#include <algorithm>
#include <limits>

namespace cranklock::sched {

double dominant_share(const wire::Resources& part, const wire::Resources& whole) {
  double share = 0;
  if (whole.cpus > 0) share = std::max(share, part.cpus / whole.cpus);
  if (whole.gpus > 0) share = std::max(share, part.gpus / whole.gpus);
  if (whole.memory_gb > 0) share = std::max(share, part.memory_gb / whole.memory_gb);
  return share;
}

bool lacks_local_controller(const ClusterState& cluster, const Job& job, const std::string& zone) {
  return job.spec.kind == wire::JobKind::service && !cluster.settings().has_controller_in(zone);
}

double placement_cost_s(const ClusterState& cluster, const Job& job, const Candidate& candidate,
                        const ZoneCount& zones) {
  // Best fit keeps whole machines free for the largest tasks. The penalty grows with the capacity
  // that the task leaves unused, up to a tenth of the boot time for a whole machine.
  constexpr double kFragmentationWeight = 0.1;
  constexpr double kMinFetchGbPerS = 0.01;  // for machine types that state no rate
  const wire::MachineType& type = *candidate.type;
  double seconds = 0;
  if (candidate.machine != nullptr && !candidate.machine->holds_image(job.spec.image)) {
    seconds += job.spec.image_gb / std::max(type.fetch_gb_per_s, kMinFetchGbPerS);
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

/// Whether a task of the job may be placed on the candidate now. Cheap checks that reject many
/// candidates run first.
bool is_feasible(CandidateSet& candidates, const Job& job, const Candidate& candidate,
                 const ZoneCount& zones, const std::string& only_zone) {
  if (!job.spec.resources.fits_in(candidates.available_to(job, candidate))) return false;
  if (!allows(job.spec, candidate.kind)) return false;
  if (!only_zone.empty() && candidate.kind.zone != only_zone) return false;
  if (candidate.nominated_for != nullptr && candidate.nominated_for != &job) return false;
  if (!zone_rules_allow(job.spec, zones, candidate.kind.zone)) return false;
  // If the job failed on a single machine, that machine is avoided since it may be at fault;
  // failures on two or more machines indicate a fault of the job.
  return job.retry.failed_machines.size() != 1 ||
         !job.retry.failed_machines.contains(candidate.machine->id);
}

}  // namespace

Candidate* find_best_fit(CandidateSet& candidates, const Job& job, const ZoneCount& zones,
                         const std::string& only_zone) {
  Candidate* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  candidates.record_search();
  for (auto& candidate : candidates.schedulable()) {
    if (!is_feasible(candidates, job, candidate, zones, only_zone)) continue;
    const double cost = placement_cost_s(candidates.cluster(), job, candidate, zones);
    if (cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace cranklock::sched
