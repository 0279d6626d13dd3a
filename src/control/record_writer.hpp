// Writes the records of changed jobs and the outcomes of ended jobs.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <utility>

#include "control/leader_context.hpp"
#include "control/record_batch.hpp"
#include "control/record_reloader.hpp"
#include "net/task.hpp"
#include "store/client.hpp"

namespace cranklock::control {

/// The leader's only writer of `jobs/` and `ended/`; sends one compare-and-swap at a time.
///
/// Each is conditional on the revisions of the leader key and of each record that it changes
/// (invariant 1). The outcome of an unanswered write is indeterminate: its placements keep their
/// resources, and the records are written again under the same conditions until one of the writes
/// succeeds (invariants 1, 9).
class RecordWriter {
 public:
  enum class WriteResult {
    nothing_to_write,  ///< no record is due, or a retry delay is running
    stored,            ///< one compare-and-swap succeeded; more records may be due
    unresolved,        ///< rejected, failed because a record had changed, or unanswered
    leadership_lost,   ///< the leader key has changed
  };

  /// The arguments must outlive the writer.
  RecordWriter(LeaderContext& context, RecordReloader& reloader);

  /// Writes the most urgent records that fit into one compare-and-swap. The decision loop calls
  /// this after each placement pass until no record is due.
  net::Task<WriteResult> write_next_batch();
  /// Whether a job with dependents completed since the last call.
  bool take_dependency_done() { return std::exchange(dependency_done_, false); }

 private:
  RecordBatch next_batch();
  void apply_stored(const RecordBatch& batch, std::uint64_t revision);
  void apply_record_stored(const BatchEntry& entry, sched::Job& job, std::uint64_t revision);
  void apply_outcome_stored(const BatchEntry& entry, const sched::Job& job);
  void handle_failed_write(const RecordBatch& batch, const store::CompareAndSwapResult& result);
  void handle_failed_entry(const BatchEntry& entry, const store::CompareAndSwapResult& result);
  double now() const { return context_.now(); }

  LeaderContext& context_;
  RecordReloader& reloader_;
  double retry_at_ = 0;  ///< no write before this time, after one was rejected or unanswered
  /// Part keys of ended jobs. Never read again; removed by writes with spare mutations.
  std::deque<std::string> stale_parts_;
  bool dependency_done_ = false;
};

}  // namespace cranklock::control
