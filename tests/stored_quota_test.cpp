// Which records may be written while placements that have ended are still in stored records.
#include "sched/stored_quota.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"
#include "regions/demand.hpp"

namespace cranklock::sched {
namespace {

using testing::Fleet;
using testing::make_job;
using wire::JobKind;

/// A team with a limit of 16 GPUs, with jobs of 8 GPUs each.
struct StoredQuotaTest : ::testing::Test {
  Fleet fleet{{"n-1", "a"}, {"n-2", "a"}, {"n-3", "a"}};
  Job& first = add_placed("j-000001", "n-1");
  Job& second = add_placed("j-000002", "n-2");

  Job& add_placed(const std::string& id, const std::string& machine) {
    Job& job = place(id, machine);
    fleet.mark_written(job);
    return job;
  }
  Job& place(const std::string& id, const std::string& machine) {
    Job& job = fleet.add(make_job(id, JobKind::service, 1, 8));
    fleet.cluster.add_placement(job, 0, 1, machine, 0);
    return job;
  }
  void end(Job& job) {
    fleet.cluster.end_placement(job, job.placements.front(), sched::EndProof::exit_reported, 1);
  }
  bool may_write(const Job& job) const { return StoredQuota(fleet.cluster).may_write(job); }
};

TEST_F(StoredQuotaTest, APlacementIsWrittenAtOnceWhileNoneHasEnded) {
  end(second);
  fleet.mark_written(second);
  EXPECT_TRUE(may_write(place("j-000003", "n-3")));
}

TEST_F(StoredQuotaTest, APlacementIsWrittenOnlyWithTheReleaseItRestsOn) {
  end(second);
  const Job& third = place("j-000003", "n-3");
  EXPECT_FALSE(may_write(third));
  StoredQuota batch(fleet.cluster);
  EXPECT_TRUE(batch.may_write(second));
  batch.add(second, 0);
  EXPECT_TRUE(batch.may_write(third));
  batch.add(third, 1);
  EXPECT_FALSE(batch.may_write(place("j-000004", "n-3")));
}

TEST_F(StoredQuotaTest, AReleaseCountsUntilAWriteWithoutThePlacementHasSucceeded) {
  end(second);
  const Job& third = place("j-000003", "n-3");
  second.record.dirty = false;  // in a batch that was not answered
  EXPECT_FALSE(may_write(third));
  fleet.mark_written(second);
  EXPECT_TRUE(may_write(third));
}

// Guards against taking an unanswered write as applied: the release in it may be missing as well.
TEST_F(StoredQuotaTest, AnUnansweredPlacementIsWrittenAgainOnlyWithTheReleaseItRestsOn) {
  end(second);
  Job& third = place("j-000003", "n-3");
  second.record.placements.extend(0);
  third.record.placements.extend(1);
  third.placements.front().write = PlacementWrite::unresolved;
  EXPECT_FALSE(may_write(third));
  StoredQuota batch(fleet.cluster);
  batch.add(second, 0);
  EXPECT_TRUE(batch.may_write(third));
}

TEST_F(StoredQuotaTest, AnUnansweredReleaseIsNotCountedAsApplied) {
  end(second);
  second.record.placements.extend(0);
  fleet.cluster.add_placement(second, 0, 2, "n-3", 2);
  EXPECT_TRUE(may_write(second));
  EXPECT_FALSE(may_write(place("j-000003", "n-3")));
}

TEST_F(StoredQuotaTest, AJobsOwnReleaseIsInTheSameRecord) {
  end(second);
  fleet.cluster.add_placement(second, 0, 2, "n-3", 2);
  EXPECT_TRUE(may_write(second));
}

TEST_F(StoredQuotaTest, ReleasesOfCancelledJobsNeedNotBeWrittenFirst) {
  second.cancelled_at_ms = 1;
  end(second);
  EXPECT_TRUE(may_write(place("j-000003", "n-3")));
}

TEST_F(StoredQuotaTest, TheRecordOfACancelledJobAddsNothingToABatch) {
  end(second);
  fleet.mark_written(second);
  Job& cancelled = place("j-000004", "n-3");
  cancelled.cancelled_at_ms = 1;
  StoredQuota batch(fleet.cluster);
  batch.add(cancelled, 1);
  EXPECT_TRUE(batch.may_write(place("j-000003", "n-3")));
}

TEST_F(StoredQuotaTest, AReloadedRecordStillContainsWhatHasEnded) {
  end(second);
  Job stored = make_job("j-000002", JobKind::service, 1, 8);
  stored.placements = second.placements;
  stored.placements.front().ended = false;
  fleet.add(std::move(stored));
  const Job& third = place("j-000003", "n-3");
  EXPECT_FALSE(may_write(third));
  fleet.cluster.remove_job("j-000002");
  EXPECT_TRUE(may_write(third));
}

TEST_F(StoredQuotaTest, OtherTeamsAndTeamsWithoutLimitAreWrittenAtOnce) {
  end(second);
  place("j-000003", "n-3");
  Job& blue = fleet.add(make_job("j-000004", JobKind::service, 1, 8, "blue"));
  fleet.cluster.add_placement(blue, 0, 1, "n-3", 1);
  EXPECT_TRUE(may_write(blue));
  fleet.settings.teams[0].gpus_max = 0;
  EXPECT_TRUE(may_write(*fleet.cluster.job("j-000003")));
}

TEST_F(StoredQuotaTest, RegionsGiveNoQuotaAwayThatAStoredRecordMayStillUse) {
  const auto used = [&] {
    return regions::allocated_quota(fleet.cluster, "red")[regions::Resource::gpus];
  };
  const auto before = used();
  end(second);
  EXPECT_EQ(used(), before);
  fleet.mark_written(second);
  EXPECT_EQ(used(), before / 2);
}

}  // namespace
}  // namespace cranklock::sched
