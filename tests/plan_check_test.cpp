// When a plan of moves is dropped because of what heartbeats have shown.
#include "defrag/plan_check.hpp"

#include <gtest/gtest.h>

#include <utility>

#include "fixtures.hpp"

namespace cranklock::defrag {
namespace {

using testing::make_job;

constexpr const char* kMoved = "j-000001";
constexpr const char* kWaiting = "j-000002";
constexpr double kNow = 60;

/// A task of four GPUs on n-1 that is to move, to free n-1 for a gang of eight GPUs. n-2 is in the
/// same zone, n-3 in another.
class PlanCheck : public ::testing::Test {
 protected:
  testing::Fleet fleet{{"n-1", "a"}, {"n-2", "a"}, {"n-3", "b"}};
  sched::Job& moved = fleet.add(make_job(kMoved, wire::JobKind::job_array, 1, 4));
  sched::Job& waiting = fleet.add(make_job(kWaiting, wire::JobKind::gang, 1, 8));

  PlanCheck() { put_on_source("n-1"); }

  void put_on_source(const std::string& machine) {
    auto& placement = fleet.cluster.add_placement(moved, 0, 1, machine, 0);
    placement.write = sched::PlacementWrite::durable;
    placement.reported = true;
    placement.state = wire::TaskState::running;
  }
  static MovePlan plan_to(const std::string& target) {
    return plan_of(kMoved, "n-1", target, MoveStep::reserved);
  }
  static MovePlan plan_of(const std::string& job, const std::string& source,
                          const std::string& target, MoveStep step) {
    PlannedMove move;
    move.task = {job, 0};
    move.attempt = 1;
    move.source = source;
    move.target = target;
    move.step = step;
    MovePlan plan;
    plan.id = "7-1";
    plan.job = kWaiting;
    plan.places.push_back({"n-1", 1});
    plan.moves.push_back(std::move(move));
    return plan;
  }
  std::optional<DropReason> check(const MovePlan& plan, bool placed = false) {
    return drop_reason_by_fleet(fleet.cluster, plan, placed, {}, kNow);
  }
};

TEST_F(PlanCheck, APlanWhoseMachinesAreAsPlannedGoesOn) {
  EXPECT_EQ(check(plan_to("n-2")), std::nullopt);
}

TEST_F(PlanCheck, AJobWithoutAZoneRuleMayMoveToAnotherZone) {
  EXPECT_EQ(check(plan_to("n-3")), std::nullopt);
}

// A stored plan is adopted unchanged, so after a failover it may name a target that the search of
// this version would not choose.
TEST_F(PlanCheck, AJobOfOneZoneDoesNotMoveToAnother) {
  moved.spec.one_zone = true;
  EXPECT_EQ(check(plan_to("n-2")), std::nullopt);
  EXPECT_EQ(check(plan_to("n-3")), DropReason::target_unavailable);
}

TEST_F(PlanCheck, ASpreadJobDoesNotMoveToAnotherZone) {
  moved.spec.spread = true;
  EXPECT_EQ(check(plan_to("n-2")), std::nullopt);
  EXPECT_EQ(check(plan_to("n-3")), DropReason::target_unavailable);
}

// After a failover a record may name a source that neither the machine list nor a heartbeat has
// shown. Its zone is unknown, so it cannot be compared with the zone of the target.
TEST_F(PlanCheck, AJobWithAZoneRuleDoesNotMoveFromAMachineOfUnknownZone) {
  auto& unlisted = fleet.add(make_job("j-000003", wire::JobKind::job_array, 1, 4));
  unlisted.spec.one_zone = true;
  fleet.cluster.add_placement(unlisted, 0, 1, "n-9", 0);
  fleet.cluster.upsert_machine("n-9", {}, kNow);
  const auto plan = plan_of("j-000003", "n-9", "n-2", MoveStep::stopping);
  EXPECT_EQ(check(plan, true), DropReason::target_unavailable);
  unlisted.spec.one_zone = false;
  EXPECT_EQ(check(plan, true), std::nullopt);
}

TEST_F(PlanCheck, ATargetThatIsFullDropsThePlan) {
  auto& other = fleet.add(make_job("j-000003", wire::JobKind::job_array, 1, 8));
  fleet.cluster.add_placement(other, 0, 1, "n-2", 0);
  EXPECT_EQ(check(plan_to("n-2")), DropReason::target_unavailable);
}

TEST_F(PlanCheck, OtherWorkOnTheWaitingJobsMachineDropsThePlan) {
  auto& other = fleet.add(make_job("j-000003", wire::JobKind::job_array, 1, 1));
  fleet.cluster.add_placement(other, 0, 1, "n-1", 0);
  EXPECT_EQ(check(plan_to("n-2")), DropReason::host_unavailable);
}

}  // namespace
}  // namespace cranklock::defrag
