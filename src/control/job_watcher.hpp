// Receives what all nodes write of jobs, and applies it to the leader's cluster state.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "control/leader_context.hpp"
#include "control/record_reloader.hpp"
#include "net/task.hpp"
#include "store/client.hpp"

namespace cranklock::control {

/// Reads every live job when a leader term begins, then follows the changes that clients make
/// through any node. Cancellations are acted on as they come; all else waits until no write of the
/// leader's own is under way. It tells the leader lease up to when all changes are known (invariant
/// 11).
class JobWatcher {
 public:
  /// What the leader term is told.
  struct Callbacks {
    std::function<void()> job_accepted;   ///< a job has come that was not known
    std::function<void()> job_cancelled;  ///< tasks may have to be stopped at once
  };

  /// Made when the term begins. All that is referred to outlives it.
  JobWatcher(LeaderContext& context, RecordReloader& reloader, Callbacks callbacks);

  /// Reads all live jobs; false when the key-value store did not let it.
  net::Task<bool> load();
  /// Follows the changes from there until it is destroyed.
  net::Task<void> follow();
  /// Applies the changes that wait. Called only between writes of the leader's own, so that a
  /// record is never compared with one in flight.
  void apply_changes();
  /// Applies a job as it is stored.
  void upsert_job(sched::Job job);

 private:
  net::Task<bool> load_job(const wire::StoredValue& value);
  net::Task<bool> read_all_as_changes();
  void on_changes(std::vector<wire::StoredValue> values, double sent);
  bool cancel_at_once(const wire::StoredValue& value);
  void apply_change(const wire::StoredValue& value);
  double cancelled_since(std::int64_t cancelled_at_ms) const;

  LeaderContext& context_;
  RecordReloader& reloader_;
  Callbacks callbacks_;
  std::uint64_t revision_ = 0;             ///< up to which all changes have been received
  std::deque<wire::StoredValue> pending_;  ///< changes that are received and not applied
  /// When the request was sent whose answer brought the last changes.
  double known_before_ = -1e9;
};

}  // namespace cranklock::control
