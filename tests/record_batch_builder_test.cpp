// The order of records in a batch when placements rest on quota that other jobs have released.
#include "control/record_batch_builder.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "leader_part.hpp"

namespace cranklock::testing {
namespace {

using control::RecordBatch;
using control::RecordBatchBuilder;
using sched::Job;

/// A team at its limit of 16 GPUs. One of its jobs has ended, and another has taken its quota.
class RecordBatchBuilderTest : public LeaderPartTest {
 protected:
  static constexpr std::size_t kMaxValueBytes = 8192;

  RecordBatchBuilderTest()
      : small_(add_job("j-000001", 1)),
        released_(add_job("j-000002", 8)),
        waiting_(add_job("j-000003", 8)) {
    place(add_job("j-000000", 7), 1);
    place(small_, 1);
    place(released_, 1);
    for (auto& [id, job] : cluster_.jobs()) {
      for (auto& placement : job.placements) placement.write = sched::PlacementWrite::durable;
      job.record.placements.set(job.placements.size());
      job.record.dirty = false;
    }
    cluster_.end_placement(released_, released_.placements.front(), sched::EndProof::exit_reported,
                           2);
    place(waiting_, 1);
  }

  Job& add_job(const std::string& id, double gpus, const std::string& team = "red") {
    return cluster_.upsert_job(make_job(id, wire::JobKind::service, 1, gpus, team), 0);
  }
  void place(Job& job, std::uint64_t attempt) { cluster_.add_placement(job, 0, attempt, "n-1", 1); }
  std::vector<std::string> written_jobs(const std::vector<Job*>& jobs,
                                        std::size_t max_mutations = 24) {
    RecordBatch batch(kFencingToken, {kMaxValueBytes, max_mutations});
    RecordBatchBuilder(context_, jobs, batch).add_records();
    std::vector<std::string> ids;
    for (const auto& entry : batch.entries()) ids.push_back(entry.job_id);
    return ids;
  }

  Job& small_;
  Job& released_;
  Job& waiting_;
};

using Ids = std::vector<std::string>;

TEST_F(RecordBatchBuilderTest, AReleaseIsWrittenTogetherWithThePlacementThatRestsOnIt) {
  EXPECT_EQ(written_jobs({&waiting_, &released_}), (Ids{"j-000002", "j-000003"}));
  EXPECT_FALSE(released_.record.dirty);
  EXPECT_FALSE(waiting_.record.dirty);
}

TEST_F(RecordBatchBuilderTest, InAFullBatchTheReleaseGoesFirst) {
  EXPECT_EQ(written_jobs({&waiting_, &released_}, 1), (Ids{"j-000002"}));
  EXPECT_TRUE(waiting_.record.dirty);
}

TEST_F(RecordBatchBuilderTest, APlacementWaitsForAReleaseThatCannotBeWrittenAndDelaysNoOthers) {
  Job& other_team = add_job("j-000004", 8, "blue");
  place(other_team, 1);
  EXPECT_EQ(written_jobs({&waiting_, &other_team}), (Ids{"j-000004"}));
  EXPECT_TRUE(waiting_.record.dirty);
}

TEST_F(RecordBatchBuilderTest, OnlyTheReleasesThatAreNeededGoFirst) {
  cluster_.end_placement(small_, small_.placements.front(), sched::EndProof::exit_reported, 3);
  EXPECT_EQ(written_jobs({&waiting_, &released_, &small_}, 2), (Ids{"j-000002", "j-000003"}));
}

/// Jobs with tasks of one GPU in a team with a limit of six.
class UnansweredBatchTest : public LeaderPartTest {
 protected:
  UnansweredBatchTest() { settings_.teams.front().gpus_max = 6; }

  Job& add_job(const std::string& id, std::uint32_t tasks) {
    return cluster_.upsert_job(make_job(id, wire::JobKind::service, tasks, 1), 0);
  }
  void place(Job& job, std::uint64_t attempt, std::uint32_t tasks, sched::PlacementWrite write) {
    for (std::uint32_t task = 0; task < tasks; ++task)
      cluster_.add_placement(job, task, attempt, "n-1", 1).write = write;
  }
  /// A job whose three tasks have ended, which an unanswered write may have recorded.
  Job& add_released_job(const std::string& id) {
    Job& job = add_job(id, 3);
    place(job, 1, 3, sched::PlacementWrite::durable);
    job.record.placements.set(3);
    for (auto& placement : job.placements)
      cluster_.end_placement(job, placement, sched::EndProof::exit_reported, 2);
    job.record.placements.extend(0);
    return job;
  }
};

TEST_F(UnansweredBatchTest,
       OneOfTheJobsThatWaitForEachOthersReleasesIsWrittenWithoutItsNewPlacements) {
  Job& first = add_released_job("j-000001");
  Job& second = add_released_job("j-000002");
  Job& third = add_job("j-000003", 4);
  place(third, 1, 4, sched::PlacementWrite::unresolved);
  third.record.placements.extend(4);
  place(first, 2, 1, sched::PlacementWrite::pending);
  place(second, 2, 1, sched::PlacementWrite::pending);
  const std::vector<Job*> jobs{&third, &first, &second};
  RecordBatch batch(kFencingToken, {8192, 24});
  RecordBatchBuilder(context_, jobs, batch).add_records();
  ASSERT_EQ(batch.entries().size(), 3U);
  EXPECT_TRUE(batch.entries()[0].live.empty());
  EXPECT_EQ(batch.entries()[1].live.size(), 1U);
  EXPECT_EQ(batch.entries()[2].job_id, "j-000003");
  EXPECT_EQ(batch.entries()[2].live.size(), 4U);
  EXPECT_TRUE(first.record.dirty);
  EXPECT_FALSE(second.record.dirty);
  EXPECT_FALSE(third.record.dirty);
}

TEST_F(UnansweredBatchTest, AJobThatWaitsWritesItsOwnReleases) {
  Job& unwritable = add_released_job("j-000001");
  unwritable.record.placements.set(3);
  Job& waiting = add_job("j-000002", 4);
  place(waiting, 1, 3, sched::PlacementWrite::durable);
  waiting.record.placements.set(3);
  for (auto& placement : waiting.placements)
    cluster_.end_placement(waiting, placement, sched::EndProof::not_reported, 2);
  place(waiting, 2, 4, sched::PlacementWrite::pending);
  const std::vector<Job*> jobs{&waiting};
  RecordBatch batch(kFencingToken, {8192, 24});
  RecordBatchBuilder(context_, jobs, batch).add_records();
  ASSERT_EQ(batch.entries().size(), 1U);
  EXPECT_TRUE(batch.entries()[0].live.empty());
  EXPECT_TRUE(waiting.record.dirty);
}

}  // namespace
}  // namespace cranklock::testing
