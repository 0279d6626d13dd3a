#include "control/record_batch.hpp"

#include <algorithm>

#include "control/job_record.hpp"
#include "control/record_keys.hpp"

namespace cranklock::control {

using sched::Job;
using wire::Mutation;

namespace {

/// Maximum size of a request, with a margin below the limit of the key-value store.
constexpr std::size_t kMaxRequestBytes = std::size_t{60} * 1024;
constexpr std::size_t kEntryOverheadBytes = 100;    ///< encoded size of an entry's compare
constexpr std::size_t kMutationOverheadBytes = 40;  ///< field names and brackets of a mutation

Mutation put(std::string key, std::string value) {
  return {std::move(key), std::move(value), 0};
}

Mutation remove(std::string key) {
  return {std::move(key), "", 0};
}

BatchEntry begin_entry(const Job& job) {
  BatchEntry entry;
  entry.job_id = job.spec.id;
  entry.revision = job.record.revision;
  for (const auto& placement : job.placements) {
    auto& attempts = placement.ended         ? entry.ended
                     : placement.abandoned() ? entry.abandoned
                                             : entry.live;
    attempts.push_back(placement.key());
  }
  return entry;
}

std::size_t longest_value(const BatchEntry& entry) {
  std::size_t longest = 0;
  for (const auto& mutation : entry.mutations) longest = std::max(longest, mutation.data.size());
  return longest;
}

}  // namespace

std::size_t request_bytes(const BatchEntry& entry) {
  std::size_t bytes = kEntryOverheadBytes;
  for (const auto& mutation : entry.mutations) {
    bytes += mutation.data.size() + mutation.key.size() + kMutationOverheadBytes;
  }
  return bytes;
}

BatchEntry make_record_entry(const Job& job, std::size_t max_value_bytes) {
  BatchEntry entry = begin_entry(job);
  auto values = write_record(job, max_value_bytes);
  entry.parts = static_cast<int>(values.size()) - 1;
  entry.mutations.push_back(put(job_key(entry.job_id), std::move(values[0])));
  for (int part = 0; part < std::max(entry.parts, job.record.parts); ++part) {
    auto key = part_key(entry.job_id, part);
    entry.mutations.push_back(
        part < entry.parts
            ? put(std::move(key), std::move(values[static_cast<std::size_t>(part) + 1]))
            : remove(std::move(key)));
  }
  return entry;
}

BatchEntry make_outcome_entry(const Job& job, const JobOutcome& outcome,
                              std::size_t max_mutations) {
  BatchEntry entry = begin_entry(job);
  entry.is_outcome = true;
  entry.outcome = outcome;
  entry.mutations.push_back(remove(job_key(entry.job_id)));
  entry.mutations.push_back(put(outcome_key(entry.job_id), write_outcome(outcome)));
  for (int part = 0; part < job.record.parts; ++part) {
    auto key = part_key(entry.job_id, part);
    if (entry.mutations.size() < max_mutations) {
      entry.mutations.push_back(remove(std::move(key)));
    } else {
      entry.remaining_parts.push_back(std::move(key));
    }
  }
  return entry;
}

RecordBatch::RecordBatch(std::uint64_t fencing_token, BatchLimits limits) : limits_(limits) {
  compares_.push_back({kLeaderKey, fencing_token});
}

RecordBatch::AddResult RecordBatch::add(BatchEntry entry) {
  // A specification accepted under larger limits may by itself exceed the value limit.
  if (longest_value(entry) > limits_.value_bytes) return AddResult::too_large;
  const std::size_t bytes = request_bytes(entry);
  if (mutations_.size() + entry.mutations.size() > limits_.mutations ||
      bytes_ + bytes > kMaxRequestBytes) {
    return entries_.empty() ? AddResult::too_large : AddResult::batch_full;
  }
  bytes_ += bytes;
  compares_.push_back({job_key(entry.job_id), entry.revision});
  for (auto& mutation : entry.mutations) mutations_.push_back(std::move(mutation));
  entry.mutations.clear();
  entries_.push_back(std::move(entry));
  return AddResult::added;
}

void RecordBatch::remove_stale_parts(std::deque<std::string>& stale_parts) {
  while (!stale_parts.empty() && mutations_.size() < limits_.mutations) {
    mutations_.push_back(remove(stale_parts.front()));
    stale_parts_.push_back(std::move(stale_parts.front()));
    stale_parts.pop_front();
  }
}

}  // namespace cranklock::control
