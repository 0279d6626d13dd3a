#include "sched/gang_placement.hpp"

#include "sched/best_fit.hpp"

namespace cranklock::sched {
namespace {

/// Resources taken for a trial. They are given back exactly, without the rounding of adding what
/// was subtracted.
class TrialAllocation {
 public:
  TrialAllocation() = default;
  TrialAllocation(const TrialAllocation&) = delete;
  TrialAllocation& operator=(const TrialAllocation&) = delete;
  ~TrialAllocation() {
    for (auto taken = taken_.rbegin(); taken != taken_.rend(); ++taken) {
      taken->candidate->free = taken->free_before;
    }
  }

  void take(Candidate& candidate, const wire::Resources& resources) {
    taken_.push_back({&candidate, candidate.free});
    candidate.free -= resources;
  }

 private:
  struct Taken {
    Candidate* candidate;
    wire::Resources free_before;
  };
  std::vector<Taken> taken_;
};

/// The same in one zone, or in all if `only_zone` is empty.
std::vector<Candidate*> fit_gang_in(CandidateSet& candidates, const Job& job,
                                    const std::string& only_zone) {
  TrialAllocation trial;
  ZoneCount zones;
  std::vector<Candidate*> chosen;
  for (std::uint32_t task = 0; task < job.spec.tasks; ++task) {
    Candidate* candidate = find_best_fit(candidates, job, zones, only_zone);
    if (candidate == nullptr) return {};
    trial.take(*candidate, job.spec.resources);
    zones.add(candidate->kind.zone);
    chosen.push_back(candidate);
  }
  return chosen;
}

}  // namespace

std::vector<Candidate*> fit_gang(CandidateSet& candidates, const Job& job) {
  for (const auto& zone : gang_zones(candidates, job.spec)) {
    auto chosen = fit_gang_in(candidates, job, zone);
    if (!chosen.empty()) return chosen;
  }
  return {};
}

}  // namespace cranklock::sched
