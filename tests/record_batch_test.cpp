// Contents and limits of record batches.
#include "control/record_batch.hpp"

#include <gtest/gtest.h>

#include "control/record_keys.hpp"
#include "fixtures.hpp"

namespace cranklock::control {
namespace {

using AddResult = RecordBatch::AddResult;

constexpr std::uint64_t kLeaderRevision = 41;
constexpr BatchLimits kLimits{8192, 4};

sched::Job stored_job(const std::string& id, std::uint64_t revision, int stored_parts = 0) {
  auto job = testing::make_job(id, wire::JobKind::job_array, 4, 1);
  job.record.revision = revision;
  job.record.parts = stored_parts;
  return job;
}

std::vector<std::string> keys_of(const std::vector<wire::Mutation>& mutations) {
  std::vector<std::string> keys;
  keys.reserve(mutations.size());
  for (const auto& mutation : mutations) keys.push_back(mutation.key);
  return keys;
}

TEST(RecordBatch, IsConditionalOnTheLeaderKeyAndOnEachRecord) {
  RecordBatch batch(kLeaderRevision, kLimits);
  EXPECT_TRUE(batch.empty());
  for (const auto& job : {stored_job("j-000001", 7), stored_job("j-000002", 9)}) {
    ASSERT_EQ(batch.add(make_record_entry(job, kLimits.value_bytes)), AddResult::added);
  }
  ASSERT_EQ(batch.compares().size(), 3U);
  EXPECT_EQ(batch.compares()[0].key, kLeaderKey);
  EXPECT_EQ(batch.compares()[0].revision, kLeaderRevision);
  EXPECT_EQ(batch.compares()[1].key, "jobs/j-000001");
  EXPECT_EQ(batch.compares()[1].revision, 7U);
  EXPECT_EQ(batch.compares()[2].key, "jobs/j-000002");
  EXPECT_EQ(batch.compares()[2].revision, 9U);
  EXPECT_EQ(keys_of(batch.mutations()),
            (std::vector<std::string>{"jobs/j-000001", "jobs/j-000002"}));
}

TEST(RecordBatch, IsFullWhenAnEntryExceedsTheMutationLimit) {
  RecordBatch batch(kLeaderRevision, kLimits);
  const auto shrinking_job = stored_job("j-000001", 7, 2);  // two parts to remove
  ASSERT_EQ(batch.add(make_record_entry(shrinking_job, kLimits.value_bytes)), AddResult::added);
  const auto other_job = stored_job("j-000002", 9, 1);
  EXPECT_EQ(batch.add(make_record_entry(other_job, kLimits.value_bytes)), AddResult::batch_full);
  EXPECT_EQ(batch.entries().size(), 1U);
}

// A record that fits no batch must not be reported as a full batch, which would block all others.
TEST(RecordBatch, AnEntryBeyondTheLimitsOfABatchIsTooLarge) {
  RecordBatch batch(kLeaderRevision, kLimits);
  const auto many_parts = stored_job("j-000001", 7, 4);
  EXPECT_EQ(batch.add(make_record_entry(many_parts, kLimits.value_bytes)), AddResult::too_large);
  ASSERT_EQ(batch.add(make_record_entry(stored_job("j-000002", 9), kLimits.value_bytes)),
            AddResult::added);
  auto long_specification = stored_job("j-000003", 11);
  long_specification.spec.image = std::string(kLimits.value_bytes, 'x');
  EXPECT_EQ(batch.add(make_record_entry(long_specification, kLimits.value_bytes)),
            AddResult::too_large);
}

TEST(RecordBatch, AnOutcomeReplacesTheRecordAndListsPartsBeyondTheMutationLimit) {
  const auto job = stored_job("j-000001", 7, 3);
  const auto entry = make_outcome_entry(job, {wire::JobState::done, 4, 0}, kLimits.mutations);
  EXPECT_TRUE(entry.is_outcome);
  EXPECT_EQ(keys_of(entry.mutations),
            (std::vector<std::string>{"jobs/j-000001", "ended/j-000001", "parts/j-000001/0",
                                      "parts/j-000001/1"}));
  EXPECT_EQ(entry.mutations[0].data, "");
  EXPECT_EQ(entry.mutations[1].data, R"({"s":"done","n":4})");
  EXPECT_EQ(entry.remaining_parts, std::vector<std::string>{"parts/j-000001/2"});
}

TEST(RecordBatch, RemovesStalePartsUpToTheMutationLimit) {
  RecordBatch batch(kLeaderRevision, kLimits);
  ASSERT_EQ(batch.add(make_record_entry(stored_job("j-000001", 7), kLimits.value_bytes)),
            AddResult::added);
  std::deque<std::string> stale_parts{"parts/j-000009/0", "parts/j-000009/1", "parts/j-000009/2",
                                      "parts/j-000009/3"};
  batch.remove_stale_parts(stale_parts);
  EXPECT_EQ(batch.mutations().size(), kLimits.mutations);
  EXPECT_EQ(batch.stale_parts().size(), 3U);
  EXPECT_EQ(stale_parts, std::deque<std::string>{"parts/j-000009/3"});
}

TEST(RecordBatch, AnEntryGroupsPlacementsByTheirStateInTheRecord) {
  auto job = stored_job("j-000001", 7);
  for (std::uint32_t task = 0; task < 3; ++task) {
    sched::Placement placement;
    placement.task = task;
    placement.attempt = task + 10;
    placement.machine = "n-1";
    job.placements.push_back(placement);
  }
  job.placements[1].ended = true;
  job.placements[2].write = sched::PlacementWrite::abandoned;
  const auto entry = make_record_entry(job, kLimits.value_bytes);
  using Attempts = std::vector<sched::PlacementKey>;
  EXPECT_EQ(entry.live, (Attempts{{0, 10}}));
  EXPECT_EQ(entry.ended, (Attempts{{1, 11}}));
  EXPECT_EQ(entry.abandoned, (Attempts{{2, 12}}));
}

}  // namespace
}  // namespace cranklock::control
