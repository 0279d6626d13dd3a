// Batches of job records that the leader writes in one compare-and-swap.
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

/// Current limits of the key-value store for one compare-and-swap.
struct BatchLimits {
  std::size_t value_bytes = 0;  ///< of each value
  std::size_t mutations = 0;
};

/// One job's record in a batch, with the data needed to update the job once the write succeeds.
struct BatchEntry {
  std::string job_id;
  std::uint64_t revision = 0;  ///< of the stored record that this entry replaces
  /// The job has ended: the entry removes its record and writes its outcome.
  bool is_outcome = false;
  JobOutcome outcome;                        ///< of an ended job
  std::vector<std::string> remaining_parts;  ///< of an ended job: part keys to remove later
  int parts = 0;  ///< of a live job: parts of the record besides the main value
  std::vector<sched::PlacementKey> live;              ///< placements in the record
  std::vector<sched::PlacementKey> ended, abandoned;  ///< placements no longer in the record
  std::vector<wire::Mutation> mutations;
};

/// Makes the entry that writes the record of a live job.
BatchEntry make_record_entry(const sched::Job& job, std::size_t max_value_bytes);

/// Makes the entry that replaces the record of an ended job with its outcome.
///
/// A record stored under larger limits may have more parts than one compare-and-swap may remove.
/// The rest is listed in `remaining_parts`: these keys are never read again and are removed later.
BatchEntry make_outcome_entry(const sched::Job& job, const JobOutcome& outcome,
                              std::size_t max_mutations);

/// Collects entries up to the limits of one compare-and-swap, which is conditional on the revisions
/// of the leader key and of each record that it replaces (invariant 1).
class RecordBatch {
 public:
  enum class AddResult {
    added,
    batch_full,  ///< does not fit beside the entries already in the batch
    too_large,   ///< exceeds the limits of a compare-and-swap by itself
  };

  RecordBatch(std::uint64_t fencing_token, BatchLimits limits);

  AddResult add(BatchEntry entry);
  /// Adds removals of these keys up to the mutation limit; moves them from the queue to the batch.
  void remove_stale_parts(std::deque<std::string>& stale_parts);

  bool empty() const { return mutations_.empty(); }
  const std::vector<wire::Compare>& compares() const { return compares_; }
  const std::vector<wire::Mutation>& mutations() const { return mutations_; }
  const std::vector<BatchEntry>& entries() const { return entries_; }
  /// Keys added by `remove_stale_parts`.
  const std::vector<std::string>& stale_parts() const { return stale_parts_; }

 private:
  BatchLimits limits_;
  std::vector<wire::Compare> compares_;
  std::vector<wire::Mutation> mutations_;
  std::vector<BatchEntry> entries_;
  std::vector<std::string> stale_parts_;
  std::size_t bytes_ = 0;
};

/// Upper bound of an entry's size in the encoded request.
std::size_t request_bytes(const BatchEntry& entry);

}  // namespace cranklock::control
