#include "control/record_reloader.hpp"

#include <utility>
#include <vector>

#include "control/job_record.hpp"
#include "control/record_keys.hpp"
#include "control/services.hpp"

namespace cranklock::control {

using net::Task;
using sched::Job;
using store::Status;

RecordReloader::RecordReloader(net::Reactor& reactor, const base::Settings& settings,
                               store::Client& store, sched::ClusterState& cluster,
                               std::function<void(Job)> put, net::Signal& changed)
    : settings_(settings),
      store_(store),
      cluster_(cluster),
      put_(std::move(put)),
      changed_(changed),
      due_(reactor) {}

void RecordReloader::request(const std::string& id) {
  requested_.insert(id);
  due_.set();
}

Task<void> RecordReloader::run() {
  constexpr std::size_t kMaxAtOnce = 8;
  for (;;) {
    const double every = settings_.heartbeat_interval_s / 4;
    net::Signal::Wait wait(due_, requested_.empty() ? 4 * every : every);
    co_await wait;
    const std::vector<std::string> due(requested_.begin(), requested_.end());
    for (const auto& id : due) {
      if (reading_.size() >= kMaxAtOnce) break;
      if (reading_.insert(id).second) scope_.spawn(reload_requested(id));
    }
  }
}

Task<void> RecordReloader::reload_requested(std::string id) {
  auto reading = reload(id);
  const bool settled = co_await reading;
  reading_.erase(id);
  if (!settled) co_return;
  requested_.erase(id);
  due_.set();
  changed_.set();
}

Task<bool> RecordReloader::read_parts(Job& job) {
  for (int i = 0; i < job.stored_parts; ++i) {
    auto reading = store_.read(part_key(job.spec.id, i), kStoreTimeout);
    const auto part = co_await reading;
    if (part.status != Status::ok ||
        add_part(part.value.data, part.value.revision, job) != PartStatus::added) {
      co_return false;
    }
  }
  co_return true;
}

Task<bool> RecordReloader::reload(std::string id) {
  constexpr int kTries = 3;
  for (int tries = 0; tries < kTries; ++tries) {
    auto reading = store_.read(job_key(id), kStoreTimeout);
    const auto found = co_await reading;
    if (found.status == Status::failed) {
      cluster_.remove_job(id);
      co_return true;
    }
    if (found.status != Status::ok) co_return false;
    auto job = read_record(found.value.data);
    if (!job) co_return false;
    job->revision = found.value.revision;
    auto reading_parts = read_parts(*job);
    if (!co_await reading_parts) continue;
    // The changes may have overtaken this reading. Nor does it tell anything that is not known: a
    // write of ours without an answer may still be carried out on top of it.
    const Job* known = cluster_.job(id);
    if (known != nullptr && known->revision > job->revision) continue;
    if (known != nullptr && known->revision == job->revision) co_return true;
    put_(std::move(*job));
    co_return true;
  }
  co_return false;
}

}  // namespace cranklock::control
