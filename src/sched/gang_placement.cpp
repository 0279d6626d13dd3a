#include "sched/gang_placement.hpp"

#include "sched/best_fit.hpp"

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
      change->candidate->free = change->free_before;
    }
  }

  void allocate(Candidate& candidate, const wire::Resources& resources) {
    changes_.push_back({&candidate, candidate.free});
    candidate.free -= resources;
  }

 private:
  struct Change {
    Candidate* candidate;
    wire::Resources free_before;
  };
  std::vector<Change> changes_;
};

/// As fit_gang(), within one zone, or in all zones if `only_zone` is empty.
std::vector<Candidate*> fit_gang_in_zone(CandidateSet& candidates, const Job& job,
                                         const std::string& only_zone) {
  TrialAllocation trial;
  ZoneCount zones;
  std::vector<Candidate*> chosen;
  for (std::uint32_t task = 0; task < job.spec.tasks; ++task) {
    Candidate* candidate = find_best_fit(candidates, job, zones, only_zone);
    if (candidate == nullptr) return {};
    trial.allocate(*candidate, job.spec.resources);
    zones.add(candidate->kind.zone);
    chosen.push_back(candidate);
  }
  return chosen;
}

}  // namespace

std::vector<Candidate*> fit_gang(CandidateSet& candidates, const Job& job) {
  for (const auto& zone : gang_zones(candidates, job.spec)) {
    auto chosen = fit_gang_in_zone(candidates, job, zone);
    if (!chosen.empty()) return chosen;
  }
  return {};
}

}  // namespace cranklock::sched
