#include "control/job_lookup.hpp"

namespace cranklock::control {

using net::Task;
using store::Outcome;

const Ending* JobLookup::known_ending(const std::string& id) const {
  return endings_.find(id);
}

Task<StoredJob> JobLookup::find(std::string id) {
  StoredJob found;
  if (const Ending* known = known_ending(id)) {
    found.kind = StoredJob::Kind::ended;
    found.ending = *known;
    co_return found;
  }
  // Guards against users who wait for a state service that does not answer this node: they are told
  // at once, and find another node the sooner.
  if (!state_reached_()) co_return found;
  // First the live record, then the ended one: a job moves from the first to the second at once and
  // never back, so missing both, in this order, means that it was in neither when asked.
  auto reading = store_.read(job_key(id), kUserTimeout);
  auto live = co_await reading;
  if (live.outcome == Outcome::ok) {
    int parts = 0;
    auto job = read_record(live.value.data, parts);
    if (!job) co_return found;
    found.kind = StoredJob::Kind::live;
    found.job = std::move(*job);
    found.job.revision = live.value.revision;
    found.text = std::move(live.value.data);
    co_return found;
  }
  if (live.outcome != Outcome::failed) co_return found;
  auto reading_ended = store_.read(ended_key(id), kUserTimeout);
  const auto ended = co_await reading_ended;
  if (ended.outcome == Outcome::failed) found.kind = StoredJob::Kind::absent;
  if (ended.outcome != Outcome::ok) co_return found;
  const auto ending = read_ending(ended.value.data);
  if (!ending) co_return found;
  found.kind = StoredJob::Kind::ended;
  found.ending = *ending;
  endings_.put(id, *ending);
  co_return found;
}

}  // namespace cranklock::control
