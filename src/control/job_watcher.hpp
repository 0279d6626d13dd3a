// Watches the job records that all nodes write, and applies changes to the leader's cluster state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "control/job_pager.hpp"
#include "control/job_window.hpp"
#include "control/leader_context.hpp"
#include "control/record_reloader.hpp"
#include "net/task.hpp"
#include "store/client.hpp"

namespace cranklock::control {

/// Loads the live jobs at the start of a leader term, then watches for changes that clients make
/// through any node. Cancellations are applied on receipt. All changes, including cancellations,
/// are also queued until no write of the leader is in progress, and their records are applied then.
/// Reports to the leader lease up to which time all changes have been received (invariant 11).
///
/// Reads the records page by page, and holds only the jobs that JobWindow admits (invariant 23).
class JobWatcher {
 public:
  /// Notifications to the leader term.
  struct Callbacks {
    std::function<void()> job_accepted;   ///< a new job was found
    std::function<void()> job_cancelled;  ///< running tasks may have to be stopped
    /// See JobWindow.
    JobWindow::OutcomeNotFound outcome_not_found = [](const std::string&) { return true; };
  };

  /// Created at the start of a leader term. The context, the reloader and all that the callbacks
  /// refer to must outlive the watcher.
  JobWatcher(LeaderContext& context, RecordReloader& reloader, Callbacks callbacks);

  /// Loads the live jobs; false if a read from the key-value store failed.
  net::Task<bool> load();
  /// Watches for changes after `load` until the task is destroyed.
  net::Task<void> follow();
  /// Reads deferred jobs after `load` until the task is destroyed.
  net::Task<void> read_deferred() { return pager_.run(); }
  /// Applies the queued changes. Called only between writes of the leader, so that a change is
  /// never compared with a record whose write is in flight.
  void apply_changes();
  /// Adds or replaces a job in the cluster state with its stored record, unless the job is new and
  /// has to be deferred.
  void upsert_job(sched::Job job);
  /// The number of changes that apply_changes() has yet to apply.
  std::size_t queued_changes() const { return pending_.size(); }
  /// All changes up to this revision have been received.
  std::uint64_t revision() const { return revision_; }

 private:
  net::Task<bool> load_job(const wire::StoredValue& value);
  net::Task<bool> resync();
  void on_changes(std::vector<wire::StoredValue> values, double sent);
  /// Applies cancellations on receipt and queues the values.
  void receive(std::vector<wire::StoredValue> values);
  void mark_caught_up(double sent);
  /// Waits while many received changes are queued.
  net::Task<void> wait_for_queue();
  bool apply_cancellation(const wire::StoredValue& value);
  void apply_change(const wire::StoredValue& value);
  void hold(sched::Job job);
  double cancellation_time(std::int64_t cancelled_at_ms) const;

  LeaderContext& context_;
  RecordReloader& reloader_;
  Callbacks callbacks_;
  JobWindow window_;
  JobPager pager_;
  std::uint64_t revision_ = 0;             ///< all changes up to it have been received
  std::deque<wire::StoredValue> pending_;  ///< changes received but not applied yet
  /// Sending time of the latest answered read or watch: all earlier changes have been received.
  double changes_known_until_ = -1e9;
};

}  // namespace cranklock::control
