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

// The class by itself.
TEST(Dependencies, AreMetWhenAllAreKnownToBeDone) {
  Dependencies dependencies;
  EXPECT_TRUE(dependencies.empty());
  EXPECT_TRUE(dependencies.met("j-000003"));  // it needs none
  dependencies.add("j-000003", {"j-000001", "j-000002"});
  EXPECT_FALSE(dependencies.met("j-000003"));
  EXPECT_EQ(dependencies.unknown(), (std::vector<std::string>{"j-000001", "j-000002"}));
  dependencies.record_outcome("j-000001", done_at(3000));
  dependencies.record_outcome("j-000002", done_at(2000));
  EXPECT_TRUE(dependencies.met("j-000003"));
  EXPECT_EQ(dependencies.met_ms("j-000003"), 3000);
  EXPECT_FALSE(dependencies.cancellation("j-000003"));
}

TEST(Dependencies, KeepTheFirstOutcomeForAsLongAsAnyLiveJobNeedsIt) {
  Dependencies dependencies;
  dependencies.record_outcome("j-000001", done_at(1000));  // nobody needs it
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

TEST(Dependencies, AJobStartsOnlyWhenAllThatItNeedsIsKnownToBeDone) {
  Fleet s;
  s.add(dependent("j-000003", {"j-000001", "j-000002"}));
  EXPECT_EQ(s.cluster.unknown_outcomes(), (std::vector<std::string>{"j-000001", "j-000002"}));
  EXPECT_EQ(s.run_pass().placed, 0);
  s.cluster.record_outcome("j-000001", done_at(2000));
  EXPECT_EQ(s.run_pass().placed, 0);
  s.cluster.record_outcome("j-000002", done_at(3000));
  EXPECT_TRUE(s.cluster.unknown_outcomes().empty());
  EXPECT_EQ(s.run_pass().placed, 1);
  EXPECT_EQ(s.cluster.job("j-000003")->ready_ms, 3000);
}

// A job that is complete in memory may still be cancelled by a write that comes first.
TEST(Dependencies, ACompleteJobWhoseOutcomeIsNotStoredLetsNothingStart) {
  Fleet s;
  Job& first = s.add(make_job("j-000001", JobKind::job_array, 1, 1));
  s.add(dependent("j-000002", {"j-000001"}));
  first.done.add(0);
  EXPECT_EQ(s.run_pass().placed, 0);
  s.cluster.remove_job("j-000001");
  EXPECT_EQ(s.run_pass().placed, 0);
  EXPECT_EQ(s.cluster.unknown_outcomes(), std::vector<std::string>{"j-000001"});
}

TEST(Dependencies, WhatIsKnownOutlivesAReloadOfTheRecord) {
  Fleet s;
  s.add(dependent("j-000002", {"j-000001"}));
  s.cluster.record_outcome("j-000001", done_at(0));
  s.add(dependent("j-000002", {"j-000001"}));
  EXPECT_TRUE(s.cluster.job("j-000002")->dependencies_met);
  // Nothing is kept for a job that is not live any more.
  s.cluster.remove_job("j-000002");
  EXPECT_TRUE(s.cluster.dependencies().empty());
  s.add(dependent("j-000003", {"j-000001"}));
  EXPECT_FALSE(s.cluster.job("j-000003")->dependencies_met);
}

TEST(Dependencies, AnOutcomeIsTakenOnce) {
  Fleet s;
  s.add(dependent("j-000002", {"j-000001"}));
  s.cluster.record_outcome("j-000001", done_at(0));
  s.cluster.record_outcome("j-000001", cancelled_at(100));
  EXPECT_FALSE(s.cluster.job("j-000002")->cancelled());
}

TEST(Dependencies, ACancellationReachesAllThatNeedIt) {
  Fleet s;
  Job& first = s.add(make_job("j-000001", JobKind::job_array, 1, 1));
  s.add(dependent("j-000002", {"j-000001"}));
  s.add(dependent("j-000003", {"j-000002", "j-000009"}));
  s.add(dependent("j-000004", {"j-000009"}));
  s.cluster.cancel(first, 777, 7);
  EXPECT_EQ(s.cluster.job("j-000003")->cancelled_at_ms, 777);
  EXPECT_FALSE(s.cluster.job("j-000004")->cancelled());
  // Generations that come later.
  s.add(dependent("j-000005", {"j-000003"}));
  EXPECT_EQ(s.cluster.job("j-000005")->cancelled_at_ms, 777);
  // And by an outcome that is read.
  s.cluster.record_outcome("j-000009", cancelled_at(888));
  EXPECT_EQ(s.cluster.job("j-000004")->cancelled_at_ms, 888);
  s.add(dependent("j-000006", {"j-000009"}));
  EXPECT_TRUE(s.cluster.job("j-000006")->cancelled());
}

// A recursion would end the process of a small node; so would a stored cycle.
TEST(Dependencies, LongChainsAndCyclesAreSurvived) {
  Fleet s;
  constexpr int kLength = 20'000;
  const auto id = [](int i) { return "j-" + std::to_string(100'000 + i); };
  for (int i = 0; i < kLength; ++i) {
    s.add(i == 0 ? make_job(id(0), JobKind::job_array, 1, 1) : dependent(id(i), {id(i - 1)}));
  }
  s.add(dependent("j-1", {"j-2"}));
  s.add(dependent("j-2", {"j-1"}));
  EXPECT_EQ(s.run_pass().placed, 1);
  s.cluster.cancel(*s.cluster.job(id(0)), 5, 5);
  EXPECT_TRUE(s.cluster.job(id(kLength - 1))->cancelled());
  s.cluster.cancel(*s.cluster.job("j-1"), 5, 5);
  EXPECT_TRUE(s.cluster.job("j-2")->cancelled());
  EXPECT_EQ(s.run_pass(2).placed, 0);
}

TEST(Dependencies, AWaitingJobIsNeitherInLimitsNorInLoadNorAReasonToPreempt) {
  Fleet s;
  s.settings.teams = {{"red", 0, 0, 8, 16}, {"blue", 0, 0, 8, 16}};
  Job& runs = s.add(make_job("j-000001", JobKind::service, 8, 1, "blue"));
  EXPECT_EQ(s.run_pass().placed, 8);
  s.mark_written(runs);
  Job waits = make_job("j-000002", JobKind::service, 8, 1);
  waits.spec.priority = Priority::production;
  waits.spec.dependencies = {"j-000009"};
  s.add(std::move(waits));
  const auto result = s.run_pass(2);
  EXPECT_EQ(result.preempted, 0);
  EXPECT_TRUE(result.shortfall.waiting.empty());
  // It takes all of the guarantee, were it counted: this one would have none.
  Job& later = s.add(make_job("j-000003", JobKind::service, 1, 1));
  s.run_pass(3);
  EXPECT_TRUE(later.guaranteed);
}

TEST(Dependencies, AJobHasTheHighestPriorityOfAllThatNeedIt) {
  Fleet s;
  auto first = make_job("j-000001", JobKind::job_array, 1, 8);
  first.spec.priority = Priority::best_effort;
  first.created_ms = 2000;
  s.add(std::move(first));
  auto other = make_job("j-000005", JobKind::job_array, 1, 8, "blue");
  other.spec.priority = Priority::standard;
  s.add(std::move(other));
  auto middle = dependent("j-000002", {"j-000001"});
  middle.spec.priority = Priority::best_effort;
  s.add(std::move(middle));
  auto last = dependent("j-000003", {"j-000002"});
  last.spec.priority = Priority::high;
  s.add(std::move(last));
  EXPECT_EQ(s.run_pass().placed, 1);  // there is room for one
  EXPECT_EQ(s.cluster.job("j-000001")->placements.size(), 1U);
}

TEST(Dependencies, UrgencyIsTheLastDeadlineLessWhatTheStagesTake) {
  Fleet s;
  auto first = make_job("j-000001", JobKind::job_array, 1, 1);
  first.spec.estimate_s = 10;
  s.add(std::move(first));
  auto middle = dependent("j-000002", {"j-000001"});
  middle.spec.estimate_s = 20;
  s.add(std::move(middle));
  auto last = dependent("j-000003", {"j-000002"});
  last.spec.estimate_s = 5;
  last.spec.due_s = 60;
  s.add(std::move(last));
  s.run_pass();
  EXPECT_EQ(s.cluster.job("j-000003")->urgency.start_by_ms, 1000 + 55'000);
  EXPECT_EQ(s.cluster.job("j-000001")->urgency.start_by_ms, 1000 + 25'000);
}

}  // namespace
}  // namespace cranklock::sched
