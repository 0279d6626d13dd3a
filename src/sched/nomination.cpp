#include "sched/nomination.hpp"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "sched/best_fit.hpp"
#include "sched/run_time.hpp"
#include "sched/zone_count.hpp"

namespace cranklock::sched {
namespace {

using wire::Resources;

/// Whether one task takes at least half of a machine of this type.
bool is_large(const Job& job, const wire::MachineType& type) {
  return job.spec.resources.fits_in(type.resources) &&
         2 * dominant_share(job.spec.resources, type.resources) >= 1;
}

/// When the job has waited as long as a machine of the type takes to boot.
double due_at(const Job& job, const wire::MachineType& type) {
  return job.known_since + type.ready_s;
}

/// Resources available to the job on the candidate once stopping tasks have released theirs.
Resources after_release(CandidateSet& candidates, const Job& job, const Candidate& candidate) {
  return candidates.available_to(job, candidate) + candidate.releasing;
}

/// Resources available to the job on the candidate once all tasks have ended that end by
/// themselves.
Resources attainable(CandidateSet& candidates, const Job& job, Candidate& candidate) {
  const Resources reserved = candidate.free - candidates.available_to(job, candidate);
  return candidate.type->resources - candidates.held_by_replicas(candidate) - reserved;
}

/// The largest share of the machine that a task of this size lacks.
double lacking_share(const Resources& task, const Resources& available,
                     const wire::MachineType& type) {
  const Resources lacking{std::max(task.cpus - available.cpus, 0.0),
                          std::max(task.gpus - available.gpus, 0.0),
                          std::max(task.memory_gb - available.memory_gb, 0.0)};
  return dominant_share(lacking, type.resources);
}

/// Whether the machine may be nominated for the job, apart from resources and zone rules.
bool may_nominate(const CandidateSet& candidates, const Job& job, const Candidate& candidate,
                  double now) {
  return candidate.nominated_for == nullptr && allows(job.spec, candidate.kind) &&
         !candidates.cluster().is_avoided(job, *candidate.machine, now);
}

/// A task on a machine that ends by itself.
struct EndingTask {
  double ends_at = 0;
  Resources resources;
  /// Placed before a nomination for the job was due. Only these tasks put off its start: if those
  /// that were placed beside the nomination did so too, the nominee might wait for ever.
  bool preceded_nomination = false;
};

/// Sorted by end.
std::vector<EndingTask> ending_tasks(const Candidate& candidate, double nomination_due_at,
                                     double now) {
  std::vector<EndingTask> tasks;
  for (const PlacementRef& ref : candidate.machine->tasks) {
    const Placement& placement = ref.placement();
    const bool is_releasing = placement.stop_requested || ref.job->cancelled();
    if (is_releasing || stands(ref.job->spec)) continue;
    tasks.push_back({now + remaining_run_s(ref.job->spec, placement, now), ref.job->spec.resources,
                     placement.decided_at <= nomination_due_at});
  }
  std::sort(tasks.begin(), tasks.end(), [](const EndingTask& a, const EndingTask& b) {
    return std::tuple(a.ends_at, a.resources.gpus, a.resources.cpus) <
           std::tuple(b.ends_at, b.resources.gpus, b.resources.cpus);
  });
  return tasks;
}

/// A machine to nominate for some of a job's tasks, all of which will fit there.
struct Nomination {
  Candidate* candidate = nullptr;
  std::uint32_t tasks = 0;
};

/// When the tasks are expected to fit on the machine, but not after the end of the last task that
/// preceded the nomination.
double expected_start(const Resources& needed, Resources available,
                      const std::vector<EndingTask>& ending, double now) {
  double fits_at = now, last_preceding_end = now;
  for (const EndingTask& task : ending) {
    if (task.preceded_nomination) last_preceding_end = task.ends_at;
    if (needed.fits_in(available)) continue;
    available += task.resources;
    fits_at = task.ends_at;
  }
  return std::min(fits_at, last_preceding_end);
}

/// What is available on the machine beside the nominee's tasks once those can start, at `start` or
/// later.
Resources spare_at(double start, const Resources& needed, Resources available,
                   const std::vector<EndingTask>& ending) {
  for (const EndingTask& task : ending) {
    if (task.ends_at > start && needed.fits_in(available)) break;
    available += task.resources;
  }
  return available - needed;
}

/// Nominates the machines for the job, whose tasks start at the same time.
void nominate(CandidateSet& candidates, const Job& job, const std::vector<Nomination>& nominations,
              double now) {
  const auto ending_on = [&](const Candidate& candidate) {
    return ending_tasks(candidate, due_at(job, *candidate.type), now);
  };
  double start = now;
  for (const auto& [candidate, tasks] : nominations) {
    const Resources released = after_release(candidates, job, *candidate);
    start = std::max(
        start, expected_start(job.spec.resources * tasks, released, ending_on(*candidate), now));
  }
  for (const auto& [candidate, tasks] : nominations) {
    const Resources released = after_release(candidates, job, *candidate);
    candidate->nominated_for = &job;
    candidate->nominee_starts_in_s = start - now;
    candidate->spare = spare_at(start, job.spec.resources * tasks, released, ending_on(*candidate));
  }
}

/// A machine that could be nominated for a gang.
struct GangMachine {
  Candidate* candidate = nullptr;
  std::uint32_t fitting = 0;     ///< tasks that fit once stopping tasks have ended
  std::uint32_t attainable = 0;  ///< tasks that fit once all ending tasks have ended
  double lacking_share = 0;      ///< of the machine, for one more task
  std::uint32_t chosen = 0;      ///< tasks
};

std::vector<GangMachine> machines_for_gang(CandidateSet& candidates, const Job& job,
                                           const std::string& only_zone, double now) {
  const Resources& task = job.spec.resources;
  std::vector<GangMachine> machines;
  for (auto& candidate : candidates.schedulable()) {
    if (!may_nominate(candidates, job, candidate, now)) continue;
    if (!only_zone.empty() && candidate.kind.zone != only_zone) continue;
    const Resources released = after_release(candidates, job, candidate);
    GangMachine machine{&candidate, fitting_tasks(task, released), 0,
                        lacking_share(task, released, *candidate.type), 0};
    const bool waited_for_boot = now > due_at(job, *candidate.type);
    if (waited_for_boot && is_large(job, *candidate.type)) {
      machine.attainable = fitting_tasks(task, attainable(candidates, job, candidate));
    }
    if (machine.fitting > 0 || machine.attainable > 0) machines.push_back(machine);
  }
  std::stable_sort(
      machines.begin(), machines.end(),
      [](const GangMachine& a, const GangMachine& b) { return a.lacking_share < b.lacking_share; });
  return machines;
}

/// Chooses up to `max_tasks` more tasks on the machine, as far as it has room for `capacity` in all
/// and zone rules allow; returns how many.
std::uint32_t choose(GangMachine& machine, std::uint32_t capacity, std::uint32_t max_tasks,
                     const wire::JobSpec& spec, ZoneCount& zones) {
  const std::string& zone = machine.candidate->kind.zone;
  const std::uint32_t room = capacity - std::min(capacity, machine.chosen);
  const std::uint32_t tasks = std::min({room, max_tasks, tasks_allowed_in_zone(spec, zones, zone)});
  machine.chosen += tasks;
  zones.add(zone, tasks);
  return tasks;
}

/// Machines for all tasks of the gang.
struct GangNomination {
  std::vector<GangMachine> machines;
  std::uint32_t missing = 0;  ///< tasks for which there is no machine
  std::uint32_t fitting = 0;  ///< tasks that fit once stopping tasks have ended
};

GangNomination choose_machines(std::vector<GangMachine> machines, const wire::JobSpec& spec) {
  GangNomination nomination{std::move(machines), spec.tasks, 0};
  ZoneCount zones;
  for (GangMachine& machine : nomination.machines) {
    nomination.missing -= choose(machine, machine.fitting, nomination.missing, spec, zones);
  }
  nomination.fitting = spec.tasks - nomination.missing;
  for (GangMachine& machine : nomination.machines) {
    nomination.missing -= choose(machine, machine.attainable, nomination.missing, spec, zones);
  }
  return nomination;
}

}  // namespace

bool may_be_nominated(const CandidateSet& candidates, const Job& job, double now) {
  if (candidates.any_releasing()) return true;
  const auto& types = candidates.cluster().types();
  return std::any_of(types.begin(), types.end(), [&](const auto& entry) {
    return is_large(job, entry.second) && now >= due_at(job, entry.second);
  });
}

// Prevents starvation of large tasks: without a nomination, small tasks could take every resource
// that is released.
void nominate_machine(CandidateSet& candidates, const Job& job, double now) {
  if (candidates.cluster().reservations().any_for_pending_tasks(job.spec.id)) return;
  const ZoneCount zones = count_zones(candidates.cluster(), job);
  const Resources& task = job.spec.resources;
  Candidate* best = nullptr;
  double best_lacking_share = 0;
  for (auto& candidate : candidates.schedulable()) {
    if (!may_nominate(candidates, job, candidate, now)) continue;
    if (!zone_rules_allow(job.spec, zones, candidate.kind.zone)) continue;
    const Resources released = after_release(candidates, job, candidate);
    // A machine where stopping tasks release enough is nominated at once, so that resources
    // released by a preemption go to the job that the preemption was for.
    if (candidate.releasing.gpus + candidate.releasing.cpus > 0 && task.fits_in(released)) {
      best = &candidate;
      break;
    }
    if (now < due_at(job, *candidate.type) || !is_large(job, *candidate.type)) continue;
    if (!task.fits_in(attainable(candidates, job, candidate))) continue;
    const double share = lacking_share(task, released, *candidate.type);
    if (best != nullptr && share >= best_lacking_share) continue;
    best = &candidate;
    best_lacking_share = share;
  }
  if (best != nullptr) nominate(candidates, job, {{best, 1}}, now);
}

// Prevents starvation of gangs of large tasks, whose machines might never all be free at once.
// Machines are nominated as soon as the tasks fit after release, or once the gang has waited as
// long as a boot takes.
void nominate_gang_machines(CandidateSet& candidates, const Job& job, double now) {
  if (candidates.cluster().reservations().any_for_pending_tasks(job.spec.id)) return;
  std::optional<GangNomination> best;
  for (const auto& zone : gang_zones(candidates, job.spec)) {
    GangNomination found = choose_machines(machines_for_gang(candidates, job, zone, now), job.spec);
    if (found.missing > 0 || (best && found.fitting <= best->fitting)) continue;
    best = std::move(found);
  }
  if (!best) return;
  std::vector<Nomination> nominations;
  for (const GangMachine& machine : best->machines) {
    if (machine.chosen > 0) nominations.push_back({machine.candidate, machine.chosen});
  }
  nominate(candidates, job, nominations, now);
}

namespace {

/// Whether a task of the job is expected to end before the machine's nominee starts.
bool ends_before_nominee(const Candidate& candidate, const Job& job) {
  return max_run_s(job.spec, *candidate.type) <= candidate.nominee_starts_in_s;
}

}  // namespace

bool is_kept_for_nominee(const Candidate& candidate, const Job& job) {
  if (candidate.nominated_for == nullptr || candidate.nominated_for == &job) return false;
  return !job.spec.resources.fits_in(candidate.spare) && !ends_before_nominee(candidate, job);
}

void allocate_task(Candidate& candidate, const Job& job) {
  candidate.free -= job.spec.resources;
  if (stands(job.spec) && candidate.held_by_replicas) {
    *candidate.held_by_replicas += job.spec.resources;
  }
  const Job* nominee = candidate.nominated_for;
  if (nominee != nullptr && nominee != &job && !ends_before_nominee(candidate, job)) {
    candidate.spare -= job.spec.resources;
  }
}

}  // namespace cranklock::sched
