// Writes the records of jobs that have changed, and the outcomes of those that are over.
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

/// The leader's only writer of `jobs/` and `ended/`, one compare-and-swap after the other.
///
/// Each is conditional on the leader's key and on the revision of each record that it touches
/// (invariant 1). One that is not answered is indeterminate: what it names keeps its resources, and
/// it is written again under the same conditions until one of the two succeeds (invariants 1, 9).
class RecordWriter {
 public:
  enum class Written {
    nothing,          ///< there is nothing to write, or not now
    stored,           ///< one compare-and-swap has succeeded; there may be more to write
    unresolved,       ///< refused, failed because a record has changed, or not answered
    leadership_lost,  ///< the leader's key has changed
  };

  /// All that is referred to outlives the writer.
  RecordWriter(LeaderContext& context, RecordReloader& reloader);

  /// Writes what is most urgent, as much as one compare-and-swap takes. Called by the leader term
  /// after each placement pass until there is nothing left to write.
  net::Task<Written> write_next();
  /// Whether a job with dependents was done since the last call.
  bool take_dependency_done() { return std::exchange(dependency_done_, false); }

 private:
  RecordBatch next_batch();
  BatchEntry make_entry(const sched::Job& job) const;
  JobOutcome outcome_of(const sched::Job& job) const;
  void apply_stored(const RecordBatch& batch, std::uint64_t revision);
  void apply_record_stored(const BatchEntry& entry, sched::Job& job, std::uint64_t revision);
  void apply_outcome_stored(const BatchEntry& entry, const sched::Job& job);
  void apply_not_stored(const RecordBatch& batch, const store::CompareAndSwapResult& result);
  void apply_entry_not_stored(const BatchEntry& entry, const store::CompareAndSwapResult& result);
  double now() const { return context_.now(); }

  LeaderContext& context_;
  RecordReloader& reloader_;
  double retry_at_ = 0;  ///< no write before, since the key-value store did not carry one out
  /// Keys of parts of jobs that are over: never read again, removed when a write has room for it.
  std::deque<std::string> stale_parts_;
  bool dependency_done_ = false;
};

}  // namespace cranklock::control
