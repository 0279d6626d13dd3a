// The failed searches of one pass, kept so that they are not repeated for equal tasks.
#pragma once

#include <vector>

#include "sched/candidates.hpp"

namespace cranklock::sched {

/// Records the jobs for which no machine was found. Free resources only decrease while jobs are
/// placed, so a later search with the same requirements fails too. A burst of equal jobs thus costs
/// one search of the fleet instead of one per job.
class FailedSearches {
 public:
  /// Whether a search for the job must fail because an earlier one with equal or lower requirements
  /// failed. False if resources are reserved for pending tasks of the job, since the earlier job
  /// could not use those. If a nomination kept a machine from the earlier job, only jobs whose
  /// tasks take at least as long are ruled out.
  bool rules_out(const ClusterState& cluster, const Job& job) const;
  /// Records a failed search for the job, unless the cause may not apply to other jobs: its zone
  /// rules, a machine avoided after a failure, or a reservation.
  void record(const CandidateSet& candidates, const Job& job);

 private:
  struct FailedSearch {
    const Job* job;
    bool blocked_by_nomination;
  };

  std::vector<FailedSearch> failed_;
};

}  // namespace cranklock::sched
