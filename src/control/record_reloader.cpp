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
  constexpr std::size_t kMaxAtOnce = 8;
  for (;;) {
    const double retry_interval_s = context_.services.settings.heartbeat_interval_s / 4;
    const double idle_interval_s = 4 * retry_interval_s;
    net::Signal::Wait wait(requested_signal_,
                           requested_.empty() ? idle_interval_s : retry_interval_s);
    co_await wait;
    const std::vector<std::string> ids(requested_.begin(), requested_.end());
    for (const auto& id : ids) {
      if (reading_.size() >= kMaxAtOnce) break;
      if (reading_.insert(id).second) scope_.spawn(reload_requested(id));
    }
  }
}

Task<void> RecordReloader::reload_requested(std::string id) {
  auto reading = reload(id);
  const auto read = co_await reading;
  reading_.erase(id);
  if (read != RecordRead::complete) co_return;
  requested_.erase(id);
  requested_signal_.set();
  context_.state_changed.set();
}

Task<RecordRead> RecordReloader::read_parts(Job& job) {
  for (int part = 0; part < job.record.parts; ++part) {
    auto reading = context_.services.store.read(part_key(job.spec.id, part), kStoreTimeoutS);
    const auto found = co_await reading;
    if (found.status != Status::ok) co_return RecordRead::unavailable;
    const auto added = add_part(found.value.data, found.value.revision, job);
    if (added != PartStatus::added) co_return RecordRead::unavailable;
  }
  co_return RecordRead::complete;
}

Task<RecordRead> RecordReloader::reload(std::string id) {
  constexpr int kMaxTries = 3;
  for (int tries = 0; tries < kMaxTries; ++tries) {
    auto reading = context_.services.store.read(job_key(id), kStoreTimeoutS);
    const auto found = co_await reading;
    if (found.status == Status::not_found) {
      context_.cluster.remove_job(id);
      co_return RecordRead::complete;
    }
    if (found.status != Status::ok) co_return RecordRead::unavailable;
    auto job = read_record(found.value.data);
    if (!job) co_return RecordRead::unavailable;
    job->record.revision = found.value.revision;
    auto reading_parts = read_parts(*job);
    const auto parts = co_await reading_parts;
    if (parts != RecordRead::complete) continue;
    // The changes may have overtaken this read. Nor does one of the same revision tell anything
    // that is not known: a write of ours without an answer may still be carried out on top of it.
    const Job* known = context_.cluster.job(id);
    if (known != nullptr && known->record.revision > job->record.revision) continue;
    if (known != nullptr && known->record.revision == job->record.revision)
      co_return RecordRead::complete;
    upsert_job_(std::move(*job));
    co_return RecordRead::complete;
  }
  co_return RecordRead::unavailable;
}

}  // namespace cranklock::control
