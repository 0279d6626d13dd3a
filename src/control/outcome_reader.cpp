#include "control/outcome_reader.hpp"

#include "control/record_keys.hpp"
#include "control/services.hpp"
#include "control/small_records.hpp"

namespace cranklock::control {

using net::Task;
using store::Status;

namespace {
constexpr std::size_t kMaxAtOnce = 8;
}

void OutcomeReader::read_unknown() {
  const double now = reactor_.now();
  std::erase_if(retry_at_, [&](const auto& entry) { return entry.second <= now; });
  for (const auto& id : cluster_.unknown_outcomes()) {
    if (reading_.size() >= kMaxAtOnce) return;
    if (retry_at_.contains(id)) continue;
    if (reading_.insert(id).second) scope_.spawn(read_one(id));
  }
}

Task<void> OutcomeReader::read_one(std::string id) {
  auto reading = store_.read(outcome_key(id), kStoreTimeout);
  const auto found = co_await reading;
  reading_.erase(id);
  const auto outcome = read_outcome(found.status == Status::ok ? found.value.data : "");
  if (!outcome) {
    // Not to be had now; or the job is live, and the changes of it are still to come.
    retry_at_[id] = reactor_.now() + cluster_.settings().heartbeat_interval_s / 2;
    co_return;
  }
  sched::Dependencies::Outcome known;
  if (outcome->state == wire::JobState::done) {
    known.resolution = sched::Dependencies::Resolution::done;
    known.at_ms = outcome->ended_ms;
  } else {
    known.resolution = sched::Dependencies::Resolution::cancelled;
    known.at_ms = reactor_.wall_ms();
    known.since = reactor_.now();
  }
  cluster_.record_outcome(id, known);
  changed_.set();
}

}  // namespace cranklock::control
