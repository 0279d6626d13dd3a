// Serves many status requests for live jobs with few requests to the key-value store.
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

/// Status of a job as reported to clients.
struct JobStatus {
  wire::JobState state = wire::JobState::queued;
  std::uint64_t done_tasks = 0, running_tasks = 0;
};
/// The status of a live job according to its own record, regardless of its dependencies.
JobStatus status_of(const sched::Job& job);

/// Why the cache cannot return a job's status.
enum class StatusMiss {
  /// The job has ended, was never accepted, waits for dependencies or is not in the cache; the
  /// caller must look it up.
  not_cached,
  store_unavailable,  ///< the key-value store did not answer
};

/// Keeps the status of live jobs current with delta syncs, each of which fetches all job changes
/// since the previous sync. A full sync, page by page, precedes the first delta sync and follows a
/// gap.
///
/// Each answer is based on a sync sent after the request arrived, so it is as recent as a separate
/// read (invariant 13). There is no background task: one of the pending requests runs the next
/// sync, and the others wait for it. If that request is cancelled, for example because its client
/// disconnects, one of the waiters runs the sync instead.
class StatusCache {
 public:
  /// The arguments must outlive the cache.
  StatusCache(net::Reactor& reactor, const base::Settings& settings, store::Client& store)
      : reactor_(reactor),
        settings_(settings),
        store_(store),
        reads_(kRateWindowS),
        jobs_(kMaxJobs) {}

  /// Counts a status request. Call it for each one, whether or not the cache answers it.
  void count_read();
  /// Whether status requests arrive more often than syncs are sent, so that syncs take fewer
  /// requests to the store than one read for each.
  bool is_cheaper_than_reads();
  /// Waits for a sync sent after this call, and returns the status from its result.
  net::Task<base::Result<JobStatus, StatusMiss>> find(std::string id);
  /// Seconds between two syncs. Syncs take at most a quarter of this node's store requests, and are
  /// at least an eighth of the client request timeout apart.
  double sync_interval_s() const;

 private:
  /// Window over which the rate of status requests is measured.
  static constexpr double kRateWindowS = 2.0;
  /// Some 150 bytes each. A request for an evicted job costs a read.
  static constexpr std::size_t kMaxJobs = 16'384;
  /// Target limit for the response to a delta sync.
  static constexpr double kMaxResponseKb = 1024;

  struct Entry {
    std::uint64_t revision = 0;
    std::optional<JobStatus> status;  ///< none: must be looked up
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
  /// Seconds since the last successful sync after which the response to a delta sync could exceed
  /// kMaxResponseKb, so that a full sync is due.
  double max_sync_gap_s() const {
    return kMaxResponseKb / (settings_.state_write_rps * settings_.value_kb);
  }

  net::Reactor& reactor_;
  const base::Settings& settings_;
  store::Client& store_;
  base::EventRate reads_;  ///< status requests
  base::RecentMap<Entry> jobs_;
  std::optional<std::uint64_t> revision_;  ///< all changes up to it are applied; none: full sync
  std::optional<std::string> next_page_;   ///< full sync: key after which the next page starts
  double last_sync_sent_ = -1e9;           ///< whether or not it was answered
  double last_successful_sync_sent_ = -1e9;
  double last_failed_sync_sent_ = -1e9;  ///< the last one that failed
  bool sync_in_progress_ = false;        ///< a request is running a sync
  std::vector<net::Signal*> waiters_;    ///< the requests that wait for it
};

}  // namespace cranklock::control
