// Preemption: selects the tasks to stop for waiting jobs that are entitled to their resources.
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

/// Preempts tasks for the jobs that one pass could not place. Stops are only requested: the tasks
/// hold their resources until they are proven gone (invariant 4), and a later pass places the job.
class Preemptor {
 public:
  /// No search begins once CandidateSet::examined() has reached `max_examined`.
  Preemptor(CandidateSet& candidates, const PlacedPriorities& placed, std::size_t max_examined,
            double now)
      : candidates_(candidates), placed_(placed), max_examined_(max_examined), now_(now) {}

  /// Requests stops that free resources for as many of the job's pending tasks as possible or, for
  /// a gang, for all of them or none.
  void preempt_for(const Job& job);
  /// The number of tasks whose stop was requested.
  int preempted() const { return preempted_; }

 private:
  /// A task that may be preempted.
  struct Victim {
    double lost_work_s;
    Job* job;
    Placement* placement;
  };
  /// A machine for a task, and the tasks to stop there. There are no victims if the resources being
  /// released suffice.
  struct PreemptionChoice {
    Candidate* candidate = nullptr;
    std::vector<Victim> victims;
    double cost_s = 0;  ///< lost work, plus 1 s per victim
  };
  /// Jobs of one class may preempt the same tasks.
  struct PreemptorClass {
    std::string team;
    wire::Priority priority;
    bool guaranteed;
    auto operator<=>(const PreemptorClass&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  void preempt_for_gang(const Job& job);
  bool may_fit_without_victims(const Job& job, const std::string& only_zone);
  std::vector<PreemptionChoice> choose_for_gang(const Job& job, const std::string& only_zone);
  std::optional<PreemptionChoice> choose_preemption(const Job& job, const ZoneCount& zones,
                                                    const std::string& only_zone,
                                                    const std::set<Candidate*>& excluded);
  bool is_nominated_against(const Job& job, const Candidate& candidate) const;
  std::optional<PreemptionChoice> choose_victims(const Job& job, Candidate& candidate,
                                                 wire::Resources available) const;
  std::vector<Victim> victims_on(const Job& job, const Candidate& candidate) const;
  double lost_work_s(const Job& victim, const Placement& placement) const;
  void preempt_victims(const Job& job, const PreemptionChoice& choice);

  CandidateSet& candidates_;
  const PlacedPriorities& placed_;
  std::size_t max_examined_;
  double now_;
  std::map<PreemptorClass, FailedSearches> failed_searches_;
  int preempted_ = 0;
};

}  // namespace cranklock::sched
