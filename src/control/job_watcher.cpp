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

}  // namespace

JobWatcher::JobWatcher(Services services, LeaderLease& lease, sched::ClusterState& cluster,
                       RecordReloader& reloader, net::Signal& work, Callbacks callbacks)
    : services_(services),
      leader_lease_(lease),
      cluster_(cluster),
      reloader_(reloader),
      work_(work),
      callbacks_(std::move(callbacks)) {}

// ---- take-over ----

Task<bool> JobWatcher::load() {
  const double sent = now();
  auto reading = services_.store.read_all(kJobsPrefix, kStoreTimeout);
  const auto jobs = co_await reading;
  if (jobs.status != Status::ok) co_return false;
  loaded_revision_ = jobs.page.revision;
  leader_lease_.caught_up(sent);
  for (const auto& item : jobs.page.items) {
    auto loading = load_one(item);
    if (!co_await loading) co_return false;
  }
  known_before_ = sent;
  co_return true;
}

Task<bool> JobWatcher::load_one(const wire::StoredValue& item) {
  auto job = read_record(item.data);
  if (!job) {
    log_malformed(item.key, job.error());
    co_return true;
  }
  job->revision = item.revision;
  if (job->stored_parts > 0) {
    auto reading = reloader_.read_parts(*job);
    if (!co_await reading) {
      // It changed while it was read: read it again by itself.
      auto reloading = reloader_.reload(job->spec.id);
      co_return co_await reloading;
    }
  }
  put(std::move(*job));
  co_return true;
}

// Guards against a deletion put off by every change of leader: the record tells when its user
// cancelled, as well as two clocks of the day agree. What came with the changes was not stored yet
// when all was known last.
double JobWatcher::cancelled_since(std::int64_t at_ms) const {
  const double age = static_cast<double>(services_.reactor.wall_ms() - at_ms) / 1000 +
                     2 * services_.settings.clock_error_s;
  return std::min(std::max(now() - std::max(age, 0.0), known_before_), now());
}

void JobWatcher::put(Job job) {
  if (job.cancelled()) job.cancelled_since = cancelled_since(job.cancelled_at_ms);
  cluster_.upsert_job(std::move(job), now());
}

// ---- changes ----

Task<void> JobWatcher::follow() {
  std::uint64_t since = loaded_revision_;
  // As long as the pause between renewals: what an answer proves is as old as its question.
  const double wait = LeaderLease::lease_life(services_.settings) / 4;
  int unclear = 0;  // answers in a row
  for (;;) {
    const double sent = now();
    auto watching = services_.store.watch(kJobsPrefix, since, wait);
    auto result = co_await watching;
    if (result.status == Status::ok) {
      unclear = 0;
      since = std::max(since, result.page.revision);
      note_changes(std::move(result.page.items), sent);
      continue;
    }
    leader_lease_.fell_behind();
    // Guards against an answer that is too long to be read, and so would be asked for for ever. In
    // an outage renewals are not answered either.
    const bool served = leader_lease_.confirmed_sent() > sent;
    unclear = result.status == Status::unknown && served ? unclear + 1 : 0;
    if (result.status == Status::failed || unclear >= 3) {
      // Too far behind: read everything again, as changes.
      const double asked = now();
      auto reading = services_.store.read_all(kJobsPrefix, kStoreTimeout);
      auto all = co_await reading;
      if (all.status == Status::ok) {
        unclear = 0;
        since = all.page.revision;
        note_changes(std::move(all.page.items), asked);
        continue;
      }
    }
    Sleep pause(services_.reactor, std::min(services_.settings.heartbeat_interval_s, wait) / 4);
    co_await pause;
  }
}

// Cancellations are acted on as they come: other changes wait until no transaction of ours is under
// way, which may take as long as the state service pleases.
void JobWatcher::note_changes(std::vector<wire::StoredValue> items, double sent) {
  bool stops = false;
  for (auto& item : items) {
    Job* known = cluster_.job(job_of_key(item.key));
    if (known != nullptr && item.revision > known->revision && !known->cancelled()) {
      if (const auto at_ms = read_cancelled_at_ms(item.data); at_ms != 0) {
        cluster_.cancel(*known, at_ms, cancelled_since(at_ms));
        stops = true;
      }
    }
    pending_.push_back(std::move(item));
  }
  leader_lease_.caught_up(sent);
  known_before_ = std::max(known_before_, sent);
  if (!pending_.empty()) work_.set();
  if (stops) callbacks_.job_cancelled();
}

void JobWatcher::apply_changes() {
  while (!pending_.empty()) {
    const auto item = std::move(pending_.front());
    pending_.pop_front();
    apply_change(item);
  }
}

void JobWatcher::apply_change(const wire::StoredValue& item) {
  const auto id = job_of_key(item.key);
  const Job* known = cluster_.job(id);
  if (known != nullptr && item.revision <= known->revision) return;
  if (item.data.empty()) {
    if (known != nullptr) cluster_.remove_job(id);
    return;
  }
  auto job = read_record(item.data);
  if (!job) {
    log_malformed(item.key, job.error());
    return;
  }
  if (job->stored_parts > 0) {
    reloader_.request(id);
    return;
  }
  job->revision = item.revision;
  if (known == nullptr) {
    callbacks_.job_accepted();
    base::log_info("job accepted", base::field("job", id),
                   base::field("class", job->spec.job_class), base::field("team", job->spec.team),
                   base::field("tasks", job->spec.tasks));
  } else if (job->cancelled()) {
    base::log_info("job cancelled", base::field("job", id));
  }
  put(std::move(*job));
}

}  // namespace cranklock::control
