#include "sched/scaler.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::sched {
namespace {

/// The initial values of docs/design.md, independent of the current defaults.
base::ScalerSettings initial_settings() {
  base::ScalerSettings settings;
  settings.interval_s = 5;
  settings.high_score = 0.9, settings.low_score = 0.5;
  settings.scale_out_window_s = 10, settings.scale_in_window_s = 60;
  settings.scale_out_cooldown_s = 20, settings.scale_in_cooldown_s = 90;
  settings.scale_in_step_machines = 1, settings.scale_in_step_share = 0.2,
  settings.max_scale_out_step_machines = 50;
  settings.min_machines = 0, settings.max_machines = 100;
  return settings;
}

struct PoolScenario {
  base::ScalerSettings settings = initial_settings();
  Pool pool{settings};
  double now = 0;
  int step(double score, int machines, int wanted = 2, bool state_rebuilt = true) {
    now += settings.interval_s;
    const auto wall = static_cast<std::int64_t>(1'000'000 + now * 1000);
    const int change = pool.decide({score, machines, wanted, 0}, state_rebuilt, wall, now);
    if (change != 0) pool.record_scaling(machines + change, wall);
    return change;
  }
  int steps(int n, double score, int machines, int wanted = 2) {
    int sum = 0;
    for (int i = 0; i < n; ++i) sum += step(score, machines, wanted);
    return sum;
  }
};

TEST(ScoreHistory, AWindowCountsOnlyOnceTheHistoryCoversIt) {
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

TEST(ScoreHistory, ScoresOlderThanTheWindowDoNotCount) {
  ScoreHistory history;
  history.add(0.1, 0);
  history.add(0.95, 5);
  history.add(0.95, 10);
  EXPECT_TRUE(history.stayed_above(0.9, 5, 10));
  EXPECT_FALSE(history.stayed_above(0.9, 10, 10));
  history.discard_before(6);
  EXPECT_FALSE(history.stayed_above(0.9, 5, 10));  // no longer covered
}

TEST(Scaler, ScalesOutOnlyWhenTheWholeUpWindowWasHigh) {
  PoolScenario scenario;
  EXPECT_EQ(scenario.step(0.95, 10), 0);
  EXPECT_EQ(scenario.step(0.95, 10), 0);
  EXPECT_EQ(scenario.step(0.95, 10), 2);
}

TEST(Scaler, OneLowReadingInTheWindowPreventsScaleOut) {
  PoolScenario scenario;
  scenario.step(0.95, 10);
  scenario.step(0.8, 10);
  EXPECT_EQ(scenario.step(0.95, 10), 0);
  EXPECT_EQ(scenario.step(0.95, 10), 0);
  EXPECT_EQ(scenario.step(0.95, 10), 2);
}

TEST(Scaler, EveryScaleOutWaitsForACooldownRefusedOrNot) {
  PoolScenario scenario;
  scenario.steps(3, 1.5, 10);
  // The caller also records refused scale-outs: nothing is scaled during the cooldown of 20 s.
  EXPECT_EQ(scenario.steps(4, 1.5, 10), 0);
  EXPECT_EQ(scenario.step(1.5, 10), 2);
}

TEST(Scaler, ScalesInSlowlyAndNeverBelowTheMinimum) {
  PoolScenario scenario;
  scenario.settings.min_machines = 3;
  EXPECT_EQ(scenario.steps(12, 0.1, 10, 0), 0);
  EXPECT_EQ(scenario.step(0.1, 10, 0), -2);
  EXPECT_EQ(scenario.steps(18, 0.1, 4, 0), 0);
  EXPECT_EQ(scenario.step(0.1, 4, 0), -1);
  EXPECT_EQ(scenario.steps(30, 0.1, 3, 0), 0);
}

// Guards against a job that is bound to a zone without machines waiting forever, because free
// resources in another zone keep the score between `low_score` and `high_score`. Found by the
// sweep.
TEST(Scaler, DemandThatLastsAWholeDownWindowCountsAsAboveHigh) {
  for (const double score : {0.1, 0.7}) {
    PoolScenario scenario;
    EXPECT_EQ(scenario.steps(12, score, 10, 1), 0);
    EXPECT_EQ(scenario.step(score, 10, 1), 1);
    EXPECT_EQ(scenario.steps(4, score, 11, 1), 0);  // the cooldown applies here too
    EXPECT_EQ(scenario.step(score, 11, 1), 1);
    EXPECT_EQ(scenario.step(score, 12, 0), 0);
    EXPECT_EQ(scenario.steps(4, score, 12, 1), 0);  // the window starts anew
  }
}

TEST(Scaler, StepsAndPoolsAreCapped) {
  PoolScenario scenario;
  scenario.settings.max_scale_out_step_machines = 7;
  scenario.settings.max_machines = 12;
  EXPECT_EQ(scenario.steps(3, 5, 2, 40), 7);
  EXPECT_EQ(scenario.steps(5, 5, 9, 40), 3);
  EXPECT_EQ(scenario.steps(5, 5, 12, 40), 0);
}

// Guards against built-in limits below the size of fleets in service: steps grow with the pool.
TEST(Scaler, WithDefaultSettingsAPoolReachesFourThousandMachinesInTwoMinutes) {
  constexpr int kWanted = 4200;
  PoolScenario scenario;
  scenario.settings = base::ScalerSettings();
  int machines = 0;
  while (machines < kWanted && scenario.now < 120)
    machines += scenario.step(5, machines, kWanted - machines);
  EXPECT_EQ(machines, kWanted);
  // The relative step does not raise the cap for a small pool.
  PoolScenario small;
  small.settings = base::ScalerSettings();
  int first = 0;
  while (first == 0 && small.now < 120) first = small.step(5, 100, kWanted);
  EXPECT_EQ(first, small.settings.max_scale_out_step_machines);
}

// Guards against requesting the same machines again and again while they boot.
TEST(Scaler, BootingMachinesAreNotRequestedAgain) {
  testing::Fleet fleet;
  fleet.add(testing::make_job("j-000001", wire::JobKind::service, 1, 8));
  auto result = fleet.run_pass();
  EXPECT_EQ(read_pools(fleet.cluster, result.shortfall, 0.9).at({"g8", false}).deficit, 1);
  fleet.cluster.upsert_machine("n-2", {"g8", "a", false}, 1);
  result = fleet.run_pass();
  EXPECT_EQ(read_pools(fleet.cluster, result.shortfall, 0.9).at({"g8", false}).deficit, 0);
}

TEST(Scaler, ANewLeaderDoesNotScaleBeforeItsStateIsRebuilt) {
  PoolScenario scenario;
  for (int i = 0; i < 5; ++i) EXPECT_EQ(scenario.step(2, 10, 2, false), 0);
  EXPECT_EQ(scenario.step(2, 10, 2, true), 2);
}

TEST(Scaler, APoolWithoutReadyMachinesButWithWaitingTasksIsAboveHigh) {
  testing::Fleet fleet({});
  fleet.add(testing::make_job("j-000001", wire::JobKind::service, 1, 8));
  const auto result = fleet.run_pass();
  const auto readings = read_pools(fleet.cluster, result.shortfall, 0.9);
  EXPECT_GT(readings.at({"g8", false}).score, 0.9);
  EXPECT_EQ(readings.at({"g8", false}).wanted, 1);
}

TEST(Scaler, TheScoreIsAllocatedPlusRequestedResources) {
  testing::Fleet fleet({{"n-1", "a"}, {"n-2", "a"}});
  fleet.add(testing::make_job("j-000001", wire::JobKind::service, 1, 8));
  auto result = fleet.run_pass();
  EXPECT_DOUBLE_EQ(read_pools(fleet.cluster, result.shortfall, 0.9).at({"g8", false}).score, 0.5);
  fleet.add(testing::make_job("j-000002", wire::JobKind::service, 2, 8, "blue"));
  result = fleet.run_pass();
  // Both machines are full, and waiting tasks would fill one more: (2 + 1) / 2.
  EXPECT_DOUBLE_EQ(read_pools(fleet.cluster, result.shortfall, 0.9).at({"g8", false}).score, 1.5);
}

// Guards against batch jobs that keep ordinary machines for as long as batch work arrives: machines
// rented once for a burst were neither full enough to be needed nor empty enough to be removed.
TEST(Scaler, SpotJobsAloneOnAnOrdinaryMachineAreRequestedFromTheSpotPool) {
  testing::Fleet fleet({{"n-1", "a"}, {"n-2", "a"}});
  auto batch = testing::make_job("j-000001", wire::JobKind::job_array, 2, 4);
  batch.spec.spot = true;
  fleet.add(std::move(batch));
  EXPECT_EQ(fleet.run_pass().placed, 2);  // both on one machine
  auto readings = read_pools(fleet.cluster, {}, 0.9);
  EXPECT_EQ(readings.at({"g8", true}).deficit, 2);  // one machine plus headroom
  EXPECT_GT(readings.at({"g8", true}).score, 0.9);
  // With a replica on it the ordinary machine is kept anyway, so the batch task on it costs
  // nothing extra and is not requested from the spot pool.
  auto replica = testing::make_job("j-000002", wire::JobKind::service, 1, 4, "blue");
  Job& job = fleet.add(std::move(replica));
  Job& first = *fleet.cluster.job("j-000001");
  fleet.cluster.end_placement(first, first.placements[0], sched::EndProof::exit_reported, 1);
  fleet.cluster.add_placement(job, 0, 1, first.placements[1].machine, 1);
  readings = read_pools(fleet.cluster, {}, 0.9);
  EXPECT_EQ(readings.at({"g8", true}).deficit, 0);
}

}  // namespace
}  // namespace cranklock::sched
