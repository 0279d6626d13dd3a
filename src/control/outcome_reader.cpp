#include "control/outcome_reader.hpp"

#include "control/record_keys.hpp"
#include "control/small_records.hpp"

namespace cranklock::control {

using net::Task;
using sched::Dependencies;
using store::Status;

namespace {

constexpr std::size_t kMaxAtOnce = 8;

}  // namespace

void OutcomeReader::read_unknown() {
  const double now = context_.now();
  std::erase_if(retry_at_, [&](const auto& entry) { return entry.second <= now; });
  for (const auto& id : context_.cluster.unknown_outcomes()) {
    if (reading_.size() >= kMaxAtOnce) return;
    if (retry_at_.contains(id)) continue;
    if (reading_.insert(id).second) scope_.spawn(read_one(id));
  }
}

Task<void> OutcomeReader::read_one(std::string id) {
  auto reading = context_.services.store.read(outcome_key(id), kStoreTimeoutS);
  const auto found = co_await reading;
  reading_.erase(id);
  const auto outcome = read_outcome(found.status == Status::ok ? found.value.data : "");
  if (!outcome) {
    // Not available now; or the job is live, and the changes of it are still to come.
    retry_at_[id] = context_.now() + context_.services.settings.heartbeat_interval_s / 2;
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
