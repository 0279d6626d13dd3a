// The records that the leader writes with one compare-and-swap.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "control/small_records.hpp"
#include "sched/job.hpp"
#include "wire/store_api.hpp"

namespace cranklock::control {

/// What a compare-and-swap may hold at present.
struct BatchLimits {
  std::size_t value_bytes = 0;
  std::size_t mutations = 0;
};

/// A job's record in a batch, and what the write of it means for the job once it is stored.
struct BatchEntry {
  std::string job_id;
  std::uint64_t revision = 0;  ///< of the stored record that it replaces
  /// The job is over: its record goes, and its outcome is written.
  bool retires_job = false;
  JobOutcome outcome;                     ///< of a job that is over
  std::vector<std::string> left_parts;    ///< of a job that is over: not removed with it
  int parts = 0;                          ///< of a live job's record, besides its main value
  std::vector<sched::PlacementKey> live;  ///< placements that the record names
  std::vector<sched::PlacementKey> ended, abandoned;  ///< placements that it does not name any more
  std::vector<wire::Mutation> mutations;              ///< the writes themselves
};

/// The entry that writes the record of a live job.
BatchEntry make_record_entry(const sched::Job& job, std::size_t max_value_bytes);

/// The entry that replaces the record of a job that is over by its outcome.
///
/// Guards against a record of more parts than a compare-and-swap may remove, as one stored before
/// the limits fell: what is left is never read again, and is removed later.
BatchEntry make_outcome_entry(const sched::Job& job, const JobOutcome& outcome,
                              std::size_t max_mutations);

/// Collects entries for as long as one compare-and-swap has room. It is conditional on the leader's
/// key and on the revision of each record that it replaces (invariant 1).
class RecordBatch {
 public:
  enum class AddResult {
    added,
    batch_full,  ///< it has no room behind the entries that are in the batch already
    too_large,   ///< it fits no compare-and-swap
  };

  RecordBatch(std::uint64_t fencing_token, BatchLimits limits);

  AddResult add(BatchEntry entry);
  /// Removes these keys as well, as far as there is room; moves them from the queue into the batch.
  void remove_stale_parts(std::deque<std::string>& stale_parts);

  bool empty() const { return mutations_.empty(); }
  const std::vector<wire::Compare>& compares() const { return compares_; }
  const std::vector<wire::Mutation>& mutations() const { return mutations_; }
  const std::vector<BatchEntry>& entries() const { return entries_; }
  /// The keys taken by `remove_stale_parts`.
  const std::vector<std::string>& stale_parts() const { return stale_parts_; }

 private:
  BatchLimits limits_;
  std::vector<wire::Compare> compares_;
  std::vector<wire::Mutation> mutations_;
  std::vector<BatchEntry> entries_;
  std::vector<std::string> stale_parts_;
  std::size_t bytes_ = 0;
};

/// The size of an entry in the request that carries it, at most.
std::size_t request_bytes(const BatchEntry& entry);

}  // namespace cranklock::control
