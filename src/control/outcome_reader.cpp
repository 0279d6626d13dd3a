#include "control/outcome_reader.hpp"

#include <algorithm>

#include "control/record_keys.hpp"
#include "control/small_records.hpp"

namespace cranklock::control {

using net::Task;
using sched::Dependencies;
using store::Status;

namespace {

constexpr std::size_t kMaxConcurrentReads = 8;

}  // namespace

void OutcomeReader::read_unknown_outcomes() {
  const double now = context_.now();
  std::erase_if(retry_at_, [&](const auto& entry) { return entry.second <= now; });
  const auto unknown = context_.cluster.unknown_outcomes();
  // Reads that find nothing must not use up the requests of this controller: very many jobs may
  // depend on deferred ones.
  constexpr double kMaxRequestShare = 0.1;
  retry_interval_s_ = std::max(context_.services.settings.heartbeat_interval_s / 2,
                               static_cast<double>(unknown.size()) /
                                   (kMaxRequestShare * context_.services.store.request_rate()));
  for (const auto& id : unknown) {
    if (reads_in_progress_.size() >= kMaxConcurrentReads) return;
    if (retry_at_.contains(id)) continue;
    if (reads_in_progress_.insert(id).second) scope_.spawn(read_and_record(id));
  }
}

Task<void> OutcomeReader::read_and_record(std::string id) {
  auto reading = context_.services.store.read(outcome_key(id), kStoreTimeoutS);
  const auto found = co_await reading;
  reads_in_progress_.erase(id);
  const auto outcome = read_outcome(found.status == Status::ok ? found.value.data : "");
  if (!outcome) {
    // The read failed, or the job is still live and its record is not held (yet).
    retry_at_[id] = context_.now() + retry_interval_s_;
    co_return;
  }
  Dependencies::Outcome known;
  if (outcome->state == wire::JobState::done) {
    known.resolution = Dependencies::Resolution::done;
    known.at_ms = outcome->ended_ms;
  } else {
    known.resolution = Dependencies::Resolution::cancelled;
    known.at_ms = context_.services.reactor.wall_ms();
    known.since = context_.now();
  }
  context_.cluster.record_outcome(id, known);
  context_.state_changed.set();
}

}  // namespace cranklock::control
