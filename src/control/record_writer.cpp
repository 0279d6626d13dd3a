#include "control/record_writer.hpp"

#include <algorithm>
#include <string_view>
#include <vector>

#include "base/event_log.hpp"
#include "control/record_keys.hpp"
#include "control/services.hpp"
#include "control/write_order.hpp"

namespace cranklock::control {

using net::Task;
using sched::Job;
using sched::PlacementWrite;
using store::Status;

namespace {

bool contains(const std::vector<std::string>& keys, std::string_view key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

/// Whether the write failed because this job's record is not the one that it was to replace. A
/// failure that names no key counts for each.
bool record_has_changed(const store::CompareAndSwapResult& result, const std::string& job_id) {
  return result.status == Status::precondition_failed &&
         (result.failed_keys.empty() || contains(result.failed_keys, job_key(job_id)));
}

/// No placement of the job can be on a machine any more, and none is still to come.
bool is_over(const Job& job) {
  return job.cancelled() ? job.live_count() == 0 : job.complete();
}

}  // namespace

RecordWriter::RecordWriter(LeaderContext& context, RecordReloader& reloader)
    : context_(context), reloader_(reloader) {}

Task<RecordWriter::Written> RecordWriter::write_next() {
  if (now() < retry_at_) co_return Written::nothing;
  const RecordBatch batch = next_batch();
  if (batch.empty()) co_return Written::nothing;
  auto writing =
      context_.services.store.compare_and_swap(batch.compares(), batch.mutations(), kStoreTimeout);
  const auto result = co_await writing;
  if (result.status == Status::ok) {
    apply_stored(batch, result.revision);
    co_return Written::stored;
  }
  if (result.status == Status::precondition_failed && contains(result.failed_keys, kLeaderKey)) {
    co_return Written::leadership_lost;
  }
  apply_not_stored(batch, result);
  co_return Written::unresolved;
}

// ---- what is written ----

RecordBatch RecordWriter::next_batch() {
  RecordBatch batch(context_.lease.fencing_token(), {context_.services.store.max_value_bytes(),
                                                     context_.services.store.max_mutations()});
  const auto is_reloading = [&](const std::string& id) { return reloader_.is_requested(id); };
  for (Job* job :
       order_writes(context_.cluster, {now(), context_.services.settings.cancel_s, is_reloading})) {
    BatchEntry entry = make_entry(*job);
    const std::size_t bytes = request_bytes(entry);
    const auto result = batch.add(std::move(entry));
    if (result == RecordBatch::AddResult::batch_full) break;
    if (result == RecordBatch::AddResult::added) {
      job->record.dirty = false;
      job->record.dirty_since = 0;
    } else if (!std::exchange(job->record.too_large, true)) {
      // Guards against one record that fits nowhere, which must not hold up all others.
      base::log_error("record too large", base::field("job", job->spec.id),
                      base::field("bytes", bytes));
    }
  }
  batch.remove_stale_parts(stale_parts_);
  return batch;
}

BatchEntry RecordWriter::make_entry(const Job& job) const {
  if (!is_over(job)) return make_record_entry(job, context_.services.store.max_value_bytes());
  return make_outcome_entry(job, outcome_of(job), context_.services.store.max_mutations());
}

JobOutcome RecordWriter::outcome_of(const Job& job) const {
  JobOutcome outcome;
  outcome.state = job.cancelled() ? wire::JobState::cancelled : wire::JobState::done;
  outcome.tasks = job.done.size();
  // Kept only for dependents, whose own times count from here.
  const bool has_dependents = context_.cluster.dependencies().has_dependents(job.spec.id);
  if (has_dependents) outcome.ended_ms = context_.services.reactor.wall_ms();
  return outcome;
}

// ---- a write that was not carried out, or not answered ----

// What was refused, or failed for another record's sake, is written again as it then stands. So is
// what was not answered: it may be carried out late, but conditions let only one of the two
// through. Guards against resources that are given to others meanwhile: were what is stored now
// taken for the last word, a team would exceed its limit when the late write makes its placements
// good.
void RecordWriter::apply_not_stored(const RecordBatch& batch,
                                    const store::CompareAndSwapResult& result) {
  stale_parts_.insert(stale_parts_.end(), batch.stale_parts().begin(), batch.stale_parts().end());
  for (const auto& entry : batch.entries()) apply_entry_not_stored(entry, result);
  if (result.status != Status::precondition_failed)
    retry_at_ = now() + context_.services.settings.heartbeat_interval_s / 8;
}

void RecordWriter::apply_entry_not_stored(const BatchEntry& entry,
                                          const store::CompareAndSwapResult& result) {
  if (record_has_changed(result, entry.job_id)) {
    reloader_.request(entry.job_id);
    return;
  }
  Job* job = context_.cluster.job(entry.job_id);
  if (job == nullptr) return;
  job->record.dirty = true;
  if (result.status != Status::indeterminate) return;
  for (const auto& [task, attempt] : entry.live) {
    auto* placement = job->find(task, attempt);
    if (placement == nullptr || placement->ended) continue;
    // One that is unresolved or abandoned by an earlier write stays so.
    if (placement->write == PlacementWrite::pending) placement->write = PlacementWrite::unresolved;
  }
}

// ---- a write that was carried out ----

void RecordWriter::apply_stored(const RecordBatch& batch, std::uint64_t revision) {
  for (const auto& entry : batch.entries()) {
    Job* job = context_.cluster.job(entry.job_id);
    if (job == nullptr) continue;
    if (entry.retires_job) {
      apply_outcome_stored(entry, *job);
    } else {
      apply_record_stored(entry, *job, revision);
    }
  }
}

void RecordWriter::apply_record_stored(const BatchEntry& entry, Job& job, std::uint64_t revision) {
  job.record.revision = revision;
  job.record.parts = entry.parts;
  for (const auto& [task, attempt] : entry.live) {
    auto* placement = job.find(task, attempt);
    if (placement == nullptr) continue;
    if (placement->abandoned()) {  // since the write was sent
      context_.cluster.resolve_abandoned(job, *placement, now());
      job.record.dirty = true;
    }
    placement->write = PlacementWrite::durable;
  }
  auto ended = entry.ended;
  for (const auto& abandoned : entry.abandoned) {
    auto* placement = job.find(abandoned.task, abandoned.attempt);
    if (placement == nullptr) continue;
    context_.cluster.resolve_abandoned(job, *placement, now());
    ended.push_back(abandoned);
  }
  context_.cluster.erase_ended(job, ended);
}

// The write was answered: it is the outcome's proof for dependents (invariant 14).
void RecordWriter::apply_outcome_stored(const BatchEntry& entry, const Job& job) {
  stale_parts_.insert(stale_parts_.end(), entry.left_parts.begin(), entry.left_parts.end());
  const bool done = entry.outcome.state == wire::JobState::done;
  base::log_info("job ended", base::field("job", entry.job_id),
                 base::field("outcome", done ? "done" : "cancelled"));
  sched::Dependencies::Outcome known;
  if (done) {
    known.resolution = sched::Dependencies::Resolution::done;
    known.at_ms = entry.outcome.ended_ms;
    if (context_.cluster.dependencies().has_dependents(entry.job_id)) dependency_done_ = true;
  } else {
    known.resolution = sched::Dependencies::Resolution::cancelled;
    known.at_ms = job.cancelled_at_ms;
    known.since = job.cancelled_since;
  }
  context_.cluster.remove_job(entry.job_id);
  context_.cluster.record_outcome(entry.job_id, known);
}

}  // namespace cranklock::control
