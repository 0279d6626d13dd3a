#include "sched/dependencies.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::sched {
namespace {

using testing::Fleet;
using testing::make_job;
using wire::JobKind;
using wire::Priority;

Job dependent(const std::string& id, std::vector<std::string> dependencies, double gpus = 1) {
  Job job = make_job(id, JobKind::job_array, 1, gpus);
  job.spec.dependencies = std::move(dependencies);
  return job;
}

Dependencies::Outcome done_at(std::int64_t at_ms) {
  return {Dependencies::Resolution::done, at_ms, 0};
}

Dependencies::Outcome cancelled_at(std::int64_t at_ms) {
  return {Dependencies::Resolution::cancelled, at_ms, 5};
}

// Unit tests of the class, without a cluster state.
TEST(Dependencies, AreMetWhenAllAreKnownToBeDone) {
  Dependencies dependencies;
  EXPECT_TRUE(dependencies.empty());
  EXPECT_TRUE(dependencies.met("j-000003"));  // has no dependencies
  dependencies.add("j-000003", {"j-000001", "j-000002"});
  EXPECT_FALSE(dependencies.met("j-000003"));
  EXPECT_EQ(dependencies.unresolved(), (std::vector<std::string>{"j-000001", "j-000002"}));
  dependencies.record_outcome("j-000001", done_at(3000));
  dependencies.record_outcome("j-000002", done_at(2000));
  EXPECT_TRUE(dependencies.met("j-000003"));
  EXPECT_EQ(dependencies.met_at_ms("j-000003"), 3000);
  EXPECT_FALSE(dependencies.cancellation("j-000003"));
}

TEST(Dependencies, KeepTheFirstOutcomeForAsLongAsAnyLiveJobNeedsIt) {
  Dependencies dependencies;
  dependencies.record_outcome("j-000001", done_at(1000));  // no live job depends on it
  dependencies.add("j-000002", {"j-000001"});
  dependencies.add("j-000003", {"j-000001"});
  EXPECT_FALSE(dependencies.met("j-000002"));
  dependencies.record_outcome("j-000001", cancelled_at(2000));
  dependencies.record_outcome("j-000001", done_at(3000));
  ASSERT_TRUE(dependencies.cancellation("j-000002"));
  EXPECT_EQ(dependencies.cancellation("j-000002")->at_ms, 2000);
  EXPECT_EQ(dependencies.dependents("j-000001"), (std::set<std::string>{"j-000002", "j-000003"}));
  dependencies.remove("j-000002");
  EXPECT_TRUE(dependencies.cancellation("j-000003"));
  dependencies.remove("j-000003");
  EXPECT_FALSE(dependencies.has_dependents("j-000001"));
  EXPECT_TRUE(dependencies.empty());
}

TEST(Dependencies, AJobStartsOnlyOnceAllDependenciesAreKnownToBeDone) {
  Fleet fleet;
  fleet.add(dependent("j-000003", {"j-000001", "j-000002"}));
  EXPECT_EQ(fleet.cluster.unknown_outcomes(), (std::vector<std::string>{"j-000001", "j-000002"}));
  EXPECT_EQ(fleet.run_pass().placed, 0);
  fleet.cluster.record_outcome("j-000001", done_at(2000));
  EXPECT_EQ(fleet.run_pass().placed, 0);
  fleet.cluster.record_outcome("j-000002", done_at(3000));
  EXPECT_TRUE(fleet.cluster.unknown_outcomes().empty());
  EXPECT_EQ(fleet.run_pass().placed, 1);
  EXPECT_EQ(fleet.cluster.job("j-000003")->ready_ms, 3000);
}

// A job that is complete in this leader's memory may still end as cancelled: the write of the
// cancellation may be stored before the write of the completion.
TEST(Dependencies, ACompleteJobWhoseOutcomeIsNotStoredStartsNoDependents) {
  Fleet fleet;
  Job& first = fleet.add(make_job("j-000001", JobKind::job_array, 1, 1));
  fleet.add(dependent("j-000002", {"j-000001"}));
  first.done.add(0);
  EXPECT_EQ(fleet.run_pass().placed, 0);
  fleet.cluster.remove_job("j-000001");
  EXPECT_EQ(fleet.run_pass().placed, 0);
  EXPECT_EQ(fleet.cluster.unknown_outcomes(), std::vector<std::string>{"j-000001"});
}

TEST(Dependencies, KnownOutcomesSurviveAReloadOfTheRecord) {
  Fleet fleet;
  fleet.add(dependent("j-000002", {"j-000001"}));
  fleet.cluster.record_outcome("j-000001", done_at(0));
  fleet.add(dependent("j-000002", {"j-000001"}));
  EXPECT_TRUE(fleet.cluster.job("j-000002")->dependencies_met);
  // Outcomes are dropped once no live job depends on them.
  fleet.cluster.remove_job("j-000002");
  EXPECT_TRUE(fleet.cluster.dependencies().empty());
  fleet.add(dependent("j-000003", {"j-000001"}));
  EXPECT_FALSE(fleet.cluster.job("j-000003")->dependencies_met);
}

TEST(Dependencies, OnlyTheFirstOutcomeTakesEffect) {
  Fleet fleet;
  fleet.add(dependent("j-000002", {"j-000001"}));
  fleet.cluster.record_outcome("j-000001", done_at(0));
  fleet.cluster.record_outcome("j-000001", cancelled_at(100));
  EXPECT_FALSE(fleet.cluster.job("j-000002")->cancelled());
}

TEST(Dependencies, ACancellationPropagatesToAllDependents) {
  Fleet fleet;
  Job& first = fleet.add(make_job("j-000001", JobKind::job_array, 1, 1));
  fleet.add(dependent("j-000002", {"j-000001"}));
  fleet.add(dependent("j-000003", {"j-000002", "j-000009"}));
  fleet.add(dependent("j-000004", {"j-000009"}));
  fleet.cluster.cancel(first, 777, 7);
  EXPECT_EQ(fleet.cluster.job("j-000003")->cancelled_at_ms, 777);
  EXPECT_FALSE(fleet.cluster.job("j-000004")->cancelled());
  // A dependent that is added after the cancellation.
  fleet.add(dependent("j-000005", {"j-000003"}));
  EXPECT_EQ(fleet.cluster.job("j-000005")->cancelled_at_ms, 777);
  // A cancellation recorded as an outcome.
  fleet.cluster.record_outcome("j-000009", cancelled_at(888));
  EXPECT_EQ(fleet.cluster.job("j-000004")->cancelled_at_ms, 888);
  fleet.add(dependent("j-000006", {"j-000009"}));
  EXPECT_TRUE(fleet.cluster.job("j-000006")->cancelled());
}

// Guards against stack overflow: recursion over a long chain, or over a stored cycle, would crash
// the process.
TEST(Dependencies, LongChainsAndCyclesDoNotOverflowTheStack) {
  Fleet fleet;
  constexpr int kLength = 20'000;
  const auto id = [](int i) { return "j-" + std::to_string(100'000 + i); };
  for (int i = 0; i < kLength; ++i) {
    fleet.add(i == 0 ? make_job(id(0), JobKind::job_array, 1, 1) : dependent(id(i), {id(i - 1)}));
  }
  fleet.add(dependent("j-1", {"j-2"}));
  fleet.add(dependent("j-2", {"j-1"}));
  EXPECT_EQ(fleet.run_pass().placed, 1);
  fleet.cluster.cancel(*fleet.cluster.job(id(0)), 5, 5);
  EXPECT_TRUE(fleet.cluster.job(id(kLength - 1))->cancelled());
  fleet.cluster.cancel(*fleet.cluster.job("j-1"), 5, 5);
  EXPECT_TRUE(fleet.cluster.job("j-2")->cancelled());
  EXPECT_EQ(fleet.run_pass(2).placed, 0);
}

TEST(Dependencies, AJobWithUnmetDependenciesUsesNoGuaranteeAddsNoLoadAndPreemptsNothing) {
  Fleet fleet;
  fleet.settings.teams = {{"red", 0, 0, 8, 16}, {"blue", 0, 0, 8, 16}};
  Job& runs = fleet.add(make_job("j-000001", JobKind::service, 8, 1, "blue"));
  EXPECT_EQ(fleet.run_pass().placed, 8);
  fleet.mark_written(runs);
  Job waits = make_job("j-000002", JobKind::service, 8, 1);
  waits.spec.priority = Priority::production;
  waits.spec.dependencies = {"j-000009"};
  fleet.add(std::move(waits));
  const auto result = fleet.run_pass(2);
  EXPECT_EQ(result.preempted, 0);
  EXPECT_TRUE(result.shortfall.requested.empty());
  // If the job with unmet dependencies counted, it would use the whole guarantee, and this job
  // would not be guaranteed.
  Job& later = fleet.add(make_job("j-000003", JobKind::service, 1, 1));
  fleet.run_pass(3);
  EXPECT_TRUE(later.guaranteed);
}

TEST(Dependencies, AJobInheritsTheHighestPriorityOfItsDependents) {
  Fleet fleet;
  auto first = make_job("j-000001", JobKind::job_array, 1, 8);
  first.spec.priority = Priority::best_effort;
  first.created_ms = 2000;
  fleet.add(std::move(first));
  auto other = make_job("j-000005", JobKind::job_array, 1, 8, "blue");
  other.spec.priority = Priority::standard;
  fleet.add(std::move(other));
  auto middle = dependent("j-000002", {"j-000001"});
  middle.spec.priority = Priority::best_effort;
  fleet.add(std::move(middle));
  auto last = dependent("j-000003", {"j-000002"});
  last.spec.priority = Priority::high;
  fleet.add(std::move(last));
  EXPECT_EQ(fleet.run_pass().placed, 1);  // only one job fits
  EXPECT_EQ(fleet.cluster.job("j-000001")->placements.size(), 1U);
}

TEST(Dependencies, TheLatestStartIsTheDeadlineLessTheEstimatesOfAllStages) {
  Fleet fleet;
  auto first = make_job("j-000001", JobKind::job_array, 1, 1);
  first.spec.estimate_s = 10;
  fleet.add(std::move(first));
  auto middle = dependent("j-000002", {"j-000001"});
  middle.spec.estimate_s = 20;
  fleet.add(std::move(middle));
  auto last = dependent("j-000003", {"j-000002"});
  last.spec.estimate_s = 5;
  last.spec.deadline_s = 60;
  fleet.add(std::move(last));
  fleet.run_pass();
  EXPECT_EQ(fleet.cluster.job("j-000003")->urgency.start_by_ms, 1000 + 55'000);
  EXPECT_EQ(fleet.cluster.job("j-000001")->urgency.start_by_ms, 1000 + 25'000);
}

}  // namespace
}  // namespace cranklock::sched
