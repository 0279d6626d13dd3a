#include "control/record_batch_builder.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "base/event_log.hpp"

namespace cranklock::control {

using sched::Job;

namespace {

/// Whether the job has ended: no placement is left on a machine, and none will be made.
bool has_ended(const Job& job) {
  return job.cancelled() ? job.live_count() == 0 : job.complete();
}

std::size_t durable_count(const Job& job) {
  return static_cast<std::size_t>(
      std::count_if(job.placements.begin(), job.placements.end(),
                    [](const sched::Placement& p) { return p.is_recorded() && p.durable(); }));
}

}  // namespace

RecordBatchBuilder::RecordBatchBuilder(const LeaderContext& context, const std::vector<Job*>& jobs,
                                       RecordBatch& batch)
    : context_(context), jobs_(jobs), batch_(batch), stored_quota_(context.cluster) {}

void RecordBatchBuilder::add_records() {
  for (Job* job : jobs_) {
    if (!added_.contains(job) && !add_with_releases(*job)) return;
  }
}

bool RecordBatchBuilder::add_with_releases(Job& job) {
  if (stored_quota_.may_write(job)) return add_record(job);
  const std::string& team = job.spec.team;
  if (!teams_without_releases_.contains(team)) {
    if (!add_releases_for(job)) return false;
    if (stored_quota_.may_write(job)) return add_record(job);
    teams_without_releases_.insert(team);
  }
  ++context_.counters.writes_held_back;
  base::log_debug("record held back", base::field("job", job.spec.id), base::field("team", team),
                  base::field("reason", "quota release not stored"));
  return add_release(job);
}

bool RecordBatchBuilder::add_releases_for(const Job& job) {
  for (Job* other : jobs_) {
    const bool may_release = other != &job && other->spec.team == job.spec.team &&
                             !other->cancelled() && !added_.contains(other);
    if (!may_release) continue;
    if (!add_release(*other)) return false;
    if (stored_quota_.may_write(job)) return true;
  }
  return true;
}

bool RecordBatchBuilder::add_release(Job& job) {
  const std::size_t most_stored = job.record.placements.most;
  if (stored_quota_.may_write(job)) return job.recorded_count() >= most_stored || add_record(job);
  return durable_count(job) >= most_stored || add_record_without_new_placements(job);
}

bool RecordBatchBuilder::add_record(Job& job) {
  const auto result = add_entry(job, make_entry(job));
  if (result == RecordBatch::AddResult::added) {
    job.record.dirty = false;
    job.record.dirty_since = 0;
  }
  return result != RecordBatch::AddResult::batch_full;
}

bool RecordBatchBuilder::add_record_without_new_placements(Job& job) {
  Job reduced = job;
  std::erase_if(reduced.placements, [](const sched::Placement& placement) {
    return placement.is_recorded() && !placement.durable();
  });
  return add_entry(job, make_entry(reduced)) != RecordBatch::AddResult::batch_full;
}

RecordBatch::AddResult RecordBatchBuilder::add_entry(Job& job, BatchEntry entry) {
  const std::size_t bytes = request_bytes(entry);
  const std::size_t placements = entry.live.size();
  const auto result = batch_.add(std::move(entry));
  if (result == RecordBatch::AddResult::added) {
    stored_quota_.add(job, placements);
    added_.insert(&job);
  }
  if (result == RecordBatch::AddResult::too_large && !std::exchange(job.record.too_large, true)) {
    // Skipped and logged once: a record that fits no batch must not block all other writes.
    base::log_error("record too large", base::field("job", job.spec.id),
                    base::field("bytes", bytes));
  }
  return result;
}

BatchEntry RecordBatchBuilder::make_entry(const Job& job) const {
  if (!has_ended(job)) return make_record_entry(job, context_.services.store.max_value_bytes());
  return make_outcome_entry(job, outcome_of(job), context_.services.store.max_mutations());
}

JobOutcome RecordBatchBuilder::outcome_of(const Job& job) const {
  JobOutcome outcome;
  outcome.state = job.cancelled() ? wire::JobState::cancelled : wire::JobState::done;
  outcome.tasks = job.done.size();
  // Stored only for dependents: their waiting time starts at this time.
  const bool has_dependents = context_.cluster.dependencies().has_dependents(job.spec.id);
  if (has_dependents) outcome.ended_ms = context_.services.reactor.wall_ms();
  return outcome;
}

}  // namespace cranklock::control
