// What a leader knows of the stored records while its writes are unanswered.
#include "control/record_writer.hpp"

#include <gtest/gtest.h>

#include <string>

#include "control/job_record.hpp"
#include "control/record_keys.hpp"
#include "leader_part.hpp"

namespace cranklock::control {
namespace {

using sched::EndProof;
using sched::Job;
using sched::PlacementWrite;
using WriteResult = RecordWriter::WriteResult;

class RecordWriterTest : public testing::LeaderPartTest {
 protected:
  RecordWriterTest() { stand_in_.values[kLeaderKey] = {"{}", testing::kFencingToken, 0}; }

  /// A stored job with this many tasks of four GPUs. The team's limit is 16.
  Job& add_job(const std::string& id, std::uint32_t tasks = 2) {
    Job job = make_service(id);
    job.spec.tasks = tasks;
    job.spec.resources = {4, 4, 32};
    store_job(job);
    Job& held = cluster_.upsert_job(std::move(job), reactor_.now());
    held.record.revision = stand_in_.values.at(job_key(id)).revision;
    return held;
  }
  void place(Job& job, std::uint32_t task, std::uint64_t attempt) {
    cluster_.add_placement(job, task, attempt, "n-1", reactor_.now());
  }
  void end(Job& job, std::size_t placement) {
    cluster_.end_placement(job, job.placements.at(placement), EndProof::not_reported,
                           reactor_.now());
  }
  WriteResult write_batch() {
    const auto result = await(writer_.write_next_batch());
    run(settings_.heartbeat_interval_s);  // until writes are retried
    return result;
  }
  WriteResult write_batch_unanswered() {
    transport_.is_unanswered = true;
    const auto result = write_batch();
    transport_.is_unanswered = false;
    return result;
  }
  std::size_t stored_placements(const std::string& id) const {
    return read_record(stand_in_.values.at(job_key(id)).data)->placements.size();
  }

  RecordReloader reloader_{
      context_, [this](Job job) { cluster_.upsert_job(std::move(job), reactor_.now()); }};
  RecordWriter writer_{context_, reloader_};
};

TEST_F(RecordWriterTest, AnUnansweredWriteMayOrMayNotBeStored) {
  Job& job = add_job(kJob);
  place(job, 0, 1);
  EXPECT_EQ(write_batch_unanswered(), WriteResult::unresolved);
  EXPECT_EQ(job.record.placements.least, 0U);
  EXPECT_EQ(job.record.placements.most, 1U);
  EXPECT_EQ(counters_.unanswered_writes, 1U);
  EXPECT_EQ(write_batch(), WriteResult::stored);
  EXPECT_EQ(job.record.placements.least, 1U);
  EXPECT_EQ(job.record.placements.most, 1U);
  EXPECT_TRUE(job.placements.front().durable());
}

// Guards against a late write that adds to quota which other jobs have taken.
TEST_F(RecordWriterTest, WhatAnUnansweredWriteMayHaveStoredCountsForOtherJobs) {
  Job& released = add_job("j-000001", 1);
  Job& unanswered = add_job("j-000002", 3);
  Job& waiting = add_job("j-000003", 1);
  place(released, 0, 1);
  ASSERT_EQ(write_batch(), WriteResult::stored);
  for (std::uint32_t task = 0; task < 3; ++task) place(unanswered, task, 1);
  ASSERT_EQ(write_batch_unanswered(), WriteResult::unresolved);
  end(released, 0);
  place(waiting, 0, 1);
  reloader_.request("j-000001");
  reloader_.request("j-000002");  // neither can be written now
  EXPECT_EQ(write_batch(), WriteResult::nothing_to_write);
  EXPECT_EQ(counters_.writes_held_back, 1U);
  EXPECT_EQ(stored_placements("j-000003"), 0U);
}

TEST_F(RecordWriterTest, ANewPlacementThatWasLeftOutIsWrittenLater) {
  settings_.teams.front().gpus_max = 8;
  Job& first = add_job("j-000001");
  Job& second = add_job("j-000002", 1);
  place(first, 0, 1);
  place(second, 0, 1);
  ASSERT_EQ(write_batch(), WriteResult::stored);
  end(first, 0);
  ASSERT_EQ(write_batch_unanswered(), WriteResult::unresolved);  // the release of the first job
  end(second, 0);
  place(first, 0, 2);
  place(first, 1, 2);
  ASSERT_EQ(write_batch_unanswered(), WriteResult::unresolved);
  EXPECT_EQ(write_batch(), WriteResult::stored);
  EXPECT_EQ(stored_placements("j-000001"), 2U);
  EXPECT_EQ(stored_placements("j-000002"), 0U);
  EXPECT_TRUE(first.placements.back().durable());
}

TEST_F(RecordWriterTest, AnUnansweredPlacementIsPendingAgainAfterAWriteWithoutIt) {
  settings_.teams.front().gpus_max = 12;
  Job& first = add_job("j-000001");
  Job& second = add_job("j-000002");
  place(first, 0, 1);
  for (std::uint32_t task = 0; task < 2; ++task) place(second, task, 1);
  ASSERT_EQ(write_batch(), WriteResult::stored);
  end(first, 0);
  end(second, 0);
  for (std::uint32_t task = 0; task < 2; ++task) place(first, task, 2);
  ASSERT_EQ(write_batch_unanswered(), WriteResult::unresolved);
  ASSERT_EQ(first.placements.back().write, PlacementWrite::unresolved);
  reloader_.request("j-000002");  // its release can't be written now
  EXPECT_EQ(write_batch(), WriteResult::stored);
  EXPECT_EQ(stored_placements("j-000001"), 0U);
  EXPECT_EQ(first.placements.back().write, PlacementWrite::pending);
}

}  // namespace
}  // namespace cranklock::control
