// Detection of zones that are unreachable from this leader.
#include "sched/zone_reachability.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::sched {
namespace {

using ZoneNames = std::vector<std::string>;

struct ZoneTest : ::testing::Test {
  base::Settings settings = testing::small_settings();
  ChangeSignal changes;
  MachineInventory machines{changes};
  ZoneReachability zones{settings, machines, changes};

  ZoneTest() {
    for (const char* id : {"n-1", "n-2", "n-3"}) record_heartbeat(id, "a", 0);
    record_heartbeat("n-4", "b", 0);
    changes.take();
  }
  Machine& record_heartbeat(const std::string& id, const std::string& zone, double now) {
    Machine& machine = machines.upsert(id, {"g8", zone, false}, now);
    machine.agent.heartbeat_received = true;
    machine.agent.last_heartbeat = now;
    return machine;
  }
};

TEST_F(ZoneTest, AZoneIsUnreachableWhenOnlyItsAgentsAreSilent) {
  EXPECT_EQ(zones.update(5), ZoneNames{});  // no agent reports: this node is cut off
  record_heartbeat("n-4", "b", 5);
  EXPECT_EQ(zones.update(5), ZoneNames{"a"});
  EXPECT_TRUE(changes.take());
  EXPECT_TRUE(zones.is_unreachable("a"));
  EXPECT_FALSE(zones.is_unreachable("b"));
  EXPECT_TRUE(zones.any_unreachable());
  EXPECT_EQ(zones.update(5), ZoneNames{});  // returned only once
  EXPECT_EQ(machines.find("n-1")->lease.grace_until, 5 + 3 * settings.cancel_s);
  EXPECT_EQ(machines.find("n-4")->lease.grace_until, 0);
}

TEST_F(ZoneTest, AZoneIsReachableAfterOneHeartbeatAndItsOtherAgentsGetALeaseGrace) {
  record_heartbeat("n-4", "b", 5);
  zones.update(5);
  changes.take();
  record_heartbeat("n-2", "a", 6);
  EXPECT_EQ(zones.update(6), ZoneNames{});
  EXPECT_TRUE(changes.take());
  EXPECT_FALSE(zones.any_unreachable());
  EXPECT_EQ(machines.find("n-1")->lease.grace_until, 6 + 2 * settings.lease_s);
}

TEST_F(ZoneTest, AZoneIsUnreachableForALimitedTime) {
  record_heartbeat("n-4", "b", 5);
  zones.update(5);
  const double end = 5 + 3 * settings.cancel_s;
  record_heartbeat("n-4", "b", end);
  zones.update(end);
  EXPECT_TRUE(zones.is_unreachable("a"));
  zones.update(end + 0.1);
  EXPECT_FALSE(zones.is_unreachable("a"));
}

TEST_F(ZoneTest, FewSilentAgentsDoNotMakeAZoneUnreachable) {
  machines.find("n-3")->cloud.terminating = true;  // does not count
  record_heartbeat("n-4", "b", 5);
  EXPECT_EQ(zones.update(5), ZoneNames{});
  machines.find("n-3")->cloud.terminating = false;
  machines.find("n-3")->cloud.failed = true;
  EXPECT_EQ(zones.update(5), ZoneNames{});
}

// After a failover while a zone is unreachable, the cloud's list names machines that never report
// to the new leader.
TEST_F(ZoneTest, ListedMachinesThatNeverReportCountFromWhenTheyBecameKnown) {
  for (const char* id : {"n-5", "n-6", "n-7"}) {
    machines.upsert(id, {"g8", "c", false}, 4).cloud.listed = true;
  }
  for (const char* id : {"n-1", "n-2", "n-3", "n-4"}) machines.find(id)->agent.last_heartbeat = 6;
  EXPECT_EQ(zones.update(6.9), ZoneNames{});
  for (const char* id : {"n-1", "n-2", "n-3", "n-4"}) machines.find(id)->agent.last_heartbeat = 7;
  EXPECT_EQ(zones.update(7), ZoneNames{"c"});
}

TEST_F(ZoneTest, BootingMachinesAreNotExpectedToReport) {
  for (const char* id : {"n-5", "n-6", "n-7"}) {
    Machine& machine = machines.upsert(id, {"g8", "c", false}, 0);
    machine.cloud.listed = true;
    machine.cloud.booting = true;
  }
  record_heartbeat("n-1", "a", 5);
  record_heartbeat("n-4", "b", 5);
  EXPECT_EQ(zones.update(5), ZoneNames{});
}

}  // namespace
}  // namespace cranklock::sched
