// Which zones are cut off from this leader.
#include "sched/zone_reachability.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::sched {
namespace {

using Names = std::vector<std::string>;

struct ZoneTest : ::testing::Test {
  base::Settings settings = testing::small_settings();
  ChangeSignal changes;
  MachineInventory machines{changes};
  ZoneReachability zones{settings, machines, changes};

  ZoneTest() {
    for (const char* id : {"n-1", "n-2", "n-3"}) heard(id, "a", 0);
    heard("n-4", "b", 0);
    changes.take();
  }
  Machine& heard(const std::string& id, const std::string& zone, double now) {
    Machine& machine = machines.upsert(id, {"g8", zone, false}, now);
    machine.agent.heartbeat_received = true;
    machine.agent.last_heartbeat = now;
    return machine;
  }
};

TEST_F(ZoneTest, AZoneIsUnreachableWhenItGoesQuietAndOthersDoNot) {
  EXPECT_EQ(zones.update(5), Names{});  // nobody is heard: this node is cut off
  heard("n-4", "b", 5);
  EXPECT_EQ(zones.update(5), Names{"a"});
  EXPECT_TRUE(changes.take());
  EXPECT_TRUE(zones.is_unreachable("a"));
  EXPECT_FALSE(zones.is_unreachable("b"));
  EXPECT_TRUE(zones.any_unreachable());
  EXPECT_EQ(zones.update(5), Names{});  // it is told once
  EXPECT_EQ(machines.find("n-1")->lease.grace_until, 5 + 3 * settings.cancel_s);
  EXPECT_EQ(machines.find("n-4")->lease.grace_until, 0);
}

TEST_F(ZoneTest, OneAgentBringsItsZoneBackAndTheOthersGetTimeToFollow) {
  heard("n-4", "b", 5);
  zones.update(5);
  changes.take();
  heard("n-2", "a", 6);
  EXPECT_EQ(zones.update(6), Names{});
  EXPECT_TRUE(changes.take());
  EXPECT_FALSE(zones.any_unreachable());
  EXPECT_EQ(machines.find("n-1")->lease.grace_until, 6 + 2 * settings.lease_s);
}

TEST_F(ZoneTest, AnUnreachableZoneIsNotWaitedForIndefinitely) {
  heard("n-4", "b", 5);
  zones.update(5);
  const double end = 5 + 3 * settings.cancel_s;
  heard("n-4", "b", end);
  zones.update(end);
  EXPECT_TRUE(zones.is_unreachable("a"));
  zones.update(end + 0.1);
  EXPECT_FALSE(zones.is_unreachable("a"));
}

TEST_F(ZoneTest, FewAgentsMayGoQuietByChance) {
  machines.find("n-3")->cloud.terminating = true;  // does not count
  heard("n-4", "b", 5);
  EXPECT_EQ(zones.update(5), Names{});
  machines.find("n-3")->cloud.terminating = false;
  machines.find("n-3")->cloud.failed = true;
  EXPECT_EQ(zones.update(5), Names{});
}

// A new leader may take over while a zone is cut off: the list names machines that it never hears.
TEST_F(ZoneTest, ListedMachinesThatNeverReportCountFromWhenTheyBecameKnown) {
  for (const char* id : {"n-5", "n-6", "n-7"}) {
    machines.upsert(id, {"g8", "c", false}, 4).cloud.listed = true;
  }
  for (const char* id : {"n-1", "n-2", "n-3", "n-4"}) machines.find(id)->agent.last_heartbeat = 6;
  EXPECT_EQ(zones.update(6.9), Names{});
  for (const char* id : {"n-1", "n-2", "n-3", "n-4"}) machines.find(id)->agent.last_heartbeat = 7;
  EXPECT_EQ(zones.update(7), Names{"c"});
}

TEST_F(ZoneTest, BootingMachinesAreNotExpectedToReport) {
  for (const char* id : {"n-5", "n-6", "n-7"}) {
    Machine& machine = machines.upsert(id, {"g8", "c", false}, 0);
    machine.cloud.listed = true;
    machine.cloud.booting = true;
  }
  heard("n-1", "a", 5);
  heard("n-4", "b", 5);
  EXPECT_EQ(zones.update(5), Names{});
}

}  // namespace
}  // namespace cranklock::sched
