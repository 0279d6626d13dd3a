#include "control/job_watcher.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "base/event_log.hpp"
#include "control/job_record.hpp"
#include "control/record_keys.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using sched::Job;
using store::Status;

namespace {

/// A record that this version can't read is left alone: a newer version may have written it.
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
    : context_(context), reloader_(reloader), callbacks_(std::move(callbacks)) {}

// ---- failover ----

Task<bool> JobWatcher::load() {
  const double sent = context_.now();
  auto reading = context_.services.store.read_all(kJobsPrefix, kStoreTimeoutS);
  const auto jobs = co_await reading;
  if (jobs.status != Status::ok) co_return false;
  revision_ = jobs.page.revision;
  context_.lease.mark_caught_up(sent);
  for (const auto& value : jobs.page.items) {
    auto loading = load_job(value);
    if (!co_await loading) co_return false;
  }
  known_before_ = sent;
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
    if (co_await reading == RecordRead::unavailable) {
      // It changed while it was read: read it again by itself.
      auto reloading = reloader_.reload(job->spec.id);
      const auto reloaded = co_await reloading;
      co_return reloaded == RecordRead::complete;
    }
  }
  upsert_job(std::move(*job));
  co_return true;
}

// The time on the steady clock at which a job was cancelled, at the latest. Guards against a
// deletion put off by every change of leader: the record tells when its client cancelled, as well
// as two clocks of the day agree. What came with the changes was not stored yet when all was known
// last.
double JobWatcher::cancelled_since(std::int64_t cancelled_at_ms) const {
  const auto& services = context_.services;
  const double now = context_.now();
  const double age_s = static_cast<double>(services.reactor.wall_ms() - cancelled_at_ms) / 1000 +
                       2 * services.settings.clock_error_s;
  return std::min(std::max(now - std::max(age_s, 0.0), known_before_), now);
}

void JobWatcher::upsert_job(Job job) {
  if (job.cancelled()) job.cancelled_since = cancelled_since(job.cancelled_at_ms);
  context_.cluster.upsert_job(std::move(job), context_.now());
}

// ---- changes ----

Task<void> JobWatcher::follow() {
  constexpr int kMaxUnanswered = 3;
  const auto& settings = context_.services.settings;
  // As long as the pause between renewals: what an answer proves is as old as its request.
  const double hold_s = LeaderLease::lease_ttl_s(settings) / 4;
  int unanswered = 0;  // watches in a row
  for (;;) {
    const double sent = context_.now();
    auto watching = context_.services.store.watch(kJobsPrefix, revision_, hold_s);
    auto result = co_await watching;
    if (result.status == Status::ok) {
      unanswered = 0;
      revision_ = std::max(revision_, result.page.revision);
      on_changes(std::move(result.page.items), sent);
      continue;
    }
    context_.lease.mark_behind();
    // Guards against an answer that is too long to be read, and so would be asked for for ever. In
    // an outage renewals are not answered either.
    const bool renewed = context_.lease.last_renewal_sent_at() > sent;
    unanswered = result.status == Status::indeterminate && renewed ? unanswered + 1 : 0;
    const bool too_far_behind = result.status == Status::compacted;
    if (too_far_behind || unanswered >= kMaxUnanswered) {
      auto reading = read_all_as_changes();
      if (co_await reading) {
        unanswered = 0;
        continue;
      }
    }
    Sleep pause(context_.services.reactor, std::min(settings.heartbeat_interval_s, hold_s) / 4);
    co_await pause;
  }
}

Task<bool> JobWatcher::read_all_as_changes() {
  const double sent = context_.now();
  auto reading = context_.services.store.read_all(kJobsPrefix, kStoreTimeoutS);
  auto jobs = co_await reading;
  if (jobs.status != Status::ok) co_return false;
  revision_ = jobs.page.revision;
  on_changes(std::move(jobs.page.items), sent);
  co_return true;
}

// Cancellations are acted on as they come: other changes wait until no write of the leader's own is
// under way, which may take as long as the key-value store pleases.
void JobWatcher::on_changes(std::vector<wire::StoredValue> values, double sent) {
  bool any_cancelled = false;
  for (auto& value : values) {
    if (cancel_at_once(value)) any_cancelled = true;
    pending_.push_back(std::move(value));
  }
  context_.lease.mark_caught_up(sent);
  known_before_ = std::max(known_before_, sent);
  if (!pending_.empty()) context_.state_changed.set();
  if (any_cancelled) callbacks_.job_cancelled();
}

// Cancels the job if this change is its cancellation; returns whether it is.
bool JobWatcher::cancel_at_once(const wire::StoredValue& value) {
  Job* known = context_.cluster.job(job_of_key(value.key));
  if (known == nullptr || value.revision <= known->record.revision || known->cancelled())
    return false;
  const auto cancelled_at_ms = read_cancelled_at_ms(value.data);
  if (cancelled_at_ms == 0) return false;
  context_.cluster.cancel(*known, cancelled_at_ms, cancelled_since(cancelled_at_ms));
  return true;
}

void JobWatcher::apply_changes() {
  while (!pending_.empty()) {
    const auto value = std::move(pending_.front());
    pending_.pop_front();
    apply_change(value);
  }
}

void JobWatcher::apply_change(const wire::StoredValue& value) {
  const auto id = job_of_key(value.key);
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
  upsert_job(std::move(*job));
}

}  // namespace cranklock::control
