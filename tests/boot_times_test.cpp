// What boots are expected to take, and what becomes of machines that come late or never.
#include "sched/boot_times.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"
#include "sched/scaler.hpp"

namespace cranklock::sched {
namespace {

constexpr double kReady = 45;
const BootTimes::Location kLocation{"g8", "a"};

TEST(BootTimes, FollowWhatWasLatelySeenOfTheTypeAndZone) {
  BootTimes boots;
  for (int i = 0; i < 4; ++i) boots.record_boot(kLocation, 3 * kReady, i);
  EXPECT_EQ(boots.expected_s(kLocation, kReady, 5), 3 * kReady);
  EXPECT_EQ(boots.expected_s({"g8", "b"}, kReady, 5), kReady);
  EXPECT_EQ(boots.expected_s({"g4", "a"}, kReady, 5), kReady);
}

TEST(BootTimes, OneLateMachineProvesNothing) {
  BootTimes boots;
  boots.record_boot(kLocation, 8 * kReady, 0);
  EXPECT_EQ(boots.expected_s(kLocation, kReady, 1), kReady);
  for (int i = 0; i < 4; ++i) boots.record_boot(kLocation, kReady, i);
  EXPECT_EQ(boots.expected_s(kLocation, kReady, 5), kReady);
}

// Guards against boots of a second, as some faults bring: were all others expected to take so
// little, each would be taken for late.
TEST(BootTimes, AreNeverLessThanTheCloudSays) {
  BootTimes boots;
  for (int i = 0; i < 9; ++i) boots.record_boot(kLocation, 1, i);
  EXPECT_EQ(boots.expected_s(kLocation, kReady, 10), kReady);
}

TEST(BootTimes, GoBackWhenTheTroubleEnds) {
  BootTimes boots;
  for (int i = 0; i < 9; ++i) boots.record_boot(kLocation, 3 * kReady, i);
  for (int i = 0; i < 5; ++i) boots.record_boot(kLocation, kReady, 10 + i);
  EXPECT_EQ(boots.expected_s(kLocation, kReady, 20), kReady);
  // The same when nothing was rented meanwhile.
  BootTimes idle;
  for (int i = 0; i < 9; ++i) idle.record_boot(kLocation, 3 * kReady, i);
  EXPECT_EQ(idle.expected_s(kLocation, kReady, 60 * kReady), kReady);
}

// Guards against scale-out requests that go on where nothing comes up.
TEST(BootTimes, OverdueMachinesSpeakAgainstAPlaceAndAreNotWaitedForLonger) {
  BootTimes boots;
  EXPECT_EQ(boots.penalty(kLocation, kReady, 0), 1);
  for (int i = 0; i < 3; ++i) boots.record_overdue(kLocation, i);
  EXPECT_EQ(boots.expected_s(kLocation, kReady, 5), kReady);
  EXPECT_EQ(boots.penalty(kLocation, kReady, 5), 4);
  for (int i = 0; i < 3; ++i) boots.record_boot(kLocation, kReady, 5 + i);
  EXPECT_LT(boots.penalty(kLocation, kReady, 9), 2);
  EXPECT_EQ(boots.penalty(kLocation, kReady, 60 * kReady), 1);
}

/// A fleet without room, and a machine that was rented for it.
struct Rented : testing::Fleet {
  Rented() : Fleet({}) {
    add(testing::make_job("j-000001", wire::JobKind::service, 1, 8, "red"));
    rent("n-9", "a");
  }
  void rent(const std::string& id, const std::string& zone) {
    auto& m = cluster.upsert_machine(id, {"g8", zone, false}, 0);
    m.cloud.provisioned_here = m.cloud.listed = m.cloud.booting = true;
  }
  double ready_s() const { return cluster.type("g8")->ready_s; }
  int wanted(double now) {
    cluster.update_overdue_boots(now);
    int sum = 0;
    for (const auto& [kind, n] : run_pass(now).shortfall.wanted) sum += n;
    return sum;
  }
};

// A machine that boots for twice as long as it should has its place rented elsewhere, once.
TEST(BootTimes, AnOverdueMachinesPlaceIsRentedElsewhereOnce) {
  Rented fleet;
  EXPECT_EQ(fleet.wanted(1.5 * fleet.ready_s()), 0);
  EXPECT_EQ(fleet.wanted(2.1 * fleet.ready_s()), 1);
  fleet.rent("n-10", "b");
  fleet.cluster.machine("n-10")->cloud.provisioned_at = 2.1 * fleet.ready_s();
  EXPECT_EQ(fleet.wanted(2.2 * fleet.ready_s()), 0);
  // The late one comes after all, and is used.
  const double late = 2.3 * fleet.ready_s();
  fleet.cluster.reconcile_heartbeat(
      testing::heartbeat("n-9", 1, 1, {}, testing::kFencingToken, "a"), true, late);
  EXPECT_EQ(fleet.run_pass(late).placed, 1);
  EXPECT_EQ(fleet.cluster.machine("n-9")->tasks.size(), 1U);
}

// A new leader knows machines from the list, which have been up for long and have not reported to
// it yet: they are not late, and nothing speaks against their zone.
TEST(BootTimes, MachinesThatRunAlreadyAreNotOverdue) {
  Rented fleet;
  auto& machine = *fleet.cluster.machine("n-9");
  machine.cloud.provisioned_here = machine.cloud.booting = false;
  machine.cloud.provisioned_at = -20 * fleet.ready_s();
  EXPECT_EQ(fleet.wanted(1), 0);
  EXPECT_FALSE(machine.cloud.overdue);
  EXPECT_EQ(fleet.cluster.boot_penalty(*fleet.cluster.type("g8"), "a", 1), 1);
}

// Where machines lately took long, they are waited for longer, and others are rented elsewhere.
TEST(BootTimes, ABadZoneIsPassedOverForOneThatFitsAsWell) {
  Rented fleet;
  const double slow = 4 * fleet.ready_s();
  for (int i = 0; i < 3; ++i) {
    const auto id = "n-2" + std::to_string(i);
    fleet.rent(id, "a");
    fleet.cluster.reconcile_heartbeat(testing::heartbeat(id, 1, 1, {}, testing::kFencingToken, "a"),
                                      true, slow);
    fleet.cluster.remove_machine(id, slow);
  }
  EXPECT_GT(fleet.cluster.expected_boot(*fleet.cluster.type("g8"), "a", slow), fleet.ready_s());
  EXPECT_EQ(fleet.wanted(slow + 1), 0);  // n-9 has the time that the others took
  fleet.add(testing::make_job("j-000002", wire::JobKind::service, 1, 8, "red"));
  const auto result = fleet.run_pass(slow + 2);
  ASSERT_EQ(result.shortfall.wanted.size(), 1U);
  EXPECT_EQ(result.shortfall.wanted.begin()->first.zone, "b");
}

}  // namespace
}  // namespace cranklock::sched
