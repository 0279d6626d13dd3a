#include "control/status_cache.hpp"

#include <algorithm>
#include <utility>

#include "control/job_lookup.hpp"
#include "control/job_record.hpp"
#include "control/record_keys.hpp"

namespace cranklock::control {

using base::Failure;
using net::Task;
using store::Status;
using wire::JobState;

namespace {

constexpr double kMaxSyncRequestShare = 0.25;                     ///< of this node's store requests
constexpr double kMinSyncIntervalS = kClientRequestTimeoutS / 8;  ///< between two syncs

}  // namespace

JobStatus status_of(const sched::Job& job) {
  JobStatus status{JobState::queued, job.done.size(), job.placements.size()};
  if (job.cancelled()) {
    status.state = JobState::cancelled;
  } else if (!job.placements.empty()) {
    status.state = JobState::running;
  }
  return status;
}

/// Marks a sync as in progress during its lifetime, and wakes the waiters at its end.
class StatusCache::SyncInProgress {
 public:
  explicit SyncInProgress(StatusCache& cache) : cache_(cache) { cache_.sync_in_progress_ = true; }
  SyncInProgress(const SyncInProgress&) = delete;
  SyncInProgress& operator=(const SyncInProgress&) = delete;
  ~SyncInProgress() {
    cache_.sync_in_progress_ = false;
    cache_.wake_waiters();
  }

 private:
  StatusCache& cache_;
};

/// Registers a signal as a waiter during its lifetime.
class StatusCache::WaiterRegistration {
 public:
  WaiterRegistration(std::vector<net::Signal*>& waiters, net::Signal& signal)
      : waiters_(waiters), signal_(&signal) {
    waiters_.push_back(signal_);
  }
  WaiterRegistration(const WaiterRegistration&) = delete;
  WaiterRegistration& operator=(const WaiterRegistration&) = delete;
  ~WaiterRegistration() { std::erase(waiters_, signal_); }

 private:
  std::vector<net::Signal*>& waiters_;
  net::Signal* signal_;
};

double StatusCache::sync_interval_s() const {
  return std::max(1 / (kMaxSyncRequestShare * store_.request_rate()), kMinSyncIntervalS);
}

void StatusCache::count_read() {
  reads_.record(reactor_.now());
}

bool StatusCache::is_cheaper_than_reads() {
  return reads_.per_second(reactor_.now()) * sync_interval_s() > 1;
}

Task<base::Result<JobStatus, StatusMiss>> StatusCache::find(std::string id) {
  const double requested_at = reactor_.now();
  const double deadline = requested_at + kClientRequestTimeoutS;
  while (last_successful_sync_sent_ < requested_at) {
    const double remaining_s = deadline - reactor_.now();
    if (last_failed_sync_sent_ >= requested_at || remaining_s <= 0) {
      co_return Failure(StatusMiss::store_unavailable);
    }
    if (sync_in_progress_) {
      auto waiting = wait_for_sync(remaining_s);
      co_await waiting;
    } else {
      auto syncing = sync();
      co_await syncing;
    }
  }
  co_return find_cached(id);
}

base::Result<JobStatus, StatusMiss> StatusCache::find_cached(const std::string& id) const {
  const Entry* entry = jobs_.find(id);
  if (entry == nullptr || !entry->status) return Failure(StatusMiss::not_cached);
  return *entry->status;
}

Task<void> StatusCache::wait_for_sync(double timeout_s) {
  net::Signal signal(reactor_);
  const WaiterRegistration registration(waiters_, signal);
  net::Signal::Wait wait(signal, timeout_s);
  co_await wait;
}

void StatusCache::wake_waiters() {
  for (net::Signal* signal : waiters_) signal->set();
}

Task<void> StatusCache::sync() {
  const SyncInProgress in_progress(*this);
  net::Sleep pace(reactor_, std::max(last_sync_sent_ + sync_interval_s() - reactor_.now(), 0.0));
  co_await pace;
  last_sync_sent_ = reactor_.now();
  const double gap = last_sync_sent_ - last_successful_sync_sent_;
  if (revision_ && gap > std::max(max_sync_gap_s(), 2 * sync_interval_s())) revision_.reset();
  if (!revision_) {
    auto syncing = full_sync();
    co_await syncing;
    co_return;
  }
  auto syncing = delta_sync();
  co_await syncing;
  if (!revision_ || !next_page_) co_return;
  auto reading = read_next_page();
  // A page that could not be read is retried with the next sync.
  [[maybe_unused]] const auto revision = co_await reading;
}

// Starts a full sync by reading the first page. Delta syncs then fetch all later changes, and each
// is followed by one more page. A job on a page that is not read yet is cached only if a delta sync
// has fetched a change of it, so every cached status reflects all changes.
Task<void> StatusCache::full_sync() {
  jobs_ = base::RecentMap<Entry>(kMaxJobs);
  next_page_ = "";
  const double sent = last_sync_sent_;
  auto reading = read_next_page();
  const auto revision = co_await reading;
  if (revision) {
    revision_ = *revision;
    last_successful_sync_sent_ = sent;
  } else {
    last_failed_sync_sent_ = sent;
  }
}

// Returns the revision at which the page was read, or the status of the failed read.
Task<base::Result<std::uint64_t, Status>> StatusCache::read_next_page() {
  auto reading =
      store_.read_page(kJobsPrefix, *next_page_, store::kPageItems, kClientRequestTimeoutS);
  const auto read = co_await reading;
  if (read.status != Status::ok) co_return Failure(read.status);
  const auto& values = read.page.items;
  apply_values(values);
  next_page_.reset();
  if (read.page.more && !values.empty()) next_page_ = values.back().key;
  co_return read.page.revision;
}

Task<void> StatusCache::delta_sync() {
  const double sent = last_sync_sent_;
  auto fetching = store_.changes_since(kJobsPrefix, *revision_, kClientRequestTimeoutS);
  const auto changes = co_await fetching;
  if (changes.status == Status::ok) {
    apply_values(changes.page.items);
    revision_ = std::max(*revision_, changes.page.revision);
    last_successful_sync_sent_ = sent;
    co_return;
  }
  // The revision was compacted, or the response may be too long to read: a full sync is due.
  if (changes.status != Status::rejected) revision_.reset();
  if (changes.status != Status::compacted) last_failed_sync_sent_ = sent;
}

// Applies the values of a page or of a delta sync. They are never fetched concurrently, but a page
// may be newer than the changes of the following delta sync, so older revisions are skipped.
void StatusCache::apply_values(const std::vector<wire::StoredValue>& values) {
  for (const auto& value : values) {
    const auto id = job_id_from_key(value.key);
    const Entry* known = jobs_.find(id);
    if (known != nullptr && known->revision >= value.revision) continue;
    Entry entry;
    entry.revision = value.revision;
    // A removed or malformed record has no status.
    if (const auto job = read_record(value.data)) {
      // The status of a job that waits for dependencies also depends on whether one was cancelled,
      // which its own record does not show.
      const bool waits = !job->spec.dependencies.empty() && job->placements.empty();
      if (!waits) entry.status = status_of(*job);
    }
    jobs_.put(id, entry);
  }
}

}  // namespace cranklock::control
