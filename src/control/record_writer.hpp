// Writes the records of jobs that have changed, and the outcomes of those that are over.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "control/job_record.hpp"
#include "control/record_reloader.hpp"
#include "control/small_records.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "sched/cluster_state.hpp"
#include "store/client.hpp"

namespace cranklock::control {

/// The leader's only writer of `jobs/` and `ended/`, one transaction after the other.
///
/// Every transaction is conditional on the leader's key and on the revision of each record that it
/// touches (invariant 1). One that is not answered is unknown: what it names keeps its room, and it
/// is written again under the same conditions until one of the two is through (invariants 1, 9).
class RecordWriter {
 public:
  enum class Written {
    nothing,          ///< there is nothing to write, or not now
    stored,           ///< one transaction has succeeded; there may be more to write
    unresolved,       ///< refused, failed for a record's sake, or not answered
    leadership_lost,  ///< the leader's key has changed
  };

  /// `fencing_token` is the leader's. All that is referred to outlives the writer.
  RecordWriter(net::Reactor& reactor, const base::Settings& settings, store::Client& store,
               sched::ClusterState& cluster, RecordReloader& reloader, std::uint64_t fencing_token);

  /// Writes what is most urgent, as much as one transaction takes.
  net::Task<Written> write_next();
  /// Whether a job that others need was done since the last call.
  bool take_dependency_done() { return std::exchange(dependency_done_, false); }

 private:
  struct Batch;
  std::vector<sched::Job*> jobs_to_write();
  Batch next_batch();
  void add_to_batch(sched::Job& job, Batch& batch);
  void add_stale_parts(Batch& batch);
  std::vector<wire::Mutation> retiring_changes(const sched::Job& job, const JobOutcome& outcome,
                                               std::vector<std::string>& left_parts) const;
  void apply_stored(Batch& batch, std::uint64_t revision);
  void apply_not_stored(const Batch& batch, const store::CompareAndSwapResult& result);
  void note_retired(const std::string& id, const JobOutcome& outcome);
  double now() const { return reactor_.now(); }

  net::Reactor& reactor_;
  const base::Settings& settings_;
  store::Client& store_;
  sched::ClusterState& cluster_;
  RecordReloader& reloader_;
  std::uint64_t fencing_token_;
  double write_after_ = 0;  ///< the state service has refused a write
  /// Parts of records of jobs that are over: never read again, removed when a transaction has room.
  std::deque<std::string> stale_parts_;
  bool dependency_done_ = false;
};

}  // namespace cranklock::control
