#include "control/job_watcher.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "base/event_log.hpp"
#include "control/job_record.hpp"
#include "control/record_keys.hpp"
#include "store/range_reader.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using sched::Job;
using store::Status;

namespace {

/// Malformed records are logged and left unchanged: a newer version may have written them.
void log_malformed(const std::string& key, const RecordError& error) {
  base::log_error("record malformed", base::field("key", key),
                  base::field("reason", to_string(error)));
}

void log_accepted(const wire::JobSpec& spec) {
  base::log_info("job accepted", base::field("job", spec.id), base::field("class", spec.job_class),
                 base::field("team", spec.team), base::field("tasks", spec.tasks));
}

}  // namespace

JobWatcher::JobWatcher(LeaderContext& context, RecordReloader& reloader, Callbacks callbacks)
    : context_(context),
      reloader_(reloader),
      callbacks_(std::move(callbacks)),
      window_(context, reloader, callbacks_.outcome_not_found),
      pager_(context, reloader, window_, [this](Job job) { hold(std::move(job)); }) {}

// ---- initial load ----

Task<bool> JobWatcher::load() {
  const double sent = context_.now();
  store::RangeReader pages(context_.services.store, kJobsPrefix, kStoreTimeoutS);
  for (bool first = true; !pages.done(); first = false) {
    auto reading = pages.next();
    const auto jobs = co_await reading;
    if (jobs.status != Status::ok) co_return false;
    if (first) revision_ = jobs.page.revision;
    for (const auto& value : jobs.page.items) {
      auto loading = load_job(value);
      if (!co_await loading) co_return false;
    }
  }
  mark_caught_up(sent);
  co_return true;
}

Task<bool> JobWatcher::load_job(const wire::StoredValue& value) {
  auto job = read_record(value.data);
  if (!job) {
    log_malformed(value.key, job.error());
    co_return true;
  }
  job->record.revision = value.revision;
  if (job->record.parts > 0) {
    auto reading = reloader_.read_parts(*job);
    if (co_await reading == RecordReadStatus::unavailable) {
      // The record may have changed between the reads: reload it on its own.
      auto reloading = reloader_.reload(job->spec.id);
      const auto reloaded = co_await reloading;
      co_return reloaded == RecordReadStatus::complete;
    }
  }
  upsert_job(std::move(*job));
  co_return true;
}

// Returns a lower bound of a cancellation's time, on this leader's steady clock. It is based on the
// time of day in the record, allowing for the error of both nodes' clocks. If each leader counted
// from when it first read the cancellation, every failover would postpone the deletion of machines
// that still run the job's tasks. `changes_known_until_` is a lower bound as well, because the
// cancellation was not among the changes received until then; the later bound is returned.
double JobWatcher::cancellation_time(std::int64_t cancelled_at_ms) const {
  const auto& services = context_.services;
  const double now = context_.now();
  const double age_s = static_cast<double>(services.reactor.wall_ms() - cancelled_at_ms) / 1000 +
                       2 * services.settings.clock_error_s;
  return std::min(std::max(now - std::max(age_s, 0.0), changes_known_until_), now);
}

void JobWatcher::upsert_job(Job job) {
  if (window_.admit(job)) hold(std::move(job));
}

void JobWatcher::hold(Job job) {
  if (job.cancelled()) job.cancelled_since = cancellation_time(job.cancelled_at_ms);
  context_.cluster.upsert_job(std::move(job), context_.now());
}

// ---- changes ----

Task<void> JobWatcher::follow() {
  constexpr int kMaxUnansweredWatches = 3;  // in a row
  const auto& settings = context_.services.settings;
  // Equal to the interval between renewals: an answer proves that all changes are known only up to
  // the time when its request was sent.
  const double watch_wait_s = LeaderLease::lease_ttl_s(settings) / 4;
  int unanswered_watches = 0;
  for (;;) {
    const double sent = context_.now();
    auto watching = context_.services.store.watch(kJobsPrefix, revision_, watch_wait_s);
    auto result = co_await watching;
    if (result.status == Status::ok) {
      unanswered_watches = 0;
      revision_ = std::max(revision_, result.page.revision);
      on_changes(std::move(result.page.items), sent);
      continue;
    }
    context_.lease.mark_behind();
    // If watches are repeatedly unanswered although lease renewals succeed, the response may be too
    // long to be read, so that the same watch would never succeed. In an outage of the store,
    // renewals fail as well.
    const bool renewed = context_.lease.last_renewal_sent_at() > sent;
    unanswered_watches =
        result.status == Status::indeterminate && renewed ? unanswered_watches + 1 : 0;
    const bool too_far_behind = result.status == Status::compacted;
    if (too_far_behind || unanswered_watches >= kMaxUnansweredWatches) {
      auto reading = resync();
      if (co_await reading) {
        unanswered_watches = 0;
        continue;
      }
    }
    Sleep pause(context_.services.reactor,
                std::min(settings.heartbeat_interval_s, watch_wait_s) / 4);
    co_await pause;
  }
}

// Values that are not newer than what the leader holds are dropped, and the others are queued a
// page at a time, so that a gap takes no more memory than other changes do.
Task<bool> JobWatcher::resync() {
  const double sent = context_.now();
  store::RangeReader pages(context_.services.store, kJobsPrefix, kStoreTimeoutS);
  std::optional<std::uint64_t> revision;
  while (!pages.done()) {
    auto reading = pages.next();
    auto read = co_await reading;
    if (read.status != Status::ok) co_return false;
    if (!revision) revision = read.page.revision;
    std::erase_if(read.page.items, [this](const wire::StoredValue& value) {
      const Job* known = context_.cluster.job(job_id_from_key(value.key));
      return known != nullptr && value.revision <= known->record.revision;
    });
    receive(std::move(read.page.items));
    auto waiting = wait_for_queue();
    co_await waiting;
  }
  revision_ = std::max(revision_, revision.value_or(0));
  mark_caught_up(sent);
  co_return true;
}

Task<void> JobWatcher::wait_for_queue() {
  constexpr std::size_t kMaxQueued = 200;
  while (pending_.size() > kMaxQueued) {
    Sleep pause(context_.services.reactor, context_.services.settings.heartbeat_interval_s / 16);
    co_await pause;
  }
}

void JobWatcher::on_changes(std::vector<wire::StoredValue> values, double sent) {
  receive(std::move(values));
  mark_caught_up(sent);
}

void JobWatcher::mark_caught_up(double sent) {
  context_.lease.mark_caught_up(sent);
  changes_known_until_ = std::max(changes_known_until_, sent);
}

// Applies cancellations immediately and queues all changes until no write of the leader is in
// progress, which can take as long as the key-value store delays its answer.
void JobWatcher::receive(std::vector<wire::StoredValue> values) {
  bool any_cancelled = false;
  for (auto& value : values) {
    pager_.note_change(job_id_from_key(value.key));
    if (apply_cancellation(value)) any_cancelled = true;
    pending_.push_back(std::move(value));
  }
  if (!pending_.empty()) context_.state_changed.set();
  if (any_cancelled) callbacks_.job_cancelled();
}

// Cancels the job if this change is its cancellation; returns whether it is.
bool JobWatcher::apply_cancellation(const wire::StoredValue& value) {
  Job* known = context_.cluster.job(job_id_from_key(value.key));
  if (known == nullptr || value.revision <= known->record.revision || known->cancelled())
    return false;
  const auto cancelled_at_ms = read_cancelled_at_ms(value.data);
  if (cancelled_at_ms == 0) return false;
  context_.cluster.cancel(*known, cancelled_at_ms, cancellation_time(cancelled_at_ms));
  return true;
}

void JobWatcher::apply_changes() {
  window_.rotate();
  while (!pending_.empty()) {
    const auto value = std::move(pending_.front());
    pending_.pop_front();
    apply_change(value);
  }
}

void JobWatcher::apply_change(const wire::StoredValue& value) {
  const auto id = job_id_from_key(value.key);
  const Job* known = context_.cluster.job(id);
  if (known != nullptr && value.revision <= known->record.revision) return;
  if (value.is_removed()) {
    if (known != nullptr) context_.cluster.remove_job(id);
    return;
  }
  auto job = read_record(value.data);
  if (!job) {
    log_malformed(value.key, job.error());
    return;
  }
  if (job->record.parts > 0) {
    reloader_.request(id);
    return;
  }
  job->record.revision = value.revision;
  if (known == nullptr) {
    callbacks_.job_accepted();
    log_accepted(job->spec);
  } else if (job->cancelled()) {
    base::log_info("job cancelled", base::field("job", id));
  }
  if (window_.admit_or_evict(*job)) hold(std::move(*job));
}

}  // namespace cranklock::control
