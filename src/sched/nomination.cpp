#include "sched/nomination.hpp"

#include <algorithm>

#include "sched/best_fit.hpp"

namespace cranklock::sched {
namespace {

/// Whether one task takes at least half of a machine of this type.
bool is_large(const Job& job, const wire::MachineType& type) {
  return job.spec.resources.fits_in(type.resources) &&
         2 * dominant_share(job.spec.resources, type.resources) >= 1;
}

/// Whether a task fits once the resources that are being released are free.
bool fits_after_release(CandidateSet& candidates, const Job& job, const Candidate& candidate) {
  return job.spec.resources.fits_in(candidates.available_to(job, candidate) + candidate.releasing);
}

/// Machines that could be nominated for a gang.
struct GangMachines {
  std::vector<Candidate*> machines;  ///< those that fit after release come first
  std::size_t fitting_count = 0;     ///< number of machines that fit after release
};

GangMachines machines_for_gang(CandidateSet& candidates, const Job& job,
                               const std::string& only_zone, double now) {
  std::vector<Candidate*> fitting, others;
  for (auto& candidate : candidates.schedulable()) {
    if (candidate.nominated_for != nullptr || !allows(job.spec, candidate.kind)) continue;
    if (candidates.cluster().is_avoided(job, *candidate.machine, now)) continue;
    if (!only_zone.empty() && candidate.kind.zone != only_zone) continue;
    const bool waited_for_boot = now - job.known_since > candidate.type->ready_s;
    if (fits_after_release(candidates, job, candidate)) {
      fitting.push_back(&candidate);
    } else if (waited_for_boot && is_large(job, *candidate.type)) {
      others.push_back(&candidate);
    }
  }
  std::sort(others.begin(), others.end(),
            [](const Candidate* a, const Candidate* b) { return a->free.gpus > b->free.gpus; });
  const std::size_t fitting_count = fitting.size();
  fitting.insert(fitting.end(), others.begin(), others.end());
  return {std::move(fitting), fitting_count};
}

}  // namespace

// Prevents starvation of large tasks: without a nomination, small tasks could take every resource
// that is released.
void nominate_machine(CandidateSet& candidates, const Job& job, double now) {
  if (candidates.cluster().reservations().any_for_pending_tasks(job.spec.id)) return;
  Candidate* best = nullptr;
  for (auto& candidate : candidates.schedulable()) {
    if (candidate.nominated_for != nullptr) continue;
    if (candidates.cluster().is_avoided(job, *candidate.machine, now)) continue;
    // A machine where stopping tasks release enough is nominated at once, so that resources
    // released by a preemption go to the job that the preemption was for.
    const bool being_released = candidate.releasing.gpus + candidate.releasing.cpus > 0 &&
                                fits_after_release(candidates, job, candidate);
    const bool waited_for_boot = now - job.known_since >= candidate.type->ready_s;
    const bool has_most_free = waited_for_boot && is_large(job, *candidate.type) &&
                               (best == nullptr || candidate.free.gpus > best->free.gpus);
    if (!(being_released || has_most_free) || !allows(job.spec, candidate.kind)) continue;
    best = &candidate;
    if (being_released) break;
  }
  if (best != nullptr) best->nominated_for = &job;
}

// Prevents starvation of gangs of large tasks, whose machines might never all be free at once.
// Machines are nominated as soon as the tasks fit after release, or once the gang has waited as
// long as a boot takes.
void nominate_gang_machines(CandidateSet& candidates, const Job& job, double now) {
  if (candidates.cluster().reservations().any_for_pending_tasks(job.spec.id)) return;
  GangMachines best;
  for (const auto& zone : gang_zones(candidates, job.spec)) {
    GangMachines found = machines_for_gang(candidates, job, zone, now);
    if (found.machines.size() < job.spec.tasks) continue;
    if (!best.machines.empty() && found.fitting_count <= best.fitting_count) continue;
    best = std::move(found);
  }
  const std::size_t count = std::min<std::size_t>(best.machines.size(), job.spec.tasks);
  for (std::size_t i = 0; i < count; ++i) best.machines[i]->nominated_for = &job;
}

}  // namespace cranklock::sched
