// Builds the leader's next batch of job records.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "control/leader_context.hpp"
#include "control/record_batch.hpp"
#include "sched/stored_quota.hpp"

namespace cranklock::control {

/// Fills one batch with the most urgent records, so that at every revision of the key-value store
/// the stored placements of each team are within its limit (invariant 9).
class RecordBatchBuilder {
 public:
  /// `jobs` are those whose records differ from the stored ones, most urgent first. All arguments
  /// must outlive the builder.
  RecordBatchBuilder(const LeaderContext& context, const std::vector<sched::Job*>& jobs,
                     RecordBatch& batch);

  /// Adds the records that fit into the batch. Jobs whose changes are all in the batch are no
  /// longer dirty.
  void add_records();

 private:
  /// Adds the record of this job, preceded by records of other jobs whose releases its placements
  /// rest on. If these cannot be written now, adds only what the job itself releases. Skips a
  /// record that is too large. Returns false if the batch is full.
  bool add_with_releases(sched::Job& job);
  /// Adds records that release quota of the job's team until the job's own may be added. Returns
  /// false if the batch is full.
  bool add_releases_for(const sched::Job& job);
  /// Adds the record of this job if that releases quota. If its new placements may not be written
  /// yet, the record leaves them out. Returns false if the batch is full.
  bool add_release(sched::Job& job);
  bool add_record(sched::Job& job);
  bool add_record_without_new_placements(sched::Job& job);
  RecordBatch::AddResult add_entry(sched::Job& job, BatchEntry entry);
  BatchEntry make_entry(const sched::Job& job) const;
  JobOutcome outcome_of(const sched::Job& job) const;

  const LeaderContext& context_;
  const std::vector<sched::Job*>& jobs_;
  RecordBatch& batch_;
  sched::StoredQuota stored_quota_;
  std::set<const sched::Job*> added_;
  /// Teams of which no further record in this batch would release quota.
  std::set<std::string> teams_without_releases_;
};

}  // namespace cranklock::control
