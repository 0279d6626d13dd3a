// Log lines for events of plans.
#include "control/plan_log.hpp"

#include <gtest/gtest.h>

#include "base/event_log.hpp"

namespace cranklock::control {
namespace {

using defrag::MoveStep;

const defrag::PlannedMove kMove{{"j-000001", 2}, 1, "n-1", "n-2", MoveStep::done};

TEST(PlanLog, ListsTheMovesOfAPlan) {
  defrag::MovePlan plan;
  plan.id = "7-1";
  plan.job = "j-000002";
  plan.cost_s = 6;
  plan.boot_s = 90;
  plan.moves.push_back(kMove);
  plan.moves.push_back(kMove);
  plan.moves.back().target = "n-3";
  EXPECT_EQ(to_log_line(defrag::PlanBegun{plan}),
            "plan begun plan=7-1 job=j-000002 moves=2 cost_s=6.00 boot_s=90.00 "
            "list=\"j-000001/2 from n-1 to n-2, j-000001/2 from n-1 to n-3\"");
}

TEST(PlanLog, FormatsTakeoverAndEndOfAPlan) {
  EXPECT_EQ(to_log_line(defrag::PlanTakenOver{"7-1", "j-000002", 3}),
            "plan taken over plan=7-1 job=j-000002 moves=3");
  EXPECT_EQ(to_log_line(defrag::PlanDone{"7-1", "j-000002", 4.5}),
            "plan done plan=7-1 job=j-000002 took_s=4.50");
  EXPECT_EQ(to_log_line(defrag::PlanDropped{"7-1", "j-000002", 4.5, 2,
                                            defrag::DropReason::target_unavailable}),
            "plan dropped plan=7-1 job=j-000002 took_s=4.50 moves_undone=2 "
            "reason=\"target unavailable\"");
}

TEST(PlanLog, DistinguishesCompletedFromDivertedMoves) {
  EXPECT_EQ(to_log_line(defrag::MoveEnded{kMove, 2}),
            "move done task=j-000001/2 from=n-1 to=n-2 took_s=2.00");
  auto diverted = kMove;
  diverted.step = MoveStep::diverted;
  EXPECT_EQ(to_log_line(defrag::MoveEnded{diverted, 2}),
            "move diverted task=j-000001/2 from=n-1 to=n-2 took_s=2.00");
}

// The lab counts moves by these fields.
TEST(PlanLog, FieldsAreReadableByPrograms) {
  const auto line =
      to_log_line(defrag::PlanDropped{"7-1", "j-000002", 4.5, 2, defrag::DropReason::disabled});
  EXPECT_EQ(base::read_log_field(line, base::kPlanDropped, "moves_undone"), "2");
  EXPECT_EQ(base::read_log_field(to_log_line(defrag::MoveEnded{kMove, 2}), base::kMoveDone, "task"),
            "j-000001/2");
}

}  // namespace
}  // namespace cranklock::control
