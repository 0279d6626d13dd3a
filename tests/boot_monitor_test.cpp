// Overdue machines and expected boot times.
#include "sched/boot_monitor.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::sched {
namespace {

struct BootTest : ::testing::Test {
  ChangeSignal changes;
  MachineInventory machines{changes};
  BootMonitor boots{machines, changes};
  const wire::MachineType type = testing::machine_type();

  BootTest() { machines.set_types({type}); }
  Machine& provisioned(const std::string& id, double now) {
    Machine& machine = machines.upsert(id, {type.name, "a", false}, now);
    machine.cloud.provisioned_by_this_leader = true;
    changes.take();
    return machine;
  }
};

TEST_F(BootTest, AMachineIsOverdueAfterTwiceTheExpectedTime) {
  Machine& machine = provisioned("n-1", 0);
  boots.update_overdue(2 * type.ready_s);
  EXPECT_FALSE(machine.cloud.overdue);
  boots.update_overdue(2 * type.ready_s + 1);
  EXPECT_TRUE(machine.cloud.overdue);
  EXPECT_TRUE(changes.take());
  EXPECT_GT(boots.penalty(type, "a", 2 * type.ready_s + 1), 1);
  EXPECT_EQ(boots.penalty(type, "b", 2 * type.ready_s + 1), 1);
  // The machine reports after all.
  boots.record_message(machine, 3 * type.ready_s);
  EXPECT_FALSE(machine.cloud.overdue);
}

// Guards against a new leader marking machines as overdue that have been running for a long time.
TEST_F(BootTest, OnlyMachinesThatBootCanBeOverdue) {
  Machine& running = provisioned("n-1", 0);
  running.cloud.listed = true;
  Machine& reporting = provisioned("n-2", 0);
  reporting.agent.heartbeat_received = true;
  Machine& provisioned_elsewhere = machines.upsert("n-3", {type.name, "a", false}, 0);
  boots.update_overdue(100 * type.ready_s);
  EXPECT_FALSE(running.cloud.overdue || reporting.cloud.overdue ||
               provisioned_elsewhere.cloud.overdue);
  running.cloud.booting = true;
  boots.update_overdue(100 * type.ready_s);
  EXPECT_TRUE(running.cloud.overdue);
}

TEST_F(BootTest, MachinesOfAnUnreachableZoneAndOfUnknownTypesAreNotOverdue) {
  Machine& unreachable = provisioned("n-1", 0);
  unreachable.lease.grace_until = 10 * type.ready_s;
  Machine& unknown_type = machines.upsert("n-2", {"other", "a", false}, 0);
  unknown_type.cloud.provisioned_by_this_leader = true;
  boots.update_overdue(10 * type.ready_s);
  EXPECT_FALSE(unreachable.cloud.overdue || unknown_type.cloud.overdue);
  boots.update_overdue(10 * type.ready_s + 1);
  EXPECT_TRUE(unreachable.cloud.overdue);
}

TEST_F(BootTest, ExpectedBootTimeIsLearntFromTheFirstMessageOfEachMachine) {
  const double slow_s = 3 * type.ready_s;
  for (const char* id : {"n-1", "n-2", "n-3"}) {
    Machine& machine = provisioned(id, 0);
    boots.record_message(machine, slow_s);
    machine.agent.heartbeat_received = true;
    boots.record_message(machine, 9 * slow_s);  // later messages are ignored
  }
  EXPECT_EQ(boots.expected_boot_s(type, "a", slow_s), slow_s);
  EXPECT_EQ(boots.expected_boot_s(type, "b", slow_s), type.ready_s);
}

TEST_F(BootTest, MachinesProvisionedByOtherLeadersAreIgnored) {
  for (const char* id : {"n-1", "n-2", "n-3"}) {
    boots.record_message(machines.upsert(id, {type.name, "a", false}, 0), 3 * type.ready_s);
  }
  EXPECT_EQ(boots.expected_boot_s(type, "a", 3 * type.ready_s), type.ready_s);
}

}  // namespace
}  // namespace cranklock::sched
