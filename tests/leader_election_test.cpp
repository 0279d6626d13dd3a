// How a controller acquires the leadership, keeps it and gives it up.
#include "control/leader_election.hpp"

#include <gtest/gtest.h>

#include "control/record_keys.hpp"
#include "control/small_records.hpp"
#include "regions/records.hpp"
#include "services_fixture.hpp"

namespace cranklock::control {
namespace {

struct LeaderElectionTest : ::testing::Test, testing::ServicesFixture {
  static constexpr double kMaxPeerAge = 2;

  StoreMonitor monitor{services};
  peer::Roster roster{kMaxPeerAge};
  LeaderElection election{services, monitor, roster};
  net::Scope routines;
  double lease_life = LeaderLease::lease_life(settings);

  LeaderElectionTest() { reactor.run_until(100); }
  void start() { routines.spawn(election.run()); }
  void hear_peer(std::uint64_t fencing_token) {
    const peer::PeerHeartbeat peer_heartbeat{"n9", fencing_token, true, false};
    roster.on_peer_heartbeat(peer_heartbeat, reactor.now());
    election.on_peer_heartbeat(peer_heartbeat);
  }
};

TEST_F(LeaderElectionTest, TheRevisionOfTheLeaderKeyIsTheFencingToken) {
  start();
  run_for(0.5);

  ASSERT_TRUE(election.leads());
  EXPECT_EQ(election.fencing_token(), state.values.at(kLeaderKey).revision);
  EXPECT_EQ(monitor.leader(), settings.name);
}

TEST_F(LeaderElectionTest, LeavesAnotherControllersKeyAlone) {
  store_value(kLeaderKey, write_leader({"n9", "nonce"}));
  start();
  run_for(3 * lease_life);

  EXPECT_FALSE(election.leads());
  EXPECT_EQ(election.fencing_token(), 0u);
  EXPECT_EQ(monitor.leader(), "n9");
}

TEST_F(LeaderElectionTest, KeepsTheLeadershipByRenewals) {
  start();
  run_for(0.5);
  const auto fencing_token = election.fencing_token();
  run_for(5 * lease_life);

  EXPECT_TRUE(election.leads());
  EXPECT_EQ(election.fencing_token(), fencing_token);
}

TEST_F(LeaderElectionTest, StepsDownForAPeerWithAHigherFencingToken) {
  start();
  run_for(0.5);
  const auto fencing_token = election.fencing_token();

  hear_peer(fencing_token);
  EXPECT_FALSE(election.term()->is_lost());
  hear_peer(fencing_token + 1);

  ASSERT_NE(election.term(), nullptr);  // destroyed by the election's own routine
  EXPECT_TRUE(election.term()->is_lost());
  run_for(0.01);
  EXPECT_FALSE(election.leads());
}

TEST_F(LeaderElectionTest, EndsTheTermWhenTheLeaseHasEnded) {
  start();
  run_for(0.5);
  const auto fencing_token = election.fencing_token();

  transport.store_reachable = false;
  run_for(2 * lease_life);
  EXPECT_TRUE(election.leads());  // nobody has refused a renewal
  transport.store_reachable = true;
  run_for(2 * lease_life);

  ASSERT_TRUE(election.leads());
  EXPECT_GT(election.fencing_token(), fencing_token);
}

TEST_F(LeaderElectionTest, AbstainsWhereRegionsShareQuotaAndTheSettingsNameNone) {
  store_value(regions::kBootstrapRegionKey, "{}");
  start();
  run_for(1.9 * settings.lease_s);

  EXPECT_FALSE(election.leads());
  EXPECT_EQ(election.term(), nullptr);
  EXPECT_FALSE(state.values.contains(kLeaderKey));
}

}  // namespace
}  // namespace cranklock::control
