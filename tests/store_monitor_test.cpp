// What the store monitor reports from polling the leader key.
#include "control/store_monitor.hpp"

#include <gtest/gtest.h>

#include "control/record_keys.hpp"
#include "control/small_records.hpp"
#include "services_fixture.hpp"

namespace cranklock::control {
namespace {

struct StoreMonitorTest : ::testing::Test, testing::ServicesFixture {
  StoreMonitor monitor{services};
  net::Scope scope;

  StoreMonitorTest() {
    reactor.run_until(100);
    scope.spawn(monitor.run());
  }
};

TEST_F(StoreMonitorTest, ReachesTheStoreWhileItAnswers) {
  EXPECT_FALSE(monitor.ever_reached_store());
  run_for(0.1);
  EXPECT_TRUE(monitor.ever_reached_store());
  EXPECT_TRUE(monitor.reaches_store());

  transport.store_reachable = false;
  run_for(5);
  EXPECT_FALSE(monitor.reaches_store());
  EXPECT_TRUE(monitor.ever_reached_store());

  transport.store_reachable = true;
  run_for(0.5);
  EXPECT_TRUE(monitor.reaches_store());
}

TEST_F(StoreMonitorTest, NamesTheLeaderWhileItsKeyExists) {
  run_for(0.1);
  EXPECT_EQ(monitor.leader(), "");

  store_value(kLeaderKey, write_leader({"n9", "nonce"}));
  run_for(1.1);
  EXPECT_EQ(monitor.leader(), "n9");
  const auto fencing_token = state.values.at(kLeaderKey).revision;
  EXPECT_EQ(monitor.leader_fencing_token(), fencing_token);

  state.values.erase(kLeaderKey);
  run_for(1.1);
  EXPECT_EQ(monitor.leader(), "");
  EXPECT_EQ(monitor.leader_fencing_token(), fencing_token);
}

}  // namespace
}  // namespace cranklock::control
