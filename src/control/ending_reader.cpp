#include "control/ending_reader.hpp"

#include "control/record.hpp"

namespace cranklock::control {

using net::Task;
using store::Outcome;

namespace {
constexpr std::size_t kMostAtOnce = 8;
}

void EndingReader::read_unknown() {
  const double now = reactor_.now();
  std::erase_if(retry_at_, [&](const auto& entry) { return entry.second <= now; });
  for (const auto& id : cluster_.unknown_endings()) {
    if (reading_.size() >= kMostAtOnce) return;
    if (retry_at_.contains(id)) continue;
    if (reading_.insert(id).second) scope_.spawn(read_one(id));
  }
}

Task<void> EndingReader::read_one(std::string id) {
  auto reading = store_.read(ended_key(id), kStoreTimeout);
  const auto found = co_await reading;
  reading_.erase(id);
  const auto ending =
      found.outcome == Outcome::ok ? read_ending(found.value.data) : std::optional<Ending>();
  if (!ending) {
    // Not to be had now; or the job is live, and the changes of it are still to come.
    retry_at_[id] = reactor_.now() + cluster_.settings().heartbeat_interval_s / 2;
    co_return;
  }
  sched::Dependencies::Ending known;
  if (ending->state == wire::JobState::done) {
    known.outcome = sched::Dependencies::Outcome::done;
    known.at_ms = ending->ended_ms;
  } else {
    known.outcome = sched::Dependencies::Outcome::cancelled;
    known.at_ms = reactor_.wall_ms();
    known.since = reactor_.now();
  }
  cluster_.note_ending(id, known);
  changed_.set();
}

}  // namespace cranklock::control
