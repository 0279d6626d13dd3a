#include "sched/scaler.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::sched {
namespace {

/// DESIGN's starting values, whatever the defaults are now.
base::ScalerSettings design() {
  base::ScalerSettings s;
  s.every_s = 5;
  s.high = 0.9, s.low = 0.5;
  s.up_window_s = 10, s.down_window_s = 60;
  s.up_cooldown_s = 20, s.down_cooldown_s = 90;
  s.step_machines = 1, s.step_share = 0.2, s.max_step = 50;
  s.min_machines = 0, s.max_machines = 100;
  return s;
}

struct PoolScenario {
  base::ScalerSettings settings = design();
  Pool pool{settings};
  double now = 0;
  int step(double score, int machines, int wanted = 2, bool settled = true) {
    now += settings.every_s;
    const auto wall = static_cast<std::int64_t>(1'000'000 + now * 1000);
    const int change = pool.decide({score, machines, wanted, 0}, settled, wall, now);
    if (change != 0) pool.record_scaling(machines + change, wall);
    return change;
  }
  int steps(int n, double score, int machines, int wanted = 2) {
    int sum = 0;
    for (int i = 0; i < n; ++i) sum += step(score, machines, wanted);
    return sum;
  }
};

TEST(ScoreHistory, AWindowCountsOnlyOnceItIsCovered) {
  ScoreHistory history;
  EXPECT_FALSE(history.stayed_above(0.9, 10, 0));
  history.add(0.95, 0);
  history.add(0.95, 5);
  EXPECT_FALSE(history.stayed_above(0.9, 10, 5));
  history.add(0.95, 10);
  EXPECT_TRUE(history.stayed_above(0.9, 10, 10));
  EXPECT_FALSE(history.stayed_below(0.9, 10, 10));
}

TEST(ScoreHistory, AScoreAtTheThresholdIsNeitherAboveNorBelowIt) {
  ScoreHistory history;
  history.add(0.9, 0);
  history.add(0.9, 10);
  EXPECT_FALSE(history.stayed_above(0.9, 10, 10));
  EXPECT_FALSE(history.stayed_below(0.9, 10, 10));
}

TEST(ScoreHistory, WhatIsOlderThanTheWindowDoesNotCount) {
  ScoreHistory history;
  history.add(0.1, 0);
  history.add(0.95, 5);
  history.add(0.95, 10);
  EXPECT_TRUE(history.stayed_above(0.9, 5, 10));
  EXPECT_FALSE(history.stayed_above(0.9, 10, 10));
  history.forget_before(6);
  EXPECT_FALSE(history.stayed_above(0.9, 5, 10));  // no longer covered
}

TEST(Scaler, GrowsOnlyWhenTheWholeUpWindowWasHigh) {
  PoolScenario s;
  EXPECT_EQ(s.step(0.95, 10), 0);
  EXPECT_EQ(s.step(0.95, 10), 0);
  EXPECT_EQ(s.step(0.95, 10), 2);
}

TEST(Scaler, OneLowReadingInTheWindowHoldsGrowthBack) {
  PoolScenario s;
  s.step(0.95, 10);
  s.step(0.8, 10);
  EXPECT_EQ(s.step(0.95, 10), 0);
  EXPECT_EQ(s.step(0.95, 10), 0);
  EXPECT_EQ(s.step(0.95, 10), 2);
}

TEST(Scaler, EveryGrowthWaitsItsCooldownRefusedOrNot) {
  PoolScenario s;
  s.steps(3, 1.5, 10);
  // The caller stamps also when the cloud refused: nothing for a cooldown of 20 s.
  EXPECT_EQ(s.steps(4, 1.5, 10), 0);
  EXPECT_EQ(s.step(1.5, 10), 2);
}

TEST(Scaler, ShrinksSlowlyAndNeverBelowTheFloor) {
  PoolScenario s;
  s.settings.min_machines = 3;
  EXPECT_EQ(s.steps(12, 0.1, 10, 0), 0);
  EXPECT_EQ(s.step(0.1, 10, 0), -2);
  EXPECT_EQ(s.steps(18, 0.1, 4, 0), 0);
  EXPECT_EQ(s.step(0.1, 4, 0), -1);
  EXPECT_EQ(s.steps(30, 0.1, 3, 0), 0);
}

// Found by the sweep: a job bound to a zone without machines waited for ever, as free room in
// another kept the score between Low and High.
TEST(Scaler, WorkThatWantsMachinesForAWholeDownWindowCountsAsAboveHigh) {
  for (const double score : {0.1, 0.7}) {
    PoolScenario s;
    EXPECT_EQ(s.steps(12, score, 10, 1), 0);
    EXPECT_EQ(s.step(score, 10, 1), 1);
    EXPECT_EQ(s.steps(4, score, 11, 1), 0);  // the cooldown holds for it too
    EXPECT_EQ(s.step(score, 11, 1), 1);
    EXPECT_EQ(s.step(score, 12, 0), 0);
    EXPECT_EQ(s.steps(4, score, 12, 1), 0);  // it counts from anew
  }
}

TEST(Scaler, StepsAndPoolsAreCapped) {
  PoolScenario s;
  s.settings.max_step = 7;
  s.settings.max_machines = 12;
  EXPECT_EQ(s.steps(3, 5, 2, 40), 7);
  EXPECT_EQ(s.steps(5, 5, 9, 40), 3);
  EXPECT_EQ(s.steps(5, 5, 12, 40), 0);
}

// No limit of the scaler's own stands below the fleets in service, and steps grow with the pool.
TEST(Scaler, ByItsDefaultsAPoolReachesFourThousandMachinesInTwoMinutes) {
  constexpr int kWanted = 4200;
  PoolScenario s;
  s.settings = base::ScalerSettings();
  int machines = 0;
  while (machines < kWanted && s.now < 120) machines += s.step(5, machines, kWanted - machines);
  EXPECT_EQ(machines, kWanted);
  // The share does not lift the cap of a small pool.
  PoolScenario small;
  small.settings = base::ScalerSettings();
  int first = 0;
  while (first == 0 && small.now < 120) first = small.step(5, 100, kWanted);
  EXPECT_EQ(first, small.settings.max_step);
}

// Guards against renting again and again, for as long as a machine boots, what is on its way.
TEST(Scaler, WhatBootsAlreadyIsNotRentedAgain) {
  testing::Fleet fleet;
  fleet.add(testing::make_job("j-000001", wire::JobKind::service, 1, 8));
  auto result = fleet.run_pass();
  EXPECT_EQ(read_pools(fleet.cluster, result.shortfall, 0.9).at({"g8", false}).missing, 1);
  fleet.cluster.upsert_machine("n-2", {"g8", "a", false}, 1);
  result = fleet.run_pass();
  EXPECT_EQ(read_pools(fleet.cluster, result.shortfall, 0.9).at({"g8", false}).missing, 0);
}

TEST(Scaler, ANewLeaderRebuildsItsPictureFirst) {
  PoolScenario s;
  for (int i = 0; i < 5; ++i) EXPECT_EQ(s.step(2, 10, 2, false), 0);
  EXPECT_EQ(s.step(2, 10, 2, true), 2);
}

TEST(Scaler, APoolWithNothingReadyAndWorkWaitingIsAboveHigh) {
  testing::Fleet fleet({});
  fleet.add(testing::make_job("j-000001", wire::JobKind::service, 1, 8));
  const auto result = fleet.run_pass();
  const auto readings = read_pools(fleet.cluster, result.shortfall, 0.9);
  EXPECT_GT(readings.at({"g8", false}).score, 0.9);
  EXPECT_EQ(readings.at({"g8", false}).wanted, 1);
}

TEST(Scaler, TheScoreIsBookedRoomPlusWaitingRoom) {
  testing::Fleet fleet({{"n-1", "a"}, {"n-2", "a"}});
  fleet.add(testing::make_job("j-000001", wire::JobKind::service, 1, 8));
  auto result = fleet.run_pass();
  EXPECT_DOUBLE_EQ(read_pools(fleet.cluster, result.shortfall, 0.9).at({"g8", false}).score, 0.5);
  fleet.add(testing::make_job("j-000002", wire::JobKind::service, 2, 8, "blue"));
  result = fleet.run_pass();
  // Both machines full and a third one's worth waiting on two.
  EXPECT_DOUBLE_EQ(read_pools(fleet.cluster, result.shortfall, 0.9).at({"g8", false}).score, 1.5);
}

// Guards against batch work living on ordinary machines for as long as the day has any: rented once
// for a burst, they were never full enough to be missed nor empty enough to go.
TEST(Scaler, WorkForSpotMachinesIsAskedOfTheirPoolWhereItHoldsAnOrdinaryMachineAlone) {
  testing::Fleet fleet({{"n-1", "a"}, {"n-2", "a"}});
  auto batch = testing::make_job("j-000001", wire::JobKind::job_array, 2, 4);
  batch.spec.spot = true;
  fleet.add(std::move(batch));
  EXPECT_EQ(fleet.run_pass().placed, 2);  // both on one machine
  auto readings = read_pools(fleet.cluster, {}, 0.9);
  EXPECT_EQ(readings.at({"g8", true}).missing, 2);  // a machine and its headroom
  EXPECT_GT(readings.at({"g8", true}).score, 0.9);
  // With a replica beside it the ordinary machine stays anyway, and its leftover room is free.
  auto replica = testing::make_job("j-000002", wire::JobKind::service, 1, 4, "blue");
  Job& job = fleet.add(std::move(replica));
  Job& first = *fleet.cluster.job("j-000001");
  fleet.cluster.end_placement(first, first.placements[0], 1);
  fleet.cluster.add_placement(job, 0, 1, first.placements[1].machine, 1);
  readings = read_pools(fleet.cluster, {}, 0.9);
  EXPECT_EQ(readings.at({"g8", true}).missing, 0);
}

}  // namespace
}  // namespace cranklock::sched
