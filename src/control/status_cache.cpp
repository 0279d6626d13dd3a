#include "control/status_cache.hpp"

#include <algorithm>
#include <utility>

#include "control/job_lookup.hpp"
#include "control/job_record.hpp"
#include "control/record_keys.hpp"

namespace cranklock::control {

using net::Task;
using store::Status;
using wire::JobState;

namespace {
constexpr double kShareOfRequests = 0.25;          ///< of this node's, for exchanges
constexpr double kMinInterval = kUserTimeout / 8;  ///< seconds
constexpr int kPageItems = 200;
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

double StatusCache::interval() const {
  return std::max(1 / (kShareOfRequests * store_.request_rate()), kMinInterval);
}

bool StatusCache::record_read() {
  const double now = reactor_.now();
  reads_.note(now);
  return reads_.per_second(now) * interval() > 1;
}

/// Marks that one of those who wait carries an exchange out. When that one goes away, with its
/// user's connection for instance, another takes over.
struct StatusCache::Running {
  explicit Running(StatusCache& of) : cache(of) { cache.running_ = true; }
  Running(const Running&) = delete;
  Running& operator=(const Running&) = delete;
  ~Running() {
    cache.running_ = false;
    cache.wake_waiting();
  }
  StatusCache& cache;
};

void StatusCache::wake_waiting() {
  for (net::Signal* signal : waiting_) signal->set();
}

Task<StatusCache::Found> StatusCache::find(std::string id) {
  const double asked = reactor_.now();
  const double until = asked + kUserTimeout;
  Found found;
  while (caught_up_sent_ < asked) {
    const double left = until - reactor_.now();
    if (failed_sent_ >= asked || left <= 0) co_return found;
    if (!running_) {
      auto syncing = sync();
      co_await syncing;
      continue;
    }
    net::Signal signal(reactor_);
    struct Listed {
      std::vector<net::Signal*>& in;
      net::Signal* signal;
      ~Listed() { std::erase(in, signal); }
    };
    const Listed listed{waiting_, &signal};
    waiting_.push_back(&signal);
    net::Signal::Wait wait(signal, left);
    co_await wait;
  }
  const Entry* entry = jobs_.find(id);
  found.kind = entry != nullptr && entry->status ? Kind::known : Kind::unknown;
  if (found.kind == Kind::known) found.status = *entry->status;
  co_return found;
}

Task<void> StatusCache::sync() {
  const Running running(*this);
  net::Sleep pace(reactor_, std::max(sync_sent_at_ + interval() - reactor_.now(), 0.0));
  co_await pace;
  sync_sent_at_ = reactor_.now();
  if (revision_ && sync_sent_at_ - caught_up_sent_ > std::max(max_gap(), 2 * interval())) {
    revision_.reset();
  }
  if (!revision_) {
    auto beginning = begin();
    co_await beginning;
    co_return;
  }
  auto catching_up = catch_up();
  co_await catching_up;
  if (!revision_ || !read_after_) co_return;
  auto reading = read_stored();
  co_await reading;
}

// From here on every change is taken in; what is stored already is read page by page. What is not
// on the first page is not known yet, so its answer is as good as one with all changes.
Task<void> StatusCache::begin() {
  jobs_ = base::RecentMap<Entry>(kMaxJobs);
  read_after_ = "";
  const double sent = sync_sent_at_;
  auto reading = read_stored();
  revision_ = co_await reading;
  if (revision_) {
    caught_up_sent_ = sent;
  } else {
    failed_sent_ = sent;
  }
}

// The next page; returns the revision at which it was read.
Task<std::optional<std::uint64_t>> StatusCache::read_stored() {
  auto reading = store_.read_page(kJobsPrefix, *read_after_, kPageItems, kUserTimeout);
  const auto read = co_await reading;
  if (read.status != Status::ok) co_return std::nullopt;
  take_in(read.page.items);
  read_after_.reset();
  if (read.page.more && !read.page.items.empty()) read_after_ = read.page.items.back().key;
  co_return read.page.revision;
}

Task<void> StatusCache::catch_up() {
  const double sent = sync_sent_at_;
  auto asking = store_.changes_since(kJobsPrefix, *revision_, kUserTimeout);
  const auto changes = co_await asking;
  if (changes.status == Status::ok) {
    take_in(changes.page.items);
    revision_ = std::max(*revision_, changes.page.revision);
    caught_up_sent_ = sent;
    co_return;
  }
  // Too far behind, or an answer too long to be read: all is read anew.
  if (changes.status != Status::refused) revision_.reset();
  if (changes.status != Status::failed) failed_sent_ = sent;
}

// Pages and changes never overlap in time, but a page may be newer than the changes that follow it.
void StatusCache::take_in(const std::vector<wire::StoredValue>& items) {
  for (const auto& item : items) {
    const auto id = job_of_key(item.key);
    if (const Entry* known = jobs_.find(id); known != nullptr && known->revision >= item.revision) {
      continue;
    }
    Entry entry;
    entry.revision = item.revision;
    // What is removed or malformed has no status.
    if (const auto job = read_record(item.data)) {
      // A job that waits for others may be cancelled with them: that takes more than its record.
      const bool waits = !job->spec.dependencies.empty() && job->placements.empty();
      if (!waits) entry.status = status_of(*job);
    }
    jobs_.put(id, entry);
  }
}

}  // namespace cranklock::control
