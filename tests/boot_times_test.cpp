// Expected boot times, and the handling of machines that report late or never.
#include "sched/boot_times.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"
#include "sched/scaler.hpp"

namespace cranklock::sched {
namespace {

constexpr double kReadyS = 45;
const BootTimes::Location kLocation{"g8", "a"};

TEST(BootTimes, ExpectedTimeFollowsRecentBootsOfTheTypeAndZone) {
  BootTimes boots;
  for (int i = 0; i < 4; ++i) boots.record_boot(kLocation, 3 * kReadyS, i);
  EXPECT_EQ(boots.expected_s(kLocation, kReadyS, 5), 3 * kReadyS);
  EXPECT_EQ(boots.expected_s({"g8", "b"}, kReadyS, 5), kReadyS);
  EXPECT_EQ(boots.expected_s({"g4", "a"}, kReadyS, 5), kReadyS);
}

TEST(BootTimes, OneLateMachineDoesNotChangeTheExpectedTime) {
  BootTimes boots;
  boots.record_boot(kLocation, 8 * kReadyS, 0);
  EXPECT_EQ(boots.expected_s(kLocation, kReadyS, 1), kReadyS);
  for (int i = 0; i < 4; ++i) boots.record_boot(kLocation, kReadyS, i);
  EXPECT_EQ(boots.expected_s(kLocation, kReadyS, 5), kReadyS);
}

// Guards against a fault that records boots of one second: if that became the expected time, every
// normal boot would count as overdue.
TEST(BootTimes, ExpectedTimeIsAtLeastTheTimeStatedByTheCloud) {
  BootTimes boots;
  for (int i = 0; i < 9; ++i) boots.record_boot(kLocation, 1, i);
  EXPECT_EQ(boots.expected_s(kLocation, kReadyS, 10), kReadyS);
}

TEST(BootTimes, ExpectedTimeRecoversAfterADisturbance) {
  BootTimes boots;
  for (int i = 0; i < 9; ++i) boots.record_boot(kLocation, 3 * kReadyS, i);
  for (int i = 0; i < 5; ++i) boots.record_boot(kLocation, kReadyS, 10 + i);
  EXPECT_EQ(boots.expected_s(kLocation, kReadyS, 20), kReadyS);
  // Also without any scale-out in the meantime.
  BootTimes idle;
  for (int i = 0; i < 9; ++i) idle.record_boot(kLocation, 3 * kReadyS, i);
  EXPECT_EQ(idle.expected_s(kLocation, kReadyS, 60 * kReadyS), kReadyS);
}

// Guards against repeated scale-out in a zone where no machine becomes ready.
TEST(BootTimes, OverdueMachinesRaiseThePenaltyButNotTheExpectedTime) {
  BootTimes boots;
  EXPECT_EQ(boots.penalty(kLocation, kReadyS, 0), 1);
  for (int i = 0; i < 3; ++i) boots.record_overdue(kLocation, i);
  EXPECT_EQ(boots.expected_s(kLocation, kReadyS, 5), kReadyS);
  EXPECT_EQ(boots.penalty(kLocation, kReadyS, 5), 4);
  for (int i = 0; i < 3; ++i) boots.record_boot(kLocation, kReadyS, 5 + i);
  EXPECT_LT(boots.penalty(kLocation, kReadyS, 9), 2);
  EXPECT_EQ(boots.penalty(kLocation, kReadyS, 60 * kReadyS), 1);
}

/// A job that needs one machine, and a booting machine that was provisioned for it.
struct ProvisionedFleet : testing::Fleet {
  ProvisionedFleet() : Fleet({}) {
    add(testing::make_job("j-000001", wire::JobKind::service, 1, 8, "red"));
    provision("n-9", "a");
  }
  void provision(const std::string& id, const std::string& zone) {
    auto& machine = cluster.upsert_machine(id, {"g8", zone, false}, 0);
    machine.cloud.provisioned_by_this_leader = machine.cloud.listed = machine.cloud.booting = true;
  }
  double ready_s() const { return cluster.type("g8")->ready_s; }
  int requested_machines(double now) {
    cluster.update_overdue_boots(now);
    int total = 0;
    for (const auto& [kind, count] : run_pass(now).shortfall.wanted) total += count;
    return total;
  }
};

// A machine whose boot takes twice the expected time is replaced by a scale-out in another zone,
// exactly once.
TEST(BootTimes, AnOverdueMachineIsReplacedOnce) {
  ProvisionedFleet fleet;
  EXPECT_EQ(fleet.requested_machines(1.5 * fleet.ready_s()), 0);
  EXPECT_EQ(fleet.requested_machines(2.1 * fleet.ready_s()), 1);
  fleet.provision("n-10", "b");
  fleet.cluster.machine("n-10")->cloud.provisioned_at = 2.1 * fleet.ready_s();
  EXPECT_EQ(fleet.requested_machines(2.2 * fleet.ready_s()), 0);
  // The overdue machine reports after all, and is used.
  const double late_s = 2.3 * fleet.ready_s();
  fleet.cluster.reconcile_heartbeat(
      testing::heartbeat("n-9", 1, 1, {}, testing::kFencingToken, "a"), true, late_s);
  EXPECT_EQ(fleet.run_pass(late_s).placed, 1);
  EXPECT_EQ(fleet.cluster.machine("n-9")->tasks.size(), 1U);
}

// A new leader adds running machines from the cloud's list before they report to it. They are not
// overdue, and their zone gets no penalty.
TEST(BootTimes, RunningMachinesAreNotOverdue) {
  ProvisionedFleet fleet;
  auto& machine = *fleet.cluster.machine("n-9");
  machine.cloud.provisioned_by_this_leader = machine.cloud.booting = false;
  machine.cloud.provisioned_at = -20 * fleet.ready_s();
  EXPECT_EQ(fleet.requested_machines(1), 0);
  EXPECT_FALSE(machine.cloud.overdue);
  EXPECT_EQ(fleet.cluster.boot_penalty(*fleet.cluster.type("g8"), "a", 1), 1);
}

// In a zone with slow recent boots the expected time is longer, and new machines are requested in
// another zone.
TEST(BootTimes, AZoneWithSlowBootsIsAvoided) {
  ProvisionedFleet fleet;
  const double slow_s = 4 * fleet.ready_s();
  for (int i = 0; i < 3; ++i) {
    const auto id = "n-2" + std::to_string(i);
    fleet.provision(id, "a");
    fleet.cluster.reconcile_heartbeat(testing::heartbeat(id, 1, 1, {}, testing::kFencingToken, "a"),
                                      true, slow_s);
    fleet.cluster.remove_machine(id, slow_s);
  }
  EXPECT_GT(fleet.cluster.expected_boot_s(*fleet.cluster.type("g8"), "a", slow_s), fleet.ready_s());
  EXPECT_EQ(fleet.requested_machines(slow_s + 1), 0);  // n-9 is not overdue yet
  fleet.add(testing::make_job("j-000002", wire::JobKind::service, 1, 8, "red"));
  const auto result = fleet.run_pass(slow_s + 2);
  ASSERT_EQ(result.shortfall.wanted.size(), 1U);
  EXPECT_EQ(result.shortfall.wanted.begin()->first.zone, "b");
}

}  // namespace
}  // namespace cranklock::sched
