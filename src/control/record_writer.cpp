#include "control/record_writer.hpp"

#include <algorithm>
#include <string_view>
#include <vector>

#include "base/event_log.hpp"
#include "control/record_batch_builder.hpp"
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

/// Whether the write failed because this job's record has another revision than expected. A failure
/// that names no key counts for every record of the write.
bool record_has_changed(const store::CompareAndSwapResult& result, const std::string& job_id) {
  return result.status == Status::precondition_failed &&
         (result.failed_keys.empty() || contains(result.failed_keys, job_key(job_id)));
}

}  // namespace

RecordWriter::RecordWriter(LeaderContext& context, RecordReloader& reloader)
    : context_(context), reloader_(reloader) {}

Task<RecordWriter::WriteResult> RecordWriter::write_next_batch() {
  if (now() < retry_at_) co_return WriteResult::nothing_to_write;
  const RecordBatch batch = next_batch();
  if (batch.empty()) co_return WriteResult::nothing_to_write;
  auto writing =
      context_.services.store.compare_and_swap(batch.compares(), batch.mutations(), kStoreTimeoutS);
  const auto result = co_await writing;
  if (result.status == Status::ok) {
    context_.cluster.record_leader_write(result.revision);
    apply_stored(batch, result.revision);
    co_return WriteResult::stored;
  }
  if (result.status == Status::precondition_failed && contains(result.failed_keys, kLeaderKey)) {
    co_return WriteResult::leadership_lost;
  }
  if (result.status == Status::indeterminate) ++context_.counters.unanswered_writes;
  handle_failed_write(batch, result);
  co_return WriteResult::unresolved;
}

RecordBatch RecordWriter::next_batch() {
  RecordBatch batch(context_.lease.fencing_token(), {context_.services.store.max_value_bytes(),
                                                     context_.services.store.max_mutations()});
  const auto is_reloading = [&](const std::string& id) { return reloader_.is_requested(id); };
  const auto jobs =
      order_writes(context_.cluster, {now(), context_.services.settings.cancel_s, is_reloading});
  RecordBatchBuilder(context_, jobs, batch).add_records();
  batch.remove_stale_parts(stale_parts_);
  return batch;
}

// ---- failed and unanswered writes ----

// Marks records for another write if the write was rejected, failed because of another record or
// was unanswered. An unanswered write may still be applied later; the revision conditions let only
// one of the two writes succeed. A read between the writes does not prove that the first one has
// failed: if it were taken as proof, the resources would be given to other jobs, and the team would
// exceed its limit once the late write made its placements durable.
void RecordWriter::handle_failed_write(const RecordBatch& batch,
                                       const store::CompareAndSwapResult& result) {
  stale_parts_.insert(stale_parts_.end(), batch.stale_parts().begin(), batch.stale_parts().end());
  for (const auto& entry : batch.entries()) handle_failed_entry(entry, result);
  if (result.status != Status::precondition_failed)
    retry_at_ = now() + context_.services.settings.heartbeat_interval_s / 8;
}

void RecordWriter::handle_failed_entry(const BatchEntry& entry,
                                       const store::CompareAndSwapResult& result) {
  if (record_has_changed(result, entry.job_id)) {
    reloader_.request(entry.job_id);
    return;
  }
  Job* job = context_.cluster.job(entry.job_id);
  if (job == nullptr) return;
  job->record.dirty = true;
  if (result.status != Status::indeterminate) return;
  job->record.placements.extend(entry.live.size());
  for (const auto& [task, attempt] : entry.live) {
    auto* placement = job->find(task, attempt);
    if (placement == nullptr || placement->ended) continue;
    // A placement that an earlier write left unresolved or abandoned keeps that state.
    if (placement->write == PlacementWrite::pending) placement->write = PlacementWrite::unresolved;
  }
}

// ---- successful writes ----

void RecordWriter::apply_stored(const RecordBatch& batch, std::uint64_t revision) {
  for (const auto& entry : batch.entries()) {
    Job* job = context_.cluster.job(entry.job_id);
    if (job == nullptr) continue;
    if (entry.is_outcome) {
      apply_outcome_stored(entry, *job);
    } else {
      apply_record_stored(entry, *job, revision);
    }
  }
}

void RecordWriter::apply_record_stored(const BatchEntry& entry, Job& job, std::uint64_t revision) {
  job.record.revision = revision;
  job.record.parts = entry.parts;
  job.record.placements.set(entry.live.size());
  for (const auto& [task, attempt] : entry.live) {
    auto* placement = job.find(task, attempt);
    if (placement == nullptr) continue;
    if (placement->abandoned()) {  // it was abandoned after the write was sent
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
  // The record was written without the other placements, so no earlier write can still add them.
  for (auto& placement : job.placements) {
    if (placement.write == PlacementWrite::unresolved) placement.write = PlacementWrite::pending;
  }
}

// Dependents may rely on the outcome only now that its write was confirmed (invariant 14).
void RecordWriter::apply_outcome_stored(const BatchEntry& entry, const Job& job) {
  stale_parts_.insert(stale_parts_.end(), entry.remaining_parts.begin(),
                      entry.remaining_parts.end());
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
