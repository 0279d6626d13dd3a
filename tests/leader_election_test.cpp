// How a controller acquires, keeps and relinquishes the leadership.
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
  net::Scope scope;
  double lease_ttl_s = LeaderLease::lease_ttl_s(settings);

  LeaderElectionTest() { reactor.run_until(100); }
  void start() { scope.spawn(election.run()); }
  void receive_peer_heartbeat(std::uint64_t fencing_token) {
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

TEST_F(LeaderElectionTest, DoesNotOverwriteAnotherControllersKey) {
  store_value(kLeaderKey, write_leader({"n9", "nonce"}));
  start();
  run_for(3 * lease_ttl_s);

  EXPECT_FALSE(election.leads());
  EXPECT_EQ(election.fencing_token(), 0u);
  EXPECT_EQ(monitor.leader(), "n9");
}

TEST_F(LeaderElectionTest, KeepsTheLeadershipByRenewals) {
  start();
  run_for(0.5);
  const auto fencing_token = election.fencing_token();
  run_for(5 * lease_ttl_s);

  EXPECT_TRUE(election.leads());
  EXPECT_EQ(election.fencing_token(), fencing_token);
}

TEST_F(LeaderElectionTest, StepsDownForAPeerWithAHigherFencingToken) {
  start();
  run_for(0.5);
  const auto fencing_token = election.fencing_token();

  receive_peer_heartbeat(fencing_token);
  EXPECT_FALSE(election.term()->is_lost());
  receive_peer_heartbeat(fencing_token + 1);

  ASSERT_NE(election.term(), nullptr);  // destroyed by the election's own coroutine
  EXPECT_TRUE(election.term()->is_lost());
  run_for(0.01);
  EXPECT_FALSE(election.leads());
}

TEST_F(LeaderElectionTest, EndsTheTermWhenTheLeaseHasExpired) {
  start();
  run_for(0.5);
  const auto fencing_token = election.fencing_token();

  transport.store_reachable = false;
  run_for(2 * lease_ttl_s);
  EXPECT_TRUE(election.leads());  // no renewal was refused
  transport.store_reachable = true;
  run_for(2 * lease_ttl_s);

  ASSERT_TRUE(election.leads());
  EXPECT_GT(election.fencing_token(), fencing_token);
}

TEST_F(LeaderElectionTest, AbstainsIfRegionsShareQuotaButTheSettingsNameNone) {
  store_value(regions::kBootstrapRegionKey, "{}");
  start();
  run_for(1.9 * settings.lease_s);

  EXPECT_FALSE(election.leads());
  EXPECT_EQ(election.term(), nullptr);
  EXPECT_FALSE(state.values.contains(kLeaderKey));
}

}  // namespace
}  // namespace cranklock::control
