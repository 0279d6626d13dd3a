#include "control/record_reloader.hpp"

#include <utility>
#include <vector>

#include "control/job_record.hpp"
#include "control/record_keys.hpp"

namespace cranklock::control {

using net::Task;
using sched::Job;
using store::Status;

RecordReloader::RecordReloader(LeaderContext& context, std::function<void(Job)> upsert_job)
    : context_(context),
      upsert_job_(std::move(upsert_job)),
      requested_signal_(context.services.reactor) {}

void RecordReloader::request(const std::string& id) {
  requested_.insert(id);
  requested_signal_.set();
}

Task<void> RecordReloader::run() {
  constexpr std::size_t kMaxConcurrentReads = 8;
  for (;;) {
    const double retry_interval_s = context_.services.settings.heartbeat_interval_s / 4;
    const double idle_interval_s = 4 * retry_interval_s;
    net::Signal::Wait wait(requested_signal_,
                           requested_.empty() ? idle_interval_s : retry_interval_s);
    co_await wait;
    const std::vector<std::string> ids(requested_.begin(), requested_.end());
    for (const auto& id : ids) {
      if (reads_in_progress_.size() >= kMaxConcurrentReads) break;
      if (reads_in_progress_.insert(id).second) scope_.spawn(reload_requested(id));
    }
  }
}

Task<void> RecordReloader::reload_requested(std::string id) {
  auto reading = reload(id);
  const auto read = co_await reading;
  reads_in_progress_.erase(id);
  if (read != RecordReadStatus::complete) co_return;
  requested_.erase(id);
  requested_signal_.set();
  context_.state_changed.set();
}

Task<RecordReadStatus> RecordReloader::read_parts(Job& job) {
  for (int part = 0; part < job.record.parts; ++part) {
    auto reading = context_.services.store.read(part_key(job.spec.id, part), kStoreTimeoutS);
    const auto found = co_await reading;
    if (found.status != Status::ok) co_return RecordReadStatus::unavailable;
    const auto added = add_part(found.value.data, found.value.revision, job);
    if (added != PartStatus::added) co_return RecordReadStatus::unavailable;
  }
  co_return RecordReadStatus::complete;
}

Task<RecordReadStatus> RecordReloader::reload(std::string id) {
  constexpr int kMaxTries = 3;
  for (int tries = 0; tries < kMaxTries; ++tries) {
    auto reading = context_.services.store.read(job_key(id), kStoreTimeoutS);
    const auto found = co_await reading;
    if (found.status == Status::not_found) {
      context_.cluster.remove_job(id);
      co_return RecordReadStatus::complete;
    }
    if (found.status != Status::ok) co_return RecordReadStatus::unavailable;
    auto job = read_record(found.value.data);
    if (!job) co_return RecordReadStatus::unavailable;
    job->record.revision = found.value.revision;
    auto reading_parts = read_parts(*job);
    const auto parts = co_await reading_parts;
    if (parts != RecordReadStatus::complete) continue;
    // Retries if the watch has already delivered a newer revision. A read of the revision that the
    // cluster state already has is ignored: an unanswered write of this leader may still be applied
    // after it, so the read does not prove that the write has failed.
    const Job* known = context_.cluster.job(id);
    if (known != nullptr && known->record.revision > job->record.revision) continue;
    if (known != nullptr && known->record.revision == job->record.revision)
      co_return RecordReadStatus::complete;
    upsert_job_(std::move(*job));
    co_return RecordReadStatus::complete;
  }
  co_return RecordReadStatus::unavailable;
}

}  // namespace cranklock::control
