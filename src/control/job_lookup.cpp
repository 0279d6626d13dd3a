#include "control/job_lookup.hpp"

#include "control/job_record.hpp"
#include "control/record_keys.hpp"

namespace cranklock::control {

using base::Failure;
using net::Task;
using store::Status;

namespace {

base::Result<StoredJob, LookupError> live_job(wire::StoredValue value) {
  auto job = read_record(value.data);
  if (!job) return Failure(LookupError::record_malformed);
  StoredJob found;
  found.state = StoredJob::State::live;
  found.job = std::move(*job);
  found.job.record.revision = value.revision;
  found.main_value = std::move(value.data);
  return found;
}

StoredJob ended_job(const JobOutcome& outcome) {
  StoredJob found;
  found.state = StoredJob::State::ended;
  found.outcome = outcome;
  return found;
}

}  // namespace

const JobOutcome* JobLookup::known_outcome(const std::string& id) const {
  return outcomes_.find(id);
}

Task<base::Result<StoredJob, LookupError>> JobLookup::find(std::string id) {
  if (const JobOutcome* known = known_outcome(id)) co_return ended_job(*known);
  // Fails immediately instead of letting clients wait for a key-value store that this node cannot
  // reach, so that they try another node sooner.
  if (!store_reachable_()) co_return Failure(LookupError::store_unavailable);
  // Reads the live record first, then the outcome: one write replaces the first by the second,
  // never the reverse. If both are missing in this order, neither existed at the time of the first
  // read.
  auto reading = store_.read(job_key(id), kClientRequestTimeoutS);
  auto read = co_await reading;
  if (read.status == Status::ok) co_return live_job(std::move(read.value));
  if (read.status != Status::not_found) co_return Failure(LookupError::store_unavailable);
  auto finding = find_outcome(std::move(id));
  auto found = co_await finding;
  co_return found;
}

Task<base::Result<StoredJob, LookupError>> JobLookup::find_outcome(std::string id) {
  auto reading = store_.read(outcome_key(id), kClientRequestTimeoutS);
  const auto read = co_await reading;
  if (read.status == Status::not_found) co_return StoredJob();
  if (read.status != Status::ok) co_return Failure(LookupError::store_unavailable);
  const auto outcome = read_outcome(read.value.data);
  if (!outcome) co_return Failure(LookupError::record_malformed);
  outcomes_.put(id, *outcome);
  co_return ended_job(*outcome);
}

}  // namespace cranklock::control
