#include "sched/gang_placement.hpp"

#include <optional>

#include "sched/best_fit.hpp"
#include "sched/nomination.hpp"

namespace cranklock::sched {
namespace {

/// Temporary allocations. The destructor restores the saved amounts; adding back what was
/// subtracted would leave rounding errors.
class TrialAllocation {
 public:
  TrialAllocation() = default;
  TrialAllocation(const TrialAllocation&) = delete;
  TrialAllocation& operator=(const TrialAllocation&) = delete;
  ~TrialAllocation() {
    for (auto change = changes_.rbegin(); change != changes_.rend(); ++change) {
      change->candidate->free = change->free;
      change->candidate->spare = change->spare;
      change->candidate->held_by_replicas = change->held_by_replicas;
    }
  }

  void allocate(Candidate& candidate, const Job& job) {
    changes_.push_back({&candidate, candidate.free, candidate.spare, candidate.held_by_replicas});
    allocate_task(candidate, job);
  }

 private:
  struct Change {
    Candidate* candidate;
    // As before the allocation.
    wire::Resources free, spare;
    std::optional<wire::Resources> held_by_replicas;
  };
  std::vector<Change> changes_;
};

/// Whether the free resources suffice for all tasks of the gang, apart from zone rules. Avoids a
/// search of the fleet for each task of a gang that does not fit.
bool may_fit(CandidateSet& candidates, const Job& job, const std::string& only_zone) {
  std::uint32_t fitting = 0;
  candidates.record_search();
  for (const auto& candidate : candidates.schedulable()) {
    if (!only_zone.empty() && candidate.kind.zone != only_zone) continue;
    if (!allows(job.spec, candidate.kind)) continue;
    fitting += fitting_tasks(job.spec.resources, candidates.available_to(job, candidate));
    if (fitting >= job.spec.tasks) return true;
  }
  return false;
}

/// As fit_gang(), within one zone, or in all zones if `only_zone` is empty.
std::vector<Candidate*> fit_gang_in_zone(CandidateSet& candidates, const Job& job,
                                         const std::string& only_zone, AvoidedMachine avoided) {
  if (!may_fit(candidates, job, only_zone)) return {};
  TrialAllocation trial;
  ZoneCount zones;
  std::vector<Candidate*> chosen;
  for (std::uint32_t task = 0; task < job.spec.tasks; ++task) {
    Candidate* candidate = find_best_fit(candidates, job, zones, only_zone, avoided);
    if (candidate == nullptr) return {};
    trial.allocate(*candidate, job);
    zones.add(candidate->kind.zone);
    chosen.push_back(candidate);
  }
  return chosen;
}

std::vector<Candidate*> fit_gang_in_any_zone(CandidateSet& candidates, const Job& job,
                                             AvoidedMachine avoided) {
  for (const auto& zone : gang_zones(candidates, job.spec)) {
    auto chosen = fit_gang_in_zone(candidates, job, zone, avoided);
    if (!chosen.empty()) return chosen;
  }
  return {};
}

}  // namespace

std::vector<Candidate*> fit_gang(CandidateSet& candidates, const Job& job) {
  return fit_gang_in_any_zone(candidates, job, AvoidedMachine::excluded);
}

std::vector<Candidate*> fit_gang_for_retry(CandidateSet& candidates, const Job& job, double now) {
  if (job.spec.tasks == 1) {
    Candidate* candidate = find_retry_fit(candidates, job, {}, now);
    if (candidate == nullptr) return {};
    return {candidate};
  }
  if (job.retry.failed_machines.size() != 1) return {};
  const Candidate* avoided = candidates.find(*job.retry.failed_machines.begin());
  if (avoided == nullptr) return {};
  if (!candidates.cluster().is_retry_due(job, *avoided->machine, now)) return {};
  return fit_gang_in_any_zone(candidates, job, AvoidedMachine::included);
}

}  // namespace cranklock::sched
