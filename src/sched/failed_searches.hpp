// Searches of one pass that found no machine, so that they are not repeated for equal tasks.
#pragma once

#include <vector>

#include "sched/candidates.hpp"

namespace cranklock::sched {

/// Remembers the jobs that found no machine. Resources only shrink while jobs are placed, so what
/// found none leaves none for more of the same: a burst of equal jobs costs one search of the
/// fleet, not one each.
class FailedSearches {
 public:
  /// Whether a search for the job would fail as an earlier one did, which asked for no more.
  bool rule_out(const ClusterState& cluster, const Job& job) const;
  /// Records that a search for the job has failed, unless the reason may not hold for others: its
  /// zone rules, a machine that failed it, or a reservation.
  void record(const CandidateSet& candidates, const Job& job);

 private:
  std::vector<const Job*> failed_;
};

}  // namespace cranklock::sched
