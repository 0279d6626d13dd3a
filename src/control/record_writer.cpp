#include "control/record_writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <utility>

#include "control/record_keys.hpp"
#include "control/services.hpp"

namespace cranklock::control {

using net::Task;
using sched::Job;
using store::Status;

namespace {
constexpr double kDoneLag = 3;  ///< seconds; users expect `done` so soon after the last task
constexpr std::size_t kTxnBytes = std::size_t{60} * 1024;
}  // namespace

RecordWriter::RecordWriter(net::Reactor& reactor, const base::Settings& settings,
                           store::Client& store, sched::ClusterState& cluster,
                           RecordReloader& reloader, std::uint64_t fencing_token)
    : reactor_(reactor),
      settings_(settings),
      store_(store),
      cluster_(cluster),
      reloader_(reloader),
      fencing_token_(fencing_token) {}

struct RecordWriter::Batch {
  struct Entry {
    std::string id;
    std::uint64_t revision;
    bool terminate;
    int parts;
    JobOutcome outcome;                   ///< of one that is retired
    std::vector<std::string> left_parts;  ///< of one that is retired, for which there was no room
    std::vector<std::pair<std::uint32_t, std::uint64_t>> live, ended, abandoned;
  };
  std::vector<wire::Compare> compares;
  std::vector<wire::Mutation> mutations;
  std::vector<Entry> entries;
  std::vector<std::string> stale_parts;  ///< of jobs that are over, removed by the way
  std::size_t bytes = 0;
  bool full = false;
};

// Moves a job to its outcome. Guards against a record of more parts than a transaction removes, as
// one stored before the limits fell: what is left is never read again and goes by and by.
std::vector<wire::Mutation> RecordWriter::retiring_changes(
    const Job& job, const JobOutcome& outcome, std::vector<std::string>& left_parts) const {
  const auto& id = job.spec.id;
  std::vector<wire::Mutation> mutations{{job_key(id), "", 0},
                                        {outcome_key(id), write_outcome(outcome), 0}};
  for (int i = 0; i < job.stored_parts; ++i) {
    if (mutations.size() < store_.txn_changes()) {
      mutations.push_back({part_key(id, i), "", 0});
    } else {
      left_parts.push_back(part_key(id, i));
    }
  }
  return mutations;
}

void RecordWriter::add_stale_parts(Batch& batch) {
  while (!stale_parts_.empty() && batch.mutations.size() < store_.txn_changes()) {
    batch.mutations.push_back({stale_parts_.front(), "", 0});
    batch.stale_parts.push_back(std::move(stale_parts_.front()));
    stale_parts_.pop_front();
  }
}

void RecordWriter::add_to_batch(Job& job, Batch& batch) {
  const auto& id = job.spec.id;
  Batch::Entry entry{id, job.revision, false, 0, {}, {}, {}, {}, {}};
  std::vector<wire::Mutation> mutations;
  const bool over = job.cancelled() ? job.live() == 0 : job.complete();
  if (over) {
    entry.terminate = true;
    entry.outcome.state = job.cancelled() ? wire::JobState::cancelled : wire::JobState::done;
    entry.outcome.tasks = job.done.size();
    // Kept only for those that wait for it, whose own times count from here.
    const bool has_dependents = cluster_.dependencies().has_dependents(id);
    if (has_dependents) entry.outcome.ended_ms = reactor_.wall_ms();
    mutations = retiring_changes(job, entry.outcome, entry.left_parts);
  } else {
    auto texts = write_record(job, store_.value_bytes());
    entry.parts = static_cast<int>(texts.size()) - 1;
    mutations.push_back({job_key(id), std::move(texts[0]), 0});
    for (int i = 0; i < std::max(entry.parts, job.stored_parts); ++i) {
      mutations.push_back({part_key(id, i),
                           i < entry.parts ? std::move(texts[static_cast<std::size_t>(i) + 1]) : "",
                           0});
    }
  }
  std::size_t bytes = 100, longest = 0;
  for (const auto& c : mutations) {
    bytes += c.data.size() + c.key.size() + 40;
    longest = std::max(longest, c.data.size());
  }
  const bool too_long = longest > store_.value_bytes();  // a description as it was stored
  if (too_long || batch.mutations.size() + mutations.size() > store_.txn_changes() ||
      batch.bytes + bytes > kTxnBytes) {
    // Guards against one record that fits no transaction, which must not hold up all others.
    batch.full = !too_long && !batch.entries.empty();
    if (!batch.full && !std::exchange(job.too_long, true)) {
      spdlog::error("the record of job {} fits no transaction: {} bytes", id, bytes);
    }
    return;
  }
  for (const auto& p : job.placements) {
    auto& list = p.ended ? entry.ended : p.abandoned ? entry.abandoned : entry.live;
    list.emplace_back(p.task, p.attempt);
  }
  batch.bytes += bytes;
  batch.compares.push_back({job_key(id), job.revision});
  for (auto& c : mutations) batch.mutations.push_back(std::move(c));
  batch.entries.push_back(std::move(entry));
  job.dirty = false;
  job.dirty_since = 0;
}

namespace {
/// How soon a record should be written.
enum class WriteClass {
  overdue,  ///< has waited for as long as it may
  starts,   ///< tasks of it, or of jobs that need it, can start only afterwards
  rest,
};

bool has_unwritten_starts(const Job& job) {
  return std::any_of(job.placements.begin(), job.placements.end(),
                     [](const sched::Placement& p) { return !p.durable && !p.ended; });
}

/// Overdue records and starts in turn, so that neither waits for all of the other, then the rest.
std::vector<Job*> interleave(const std::map<WriteClass, std::vector<Job*>>& classes) {
  const auto of = [&](WriteClass write_class) {
    const auto it = classes.find(write_class);
    return it == classes.end() ? std::vector<Job*>() : it->second;
  };
  const auto overdue = of(WriteClass::overdue), starts = of(WriteClass::starts);
  std::vector<Job*> out;
  for (std::size_t i = 0; i < std::max(overdue.size(), starts.size()); ++i) {
    if (i < overdue.size()) out.push_back(overdue[i]);
    if (i < starts.size()) out.push_back(starts[i]);
  }
  const auto rest = of(WriteClass::rest);
  out.insert(out.end(), rest.begin(), rest.end());
  return out;
}
}  // namespace

// The records to write, most urgent first. Guards against ends that wait behind starts for ever: a
// job may be called done late, but not by more than kDoneLag. Users are told of a cancellation as
// soon as it is confirmed, or found in a job that this one needs; the record of a cancelled job
// without tasks has more time, so that hundreds cancelled at once hold up nothing else.
std::vector<Job*> RecordWriter::jobs_to_write() {
  const double at = now();
  std::map<WriteClass, std::vector<Job*>> classes;
  for (auto& [id, job] : cluster_.jobs()) {
    const bool gone = job.cancelled() && job.live() == 0;
    if (gone) job.dirty = true;
    if (!job.dirty || reloader_.is_requested(id)) continue;
    if (job.dirty_since == 0) job.dirty_since = at;
    const double patience = gone ? settings_.cancel_s / 4 : kDoneLag / 3;
    const bool awaited = !gone && job.complete() && cluster_.dependencies().has_dependents(id);
    WriteClass write_class = WriteClass::rest;
    if (has_unwritten_starts(job) || awaited) write_class = WriteClass::starts;
    if (at - job.dirty_since > patience) write_class = WriteClass::overdue;
    classes[write_class].push_back(&job);
  }
  auto& overdue = classes[WriteClass::overdue];
  std::stable_sort(overdue.begin(), overdue.end(),
                   [](const Job* a, const Job* b) { return a->dirty_since < b->dirty_since; });
  return interleave(classes);
}

RecordWriter::Batch RecordWriter::next_batch() {
  Batch batch;
  batch.compares.push_back({kLeaderKey, fencing_token_});
  for (Job* job : jobs_to_write()) {
    if (batch.full) break;
    add_to_batch(*job, batch);
  }
  add_stale_parts(batch);
  return batch;
}

Task<RecordWriter::Written> RecordWriter::write_next() {
  if (now() < write_after_) co_return Written::nothing;
  Batch batch = next_batch();
  if (batch.mutations.empty()) co_return Written::nothing;
  auto writing = store_.compare_and_swap(batch.compares, batch.mutations, kStoreTimeout);
  const auto result = co_await writing;
  if (result.status == Status::ok) {
    apply_stored(batch, result.revision);
    co_return Written::stored;
  }
  const auto& failed = result.failed;
  if (result.status == Status::failed &&
      std::find(failed.begin(), failed.end(), kLeaderKey) != failed.end()) {
    co_return Written::leadership_lost;
  }
  apply_not_stored(batch, result);
  co_return Written::unresolved;
}

// What was refused, or failed for another record's sake, is written again as it then stands. So is
// what was not answered: it may be carried out late, but conditions let only one of the two
// through. Guards against room that is given to others meanwhile: were what is stored now taken for
// the last word, a team would be beyond its limit when the late write makes its placements good.
void RecordWriter::apply_not_stored(const Batch& batch, const store::CompareAndSwapResult& result) {
  stale_parts_.insert(stale_parts_.end(), batch.stale_parts.begin(), batch.stale_parts.end());
  for (const auto& entry : batch.entries) {
    const auto& failed = result.failed;
    const bool changed = result.status == Status::failed &&
                         (failed.empty() || std::find(failed.begin(), failed.end(),
                                                      job_key(entry.id)) != failed.end());
    if (changed) {
      reloader_.request(entry.id);
      continue;
    }
    Job* job = cluster_.job(entry.id);
    if (job == nullptr) continue;
    job->dirty = true;
    if (result.status != Status::unknown) continue;
    for (const auto& [task, attempt] : entry.live) {
      auto* p = job->find(task, attempt);
      if (p != nullptr && !p->durable && !p->ended) p->write_unresolved = true;
    }
  }
  if (result.status != Status::failed) write_after_ = now() + settings_.heartbeat_interval_s / 8;
}

void RecordWriter::apply_stored(Batch& batch, std::uint64_t revision) {
  for (auto& entry : batch.entries) {
    Job* job = cluster_.job(entry.id);
    if (job == nullptr) continue;
    if (entry.terminate) {
      stale_parts_.insert(stale_parts_.end(), entry.left_parts.begin(), entry.left_parts.end());
      note_retired(entry.id, entry.outcome);
      continue;
    }
    job->revision = revision;
    job->stored_parts = entry.parts;
    for (const auto& [task, attempt] : entry.live) {
      auto* p = job->find(task, attempt);
      if (p == nullptr) continue;
      p->durable = true;
      if (p->write_unresolved && p->abandoned) {  // since it was sent
        cluster_.resolve_abandoned(*job, *p, now());
        job->dirty = true;
      }
      p->write_unresolved = false;
    }
    for (const auto& which : entry.abandoned) {
      auto* p = job->find(which.first, which.second);
      if (p == nullptr) continue;
      cluster_.resolve_abandoned(*job, *p, now());
      entry.ended.push_back(which);
    }
    cluster_.forget_ended(*job, entry.ended);
  }
}

// The write was answered: it is the outcome's proof for the jobs that need this one.
void RecordWriter::note_retired(const std::string& id, const JobOutcome& outcome) {
  const Job& job = *cluster_.job(id);
  const bool done = outcome.state == wire::JobState::done;
  spdlog::info("job {} ended: {}", id, done ? "done" : "cancelled");
  sched::Dependencies::Outcome known;
  if (done) {
    known.resolution = sched::Dependencies::Resolution::done;
    known.at_ms = outcome.ended_ms;
    dependency_done_ = dependency_done_ || cluster_.dependencies().has_dependents(id);
  } else {
    known.resolution = sched::Dependencies::Resolution::cancelled;
    known.at_ms = job.cancelled_at_ms;
    known.since = job.cancelled_since;
  }
  cluster_.remove_job(id);
  cluster_.record_outcome(id, known);
}

}  // namespace cranklock::control
