#include "control/job_lookup.hpp"

#include "control/job_record.hpp"
#include "control/record_keys.hpp"

namespace cranklock::control {

using net::Task;
using store::Status;

const JobOutcome* JobLookup::known_outcome(const std::string& id) const {
  return outcomes_.find(id);
}

Task<StoredJob> JobLookup::find(std::string id) {
  StoredJob found;
  if (const JobOutcome* known = known_outcome(id)) {
    found.kind = StoredJob::Kind::ended;
    found.outcome = *known;
    co_return found;
  }
  // Guards against users who wait for a state service that does not answer this node: they are told
  // at once, and find another node the sooner.
  if (!state_reached_()) co_return found;
  // First the live record, then the ended one: a job moves from the first to the second at once and
  // never back, so missing both, in this order, means that it was in neither when asked.
  auto reading = store_.read(job_key(id), kUserTimeout);
  auto live = co_await reading;
  if (live.status == Status::ok) {
    auto job = read_record(live.value.data);
    if (!job) co_return found;
    found.kind = StoredJob::Kind::live;
    found.job = std::move(*job);
    found.job.revision = live.value.revision;
    found.text = std::move(live.value.data);
    co_return found;
  }
  if (live.status != Status::failed) co_return found;
  auto reading_ended = store_.read(outcome_key(id), kUserTimeout);
  const auto ended = co_await reading_ended;
  if (ended.status == Status::failed) found.kind = StoredJob::Kind::absent;
  if (ended.status != Status::ok) co_return found;
  const auto outcome = read_outcome(ended.value.data);
  if (!outcome) co_return found;
  found.kind = StoredJob::Kind::ended;
  found.outcome = *outcome;
  outcomes_.put(id, *outcome);
  co_return found;
}

}  // namespace cranklock::control
