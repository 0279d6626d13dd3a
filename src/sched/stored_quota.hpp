// Which job records may be written without the stored placements of a team exceeding its limit.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// Resources of the team's placements that have ended but that a stored record may still contain. A
/// new leader would start these tasks again, except those of cancelled jobs, which are left out.
/// Iterates over all jobs.
wire::Resources unrecorded_releases(const ClusterState& cluster, const std::string& team);

/// Upper bounds of what the stored records of each team's jobs contain, while one batch of records
/// is being built. Records of cancelled jobs count as empty: no leader starts their tasks.
///
/// A placement may rest on quota that another job has released in memory only. If its record were
/// stored before that release, a new leader would read both placements and start both tasks
/// (invariant 9).
class StoredQuota {
 public:
  /// To be created for each batch, when no write is in progress. `cluster` must outlive it and must
  /// not change meanwhile.
  explicit StoredQuota(const ClusterState& cluster) : cluster_(cluster) {}

  /// Whether the team's stored placements stay within its limit if the record of this job is
  /// written together with those passed to add().
  bool may_write(const Job& job);
  /// Records that the batch contains this job's record with this number of placements. To be called
  /// once for a job.
  void add(const Job& job, std::size_t placements);

 private:
  /// Resources of all placements that the team's stored records may contain before the batch.
  const wire::Resources& stored_before(const std::string& team);

  const ClusterState& cluster_;
  /// By team; computed when first needed, since it takes a pass over all jobs.
  std::map<std::string, wire::Resources> stored_before_;
  std::map<std::string, wire::Resources> batch_changes_;  ///< by team
};

}  // namespace cranklock::sched
