// Live jobs, the runtime state kept on a reload, and the propagation of cancellations.
#include "sched/job_table.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::sched {
namespace {

using testing::make_job;
using wire::JobKind;

Job dependent(const std::string& id, std::vector<std::string> dependencies) {
  Job job = make_job(id, JobKind::job_array, 1, 1);
  job.spec.dependencies = std::move(dependencies);
  return job;
}

Placement placed(std::uint32_t task, std::uint64_t attempt, const std::string& machine) {
  Placement placement;
  placement.task = task;
  placement.attempt = attempt;
  placement.machine = machine;
  return placement;
}

struct JobTableTest : ::testing::Test {
  ChangeSignal changes;
  JobTable jobs{changes};
};

TEST_F(JobTableTest, HoldsOneJobById) {
  changes.take();
  jobs.put(make_job("j-000001", JobKind::job_array, 1, 1));
  EXPECT_TRUE(changes.take());
  jobs.put(make_job("j-000001", JobKind::job_array, 2, 1));
  ASSERT_NE(jobs.find("j-000001"), nullptr);
  EXPECT_EQ(jobs.find("j-000001")->spec.tasks, 2U);
  EXPECT_EQ(jobs.all().size(), 1U);
  jobs.erase("j-000001");
  EXPECT_EQ(jobs.find("j-000001"), nullptr);
}

TEST_F(JobTableTest, AJobIsReadyWhenAllItsDependenciesAreKnownToBeDone) {
  Job& job = jobs.put(dependent("j-000003", {"j-000001", "j-000002"}));
  EXPECT_FALSE(job.dependencies_met);
  EXPECT_EQ(jobs.unknown_outcomes().size(), 2U);
  jobs.record_outcome("j-000001", {Dependencies::Resolution::done, 5000, 0});
  EXPECT_FALSE(job.dependencies_met);
  changes.take();
  jobs.record_outcome("j-000002", {Dependencies::Resolution::done, 4000, 0});
  EXPECT_TRUE(job.dependencies_met);
  EXPECT_TRUE(changes.take());
  EXPECT_EQ(job.ready_ms, 5000);
  EXPECT_TRUE(jobs.unknown_outcomes().empty());
}

TEST_F(JobTableTest, OutcomesOfLiveJobsNeedNotBeRead) {
  jobs.put(make_job("j-000001", JobKind::job_array, 1, 1));
  jobs.put(dependent("j-000002", {"j-000001"}));
  EXPECT_TRUE(jobs.unknown_outcomes().empty());
  jobs.erase("j-000001");
  EXPECT_EQ(jobs.unknown_outcomes(), std::vector<std::string>{"j-000001"});
}

TEST_F(JobTableTest, ACancellationPropagatesToAllDependents) {
  Job& first = jobs.put(make_job("j-000001", JobKind::job_array, 1, 1));
  jobs.put(dependent("j-000002", {"j-000001"}));
  jobs.put(dependent("j-000003", {"j-000002"}));
  jobs.put(dependent("j-000004", {"j-000009"}));
  jobs.cancel(first, 700, 7);
  EXPECT_EQ(jobs.find("j-000003")->cancelled_at_ms, 700);
  EXPECT_EQ(jobs.find("j-000003")->cancelled_since, 7);
  EXPECT_FALSE(jobs.find("j-000004")->cancelled());
  jobs.cancel(first, 900, 9);  // only the first cancellation counts
  EXPECT_EQ(first.cancelled_at_ms, 700);
  // A job submitted while its dependency is cancelled and still live.
  EXPECT_EQ(jobs.put(dependent("j-000005", {"j-000003"})).cancelled_at_ms, 700);
  // A cancellation that is read as a stored outcome.
  jobs.record_outcome("j-000009", {Dependencies::Resolution::cancelled, 800, 8});
  EXPECT_EQ(jobs.find("j-000004")->cancelled_at_ms, 800);
}

struct Reload : ::testing::Test {
  Job known = make_job("j-000001", JobKind::job_array, 4, 1);
  Job stored = make_job("j-000001", JobKind::job_array, 4, 1);
};

TEST_F(Reload, KeepsRetryStateAndCancellation) {
  known.known_since = 3;
  known.retry.backoff_until = 9;
  known.retry.failed_rounds = 2;
  known.retry.earlier_failed_rounds = 1;
  known.retry.failed_machines = {"n-1"};
  known.retry.succeeded = true;
  known.cancelled_at_ms = 500;
  known.cancelled_since = 5;
  known.last_attempt = 8;
  stored.last_attempt = 6;
  carry_over_runtime_state(stored, known);
  EXPECT_EQ(stored.known_since, 3);
  EXPECT_EQ(stored.retry.backoff_until, 9);
  EXPECT_EQ(stored.retry.failed_rounds, 2);
  EXPECT_EQ(stored.retry.earlier_failed_rounds, 1);
  EXPECT_EQ(stored.retry.failed_machines, known.retry.failed_machines);
  EXPECT_TRUE(stored.retry.succeeded);
  EXPECT_EQ(stored.cancelled_at_ms, 500);
  EXPECT_EQ(stored.cancelled_since, 5);
  EXPECT_EQ(stored.last_attempt, 8U);  // attempts never decrease (invariant 12)
  EXPECT_FALSE(stored.record.dirty);
}

TEST_F(Reload, ACompletedTaskMissingFromTheRecordIsWrittenAgain) {
  known.done.add(2);
  stored.done.add(1);
  carry_over_runtime_state(stored, known);
  EXPECT_TRUE(stored.done.contains(1) && stored.done.contains(2));
  EXPECT_TRUE(stored.record.dirty);
}

TEST_F(Reload, TheRecordIsAuthoritativeForTheSetOfPlacements) {
  known.placements = {placed(0, 1, "n-1"), placed(1, 2, "n-1")};
  known.placements[0].reported = true;
  stored.placements = {placed(0, 1, "n-1"), placed(2, 3, "n-1")};
  carry_over_runtime_state(stored, known);
  ASSERT_EQ(stored.placements.size(), 2U);
  EXPECT_TRUE(stored.placements[0].reported);
  EXPECT_TRUE(stored.placements[0].durable());
  EXPECT_FALSE(stored.placements[1].reported);
  EXPECT_FALSE(stored.record.dirty);
}

// Guards against confusing a stored placement with a known one on another machine.
TEST_F(Reload, PlacementsOnDifferentMachinesAreDifferent) {
  known.placements = {placed(0, 1, "n-1")};
  known.placements[0].reported = true;
  stored.placements = {placed(0, 1, "n-2")};
  carry_over_runtime_state(stored, known);
  EXPECT_EQ(stored.placements[0].machine, "n-2");
  EXPECT_FALSE(stored.placements[0].reported);
}

TEST_F(Reload, AnAbandonedPlacementFoundInTheStoredRecordHasEnded) {
  known.placements = {placed(0, 1, "n-1")};
  known.placements[0].write = PlacementWrite::abandoned;
  stored.placements = {placed(0, 1, "n-1")};
  carry_over_runtime_state(stored, known);
  EXPECT_TRUE(stored.placements[0].ended);
  EXPECT_FALSE(stored.placements[0].write_unresolved());
  EXPECT_TRUE(stored.record.dirty);  // so that it is written without the placement
}

}  // namespace
}  // namespace cranklock::sched
