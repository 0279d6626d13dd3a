// Placements are allocated on their machine and in their team's quota until they are proven gone.
#include "sched/placement_tracker.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::sched {
namespace {

using testing::make_job;
using wire::JobKind;

struct TrackerTest : ::testing::Test {
  ChangeSignal changes;
  MachineInventory machines{changes};
  QuotaUsage quota;
  PlacementTracker placements{machines, quota, changes};
  Machine& first = machines.upsert("n-1", {"g8", "a", false}, 0);
  Machine& second = machines.upsert("n-2", {"g8", "a", false}, 0);
  Job job = make_job("j-000001", JobKind::job_array, 4, 2);
  Job gang = make_job("j-000002", JobKind::gang, 2, 2, "blue");
};

TEST_F(TrackerTest, APlacementIsAllocatedFromItsDecisionToItsEnd) {
  Placement& placement = placements.add(job, 0, 3, "n-1", 5);
  EXPECT_EQ(placement.decided_at, 5);
  EXPECT_EQ(job.last_attempt, 3U);
  EXPECT_TRUE(job.record.dirty);
  EXPECT_EQ(first.allocated, job.spec.resources);
  EXPECT_EQ(quota.allocated("red"), job.spec.resources);
  changes.take();
  placements.end(job, placement, EndProof::exit_reported, 6);
  EXPECT_TRUE(placement.ended);
  EXPECT_TRUE(changes.take());
  EXPECT_TRUE(first.tasks.empty());
  EXPECT_EQ(quota.allocated("red"), wire::Resources());
  placements.end(job, placement, EndProof::exit_reported, 7);  // a repeated call has no effect
  EXPECT_EQ(quota.allocated("red"), wire::Resources());
}

TEST_F(TrackerTest, PlacementsStaySorted) {
  placements.add(job, 2, 1, "n-1", 0);
  placements.add(job, 0, 2, "n-1", 0);
  placements.add(job, 1, 3, "n-1", 0);
  for (std::uint32_t task = 0; task < 3; ++task) EXPECT_EQ(job.placements[task].task, task);
}

// Guards against allocating resources again that an unresolved write may still use (invariant 9).
TEST_F(TrackerTest, AnUnresolvedWriteKeepsItsAllocationUntilAnotherSucceeds) {
  Placement& placement = placements.add(job, 0, 1, "n-1", 0);
  placement.write = PlacementWrite::unresolved;
  placements.end(job, placement, EndProof::exit_reported, 1);
  EXPECT_TRUE(placement.abandoned());
  EXPECT_FALSE(placement.ended);
  EXPECT_EQ(first.allocated, job.spec.resources);
  EXPECT_EQ(quota.allocated("red"), job.spec.resources);
  job.record.dirty = false;
  placements.resolve_abandoned(job, placement, 2);
  EXPECT_TRUE(placement.ended);
  EXPECT_FALSE(job.record.dirty);
  EXPECT_EQ(quota.allocated("red"), wire::Resources());
}

TEST_F(TrackerTest, OnlyEndedPlacementsThatWereWrittenAreErased) {
  for (std::uint32_t task = 0; task < 3; ++task) placements.add(job, task, task + 1, "n-1", 0);
  placements.end(job, job.placements[0], EndProof::exit_reported, 1);
  placements.end(job, job.placements[1], EndProof::exit_reported, 1);
  placements.erase_ended(job, {{0, 1}, {2, 3}});
  EXPECT_EQ(quota.ended("red"), job.spec.resources);  // of the other one that has ended
  ASSERT_EQ(job.placements.size(), 2U);
  EXPECT_EQ(job.placements[0].task, 1U);
  EXPECT_EQ(job.placements[1].task, 2U);
}

TEST_F(TrackerTest, EndingAllPlacementsOfAMachineStopsTheOtherTasksOfItsGangs) {
  placements.add(gang, 0, 1, "n-1", 0);
  placements.add(gang, 1, 1, "n-2", 0);
  placements.add(job, 0, 1, "n-1", 0);
  placements.add(job, 1, 2, "n-2", 0);
  placements.end_all(first, EndProof::lease_expired, 3);
  EXPECT_TRUE(first.tasks.empty());
  EXPECT_TRUE(gang.placements[0].ended);
  EXPECT_FALSE(gang.placements[1].ended);
  EXPECT_TRUE(gang.placements[1].stop_requested);
  EXPECT_FALSE(job.placements[1].stop_requested);
}

TEST_F(TrackerTest, AStoredJobIsAllocatedAndReleased) {
  job.placements.resize(2);
  job.placements[0].machine = "n-1";
  job.placements[1].task = 1;
  job.placements[1].machine = "n-1";
  job.placements[1].ended = true;
  placements.attach_all(job, 4);
  EXPECT_EQ(job.placements[0].decided_at, 4);
  EXPECT_EQ(quota.allocated("red"), job.spec.resources);
  EXPECT_EQ(first.tasks.size(), 1U);
  placements.detach_all(job, 5);
  EXPECT_EQ(quota.allocated("red"), wire::Resources());
  EXPECT_TRUE(first.tasks.empty());
}

TEST(Placement, TheFirstStopRequestSetsTheGracePeriod) {
  Placement placement;
  placement.request_stop(8, 1);
  placement.request_stop(0, 2);
  EXPECT_EQ(placement.grace_s, 8);
  EXPECT_EQ(placement.stop_requested_at, 1);
}

TEST(Placement, ADrainedStopCanBeExtendedAndRevoked) {
  Placement placement;
  placement.request_drained_stop(10, 1);
  placement.request_drained_stop(15, 2);
  EXPECT_TRUE(placement.stop_requested);
  EXPECT_EQ(placement.drain_deadline, 15);
  placement.revoke_drained_stop();
  EXPECT_FALSE(placement.stop_requested);
  EXPECT_FALSE(placement.drain_deadline);
  // An unconditional stop request is not changed.
  placement.request_stop(0, 3);
  placement.request_drained_stop(20, 4);
  placement.revoke_drained_stop();
  EXPECT_TRUE(placement.stop_requested);
  EXPECT_FALSE(placement.drain_deadline);
}

}  // namespace
}  // namespace cranklock::sched
