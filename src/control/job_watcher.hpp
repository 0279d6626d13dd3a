// What all nodes write of jobs, as the leader takes it in.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "control/leader_lease.hpp"
#include "control/record_reloader.hpp"
#include "control/services.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::control {

/// Reads every live job when a term begins, then follows the changes that users make through any
/// node. Cancellations are acted on as they come; all else waits until no transaction of the
/// leader's own is under way. It tells the leader lease up to when all changes are known (invariant
/// 11).
class JobWatcher {
 public:
  /// What it needs of the term that it serves.
  struct Callbacks {
    std::function<void()> job_accepted;
    std::function<void()> job_cancelled;
  };

  /// Made when the term begins. All that is referred to outlives it.
  JobWatcher(Services services, LeaderLease& lease, sched::ClusterState& cluster,
             RecordReloader& reloader, net::Signal& work, Callbacks callbacks);

  /// Reads all live jobs; false when the state service did not let it.
  net::Task<bool> load();
  /// Follows the changes, for ever.
  net::Task<void> follow();
  /// Takes in the changes that wait. Only between transactions of the leader's own, so that a
  /// record is never compared with one in flight.
  void apply_changes();
  /// Takes in a job as it is stored.
  void put(sched::Job job);

 private:
  void note_changes(std::vector<wire::StoredValue> items, double sent);
  void apply_change(const wire::StoredValue& item);
  net::Task<bool> load_one(const wire::StoredValue& item);
  double cancelled_since(std::int64_t at_ms) const;
  double now() const { return services_.reactor.now(); }

  Services services_;
  LeaderLease& leader_lease_;
  sched::ClusterState& cluster_;
  RecordReloader& reloader_;
  net::Signal& work_;
  Callbacks callbacks_;
  std::uint64_t loaded_revision_ = 0;
  std::deque<wire::StoredValue> pending_;
  double known_before_ = -1e9;  ///< when the changes last taken in were asked for
};

}  // namespace cranklock::control
