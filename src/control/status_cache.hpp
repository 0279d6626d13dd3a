// Answers many status requests about live jobs with few requests to the key-value store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/event_rate.hpp"
#include "base/recent_map.hpp"
#include "base/result.hpp"
#include "base/settings.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "sched/job.hpp"
#include "store/client.hpp"

namespace cranklock::control {

/// What clients are told of a job.
struct JobStatus {
  wire::JobState state = wire::JobState::queued;
  std::uint64_t done = 0, running = 0;  ///< tasks
};
/// The status of a live job by its own record, regardless of its dependencies.
JobStatus status_of(const sched::Job& job);

/// Why the cache does not know a job's status.
enum class StatusMiss {
  not_cached,         ///< to be looked up: over, never accepted, waiting for others, or not known
  store_unavailable,  ///< the key-value store did not answer
};

/// Keeps the status of live jobs up to date by delta syncs, each of which brings every change of
/// jobs since the one before. A full sync, page by page, comes first and after gaps.
///
/// An answer rests on a sync that was sent after the request had come, so it is as new as a read of
/// its own would be (invariant 13). Syncs are carried out by the requests themselves: one of those
/// that wait carries the next sync out, the others are its waiters. When that one is cancelled,
/// with its client's connection for instance, a waiter takes over.
class StatusCache {
 public:
  /// All that is referred to outlives the cache.
  StatusCache(net::Reactor& reactor, const base::Settings& settings, store::Client& store)
      : reactor_(reactor),
        settings_(settings),
        store_(store),
        reads_(kRateWindowS),
        jobs_(kMaxJobs) {}

  /// Counts a status request. To be called for each, whether it is answered from here or not.
  void count_read();
  /// Whether status requests come so often that syncs cost less than a read for each.
  bool is_worthwhile();
  /// Waits for a sync that is sent from now on, and answers from its result.
  net::Task<base::Result<JobStatus, StatusMiss>> find(std::string id);
  /// Seconds between two syncs: they take a quarter of this node's requests at most, and clients
  /// wait for no more than an eighth of their patience.
  double interval() const;

 private:
  /// Over which the rate of status requests is measured.
  static constexpr double kRateWindowS = 2.0;
  /// Some 150 bytes each. A job that is forgotten costs a read when it is asked about.
  static constexpr std::size_t kMaxJobs = 16'384;
  /// The answer to a delta sync should be no longer than this.
  static constexpr double kMaxResponseKb = 1024;

  struct Entry {
    std::uint64_t revision = 0;
    std::optional<JobStatus> status;  ///< none: it has to be looked up
  };
  class SyncInProgress;
  class WaiterRegistration;

  net::Task<void> sync();
  net::Task<void> full_sync();
  net::Task<void> delta_sync();
  net::Task<base::Result<std::uint64_t, store::Status>> read_next_page();
  net::Task<void> wait_for_sync(double timeout_s);
  base::Result<JobStatus, StatusMiss> find_cached(const std::string& id) const;
  void apply_values(const std::vector<wire::StoredValue>& values);
  void wake_waiters();
  /// So long after a sync, the answer to a delta sync may be too long: a full sync is due.
  double max_gap() const {
    return kMaxResponseKb / (settings_.state_write_rps * settings_.value_kb);
  }

  net::Reactor& reactor_;
  const base::Settings& settings_;
  store::Client& store_;
  base::EventRate reads_;
  base::RecentMap<Entry> jobs_;
  std::optional<std::uint64_t> revision_;  ///< up to which all changes are known; none: full sync
  std::optional<std::string> next_page_;   ///< the key after which stored jobs are still unread
  double last_sync_sent_ = -1e9;           ///< answered or not
  double last_successful_sync_sent_ = -1e9;
  double last_failed_sync_sent_ = -1e9;  ///< of one without an answer
  bool sync_in_progress_ = false;        ///< one of the requests carries a sync out
  std::vector<net::Signal*> waiters_;    ///< the others
};

}  // namespace cranklock::control
