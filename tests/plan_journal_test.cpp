// Which records of a plan must be stored before the plan is carried out.
#include "defrag/plan_journal.hpp"

#include <gtest/gtest.h>

#include <utility>

namespace cranklock::defrag {
namespace {

MoveRecord record_with(MoveStep step, const std::string& id = "7-1") {
  PlannedMove move;
  move.task = {"j-000001", 0};
  move.attempt = 1;
  move.step = step;
  MovePlan plan;
  plan.id = id;
  plan.moves.push_back(std::move(move));
  MoveRecord record;
  record.plan = std::move(plan);
  return record;
}

PlanJournal journal_of(const MoveRecord& stored, const MoveRecord& desired) {
  PlanJournal journal;
  journal.load(stored);
  journal.desired() = desired;
  return journal;
}

TEST(PlanJournal, HasNothingToWriteWithoutAPlan) {
  EXPECT_FALSE(PlanJournal().pending_write());
}

TEST(PlanJournal, ANewPlanIsDurableOnlyOnceStored) {
  auto journal = journal_of({}, record_with(MoveStep::reserved));
  EXPECT_FALSE(journal.is_durable());
  ASSERT_TRUE(journal.pending_write());
  journal.record_stored(*journal.pending_write());
  EXPECT_TRUE(journal.is_durable());
  EXPECT_FALSE(journal.pending_write());
}

TEST(PlanJournal, AnotherStoredPlanDoesNotMakeThisOneDurable) {
  const auto journal =
      journal_of(record_with(MoveStep::stopping, "6-4"), record_with(MoveStep::stopping, "7-1"));
  EXPECT_FALSE(journal.is_durable());
  EXPECT_FALSE(journal.is_stop_durable(0));
}

TEST(PlanJournal, WritesAStopBeforeItIsRequested) {
  auto journal = journal_of(record_with(MoveStep::draining), record_with(MoveStep::stopping));
  EXPECT_FALSE(journal.is_stop_durable(0));
  ASSERT_TRUE(journal.pending_write());
  journal.record_stored(*journal.pending_write());
  EXPECT_TRUE(journal.is_stop_durable(0));
}

TEST(PlanJournal, DoesNotWriteStepsThatPermitNoAction) {
  const auto journal =
      journal_of(record_with(MoveStep::stopping), record_with(MoveStep::restarting));
  EXPECT_FALSE(journal.pending_write());
}

TEST(PlanJournal, RemovesAPlanThatHasEnded) {
  auto journal = journal_of(record_with(MoveStep::stopping), {});
  ASSERT_TRUE(journal.pending_write());
  EXPECT_FALSE(journal.pending_write()->plan);
  journal.record_stored(*journal.pending_write());
  EXPECT_FALSE(journal.has_stored_plan());
}

TEST(PlanJournal, ForgetsMovesAfterAnHourAndTwiceTheClockError) {
  constexpr std::int64_t kBegunMs = 1000;
  constexpr double kClockErrorS = 2;
  MoveRecord record;
  record.past.push_back({"j-000001", kBegunMs});
  auto journal = journal_of({}, record);
  journal.prune_past_moves(kBegunMs + 3'604'000, kClockErrorS);
  EXPECT_EQ(journal.desired().past.size(), 1U);
  journal.prune_past_moves(kBegunMs + 3'604'001, kClockErrorS);
  EXPECT_TRUE(journal.desired().past.empty());
}

}  // namespace
}  // namespace cranklock::defrag
