// Preemption: which tasks to stop for waiting work that is entitled to their resources.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sched/candidates.hpp"
#include "sched/entitlement.hpp"
#include "sched/failed_searches.hpp"
#include "sched/zone_count.hpp"

namespace cranklock::sched {

/// Preempts for the jobs of one pass that found no machine. Stops are only requested: the tasks
/// keep their resources until they are proven gone (invariant 4), and a later pass places the job.
class Preemptor {
 public:
  /// `max_examined` bounds CandidateSet::examined(): no search begins beyond it.
  Preemptor(CandidateSet& candidates, const PlacedPriorities& placed, std::size_t max_examined,
            double now)
      : candidates_(candidates), placed_(placed), max_examined_(max_examined), now_(now) {}

  /// Requests the stops that will free resources for the job's pending tasks: for as many of them
  /// as possible, or, for a gang, for all or none.
  void preempt_for(const Job& job);
  /// Tasks whose stop was requested.
  int preempted() const { return preempted_; }

 private:
  /// A task that may be stopped.
  struct Victim {
    double lost_work_s;
    Job* job;
    Placement* placement;
  };
  /// A machine for a task, and what has to be stopped there for it: nothing where what is being
  /// released will do.
  struct Choice {
    Candidate* candidate = nullptr;
    std::vector<Victim> victims;
    double loss = 0;  ///< seconds of work, and one more for each victim
  };
  /// Jobs for which the same work is preemptible.
  struct PreemptorClass {
    std::string team;
    wire::Priority priority;
    bool guaranteed;
    auto operator<=>(const PreemptorClass&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  void preempt_for_gang(const Job& job);
  std::vector<Choice> choose_for_gang(const Job& job, const std::string& only_zone);
  std::optional<Choice> choose_preemption(const Job& job, const ZoneCount& zones,
                                          const std::string& only_zone,
                                          const std::set<Candidate*>& excluded);
  std::optional<Choice> choose_victims(const Job& job, Candidate& candidate,
                                       wire::Resources available) const;
  std::vector<Victim> victims_on(const Job& job, const Candidate& candidate) const;
  double lost_work_s(const Job& victim, const Placement& placement) const;
  void preempt_victims(const Job& job, const Choice& choice);

  CandidateSet& candidates_;
  const PlacedPriorities& placed_;
  std::size_t max_examined_;
  double now_;
  std::map<PreemptorClass, FailedSearches> failed_searches_;
  int preempted_ = 0;
};

}  // namespace cranklock::sched
