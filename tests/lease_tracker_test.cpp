// Certain expiry of agent leases.
#include "sched/lease_tracker.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::sched {
namespace {

constexpr double kLeaderSince = 100;

struct LeaseTest : ::testing::Test {
  base::Settings settings = testing::small_settings();
  LeaseTracker leases{settings, kLeaderSince};
  Machine machine;
  LeaseTest() {
    machine.agent.token_acknowledged = true;
    machine.lease.last_response = kLeaderSince;
  }
};

TEST_F(LeaseTest, IsTimedFromTheLastResponseWithAMarginForDrift) {
  EXPECT_EQ(leases.latest_possible_response(machine, 105), kLeaderSince);
  EXPECT_GT(leases.lease_upper_bound_s(), settings.lease_s * (1 + 2 * base::kMaxClockDrift));
  const double end = kLeaderSince + leases.lease_upper_bound_s();
  EXPECT_FALSE(leases.has_expired(machine, end));
  EXPECT_TRUE(leases.has_expired(machine, end + 0.001));
}

// Guards against expiring a lease that a former leader may still have renewed.
TEST_F(LeaseTest, WithoutThisLeadersTokenAFormerLeadersLastResponseCounts) {
  machine.agent.token_acknowledged = false;
  const double latest = leases.latest_possible_response(machine, 101);
  EXPECT_GE(latest, kLeaderSince + base::response_window_s(settings));
  EXPECT_LT(latest, kLeaderSince + base::response_window_s(settings) + 1);
}

// Guards against starting a task again while a forwarder in an unreachable zone may still renew
// the lease of its agent.
TEST_F(LeaseTest, AnUnreachableForwarderMayRespondUntilItsDelegationEnds) {
  machine.lease.delegated_until["n1"] = 125;
  EXPECT_EQ(leases.latest_possible_response(machine, 110), 110);
  EXPECT_EQ(leases.latest_possible_response(machine, 140), 125);
}

TEST_F(LeaseTest, AReachableForwarderProvesItsLastResponse) {
  machine.lease.delegated_until["n1"] = 125;
  leases.record_forwarder("n1", 1, 103, -1, 101);
  EXPECT_TRUE(leases.is_forwarder_reachable("n1", 102.9));
  EXPECT_FALSE(leases.is_forwarder_reachable("n1", 103));
  EXPECT_FALSE(leases.is_forwarder_reachable("n2", 102));
  // Responses before its first peer heartbeat are unknown.
  EXPECT_EQ(leases.latest_possible_response(machine, 102), 101);
  leases.record_forwarder("n1", 1, 113, 108, 111);
  EXPECT_EQ(leases.latest_possible_response(machine, 112), 108);
  // A stale copy does not lower the known bounds.
  leases.record_forwarder("n1", 1, 103, -1, 112);
  EXPECT_EQ(leases.latest_possible_response(machine, 112), 108);
}

// Guards against applying the values of a restarted forwarder to responses that it sent before its
// restart.
TEST_F(LeaseTest, ANewIncarnationOfAForwarderDoesNotCoverTheEarlierOne) {
  machine.lease.delegated_until["n1"] = 125;
  leases.record_forwarder("n1", 1, 103, -1, 101);
  leases.record_forwarder("n1", 2, 116, -1, 114);
  EXPECT_EQ(leases.latest_possible_response(machine, 115), 114);
}

}  // namespace
}  // namespace cranklock::sched
