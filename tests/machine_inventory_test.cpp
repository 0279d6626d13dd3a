// Machines, the resources allocated on each, and their image caches.
#include "sched/machine_inventory.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::sched {
namespace {

const MachineKind kKind{"g8", "a", false};

struct InventoryTest : ::testing::Test {
  ChangeSignal changes;
  MachineInventory machines{changes};
  Job job = testing::make_job("j-000001", wire::JobKind::job_array, 2, 4);
};

TEST_F(InventoryTest, AMachineIsAddedOnce) {
  changes.take();
  Machine& machine = machines.upsert("n-1", kKind, 5);
  EXPECT_TRUE(changes.take());
  EXPECT_EQ(machine.known_since, 5);
  EXPECT_EQ(machine.cloud.provisioned_at, 5);
  EXPECT_EQ(&machines.upsert("n-1", kKind, 9), &machine);
  EXPECT_EQ(machine.known_since, 5);
  EXPECT_FALSE(changes.take());
  EXPECT_EQ(machines.find("n-2"), nullptr);
  machines.erase("n-1");
  EXPECT_EQ(machines.find("n-1"), nullptr);
}

TEST_F(InventoryTest, AllocationFollowsThePlacements) {
  Machine& machine = machines.upsert("n-1", kKind, 0);
  const PlacementRef first{&job, 0, 1};
  const PlacementRef second{&job, 1, 2};
  machines.attach(first, "n-1");
  machines.attach(second, "n-1");
  EXPECT_EQ(machine.allocated, job.spec.resources * 2);
  EXPECT_FALSE(machine.idle());
  machines.detach(first, "n-1", 7);
  EXPECT_EQ(machine.allocated, job.spec.resources);
  EXPECT_EQ(machine.idle_since, 0);
  machines.detach(first, "n-1", 8);  // a repeated call has no effect
  EXPECT_EQ(machine.allocated, job.spec.resources);
  machines.detach(second, "n-1", 9);
  EXPECT_EQ(machine.allocated, wire::Resources());
  EXPECT_EQ(machine.idle_since, 9);
  EXPECT_TRUE(machine.idle());
}

// Guards against losing placements whose stored record names a machine that has appeared neither in
// the cloud's list nor in a heartbeat.
TEST_F(InventoryTest, APlacementIsAttachedWhenItsMachineBecomesKnown) {
  const PlacementRef kept{&job, 0, 1};
  const PlacementRef detached{&job, 1, 2};
  machines.attach(kept, "n-1");
  machines.attach(detached, "n-1");
  machines.detach(detached, "n-1", 1);
  Machine& machine = machines.upsert("n-1", kKind, 2);
  ASSERT_EQ(machine.tasks.size(), 1U);
  EXPECT_EQ(machine.tasks.front(), kept);
  EXPECT_EQ(machine.allocated, job.spec.resources);
  // No placement is attached a second time.
  machines.erase("n-1");
  EXPECT_TRUE(machines.upsert("n-1", kKind, 3).tasks.empty());
}

TEST_F(InventoryTest, SetTypesReplacesAllTypes) {
  machines.set_types({testing::machine_type("g8"), testing::machine_type("g4", 4)});
  ASSERT_NE(machines.type("g4"), nullptr);
  EXPECT_EQ(machines.type("g4")->resources.gpus, 4);
  machines.set_types({testing::machine_type("g8")});
  EXPECT_EQ(machines.type("g4"), nullptr);
  EXPECT_EQ(machines.types().size(), 1U);
}

TEST(Machine, EvictsTheLeastRecentlyUsedImages) {
  Machine machine;
  const auto use = [&](const std::string& image, double size_gb) {
    wire::JobSpec spec;
    spec.image = image;
    spec.image_gb = size_gb;
    machine.record_image_use(spec, 100);
  };
  use("first", 40);
  use("second", 40);
  use("first", 40);
  use("third", 40);
  EXPECT_TRUE(machine.holds_image("first"));
  EXPECT_FALSE(machine.holds_image("second"));
  EXPECT_TRUE(machine.holds_image("third"));
  use("large", 500);  // the image in use is never evicted
  ASSERT_EQ(machine.images.size(), 1U);
  EXPECT_TRUE(machine.holds_image("large"));
}

TEST(Machine, KeepsAllImagesWhileItsCacheSizeIsNotKnown) {
  Machine machine;
  wire::JobSpec spec;
  spec.image_gb = 500;
  for (const char* image : {"first", "second"}) {
    spec.image = image;
    machine.record_image_use(spec, std::nullopt);
  }
  EXPECT_EQ(machine.images.size(), 2U);
}

TEST(Machine, IsStoppingWhileATaskIsToStop) {
  Job job = testing::make_job("j-000001", wire::JobKind::job_array, 1, 4);
  job.placements.emplace_back();
  job.placements.front().attempt = 1;
  Machine machine;
  machine.tasks.push_back({&job, 0, 1});
  EXPECT_FALSE(machine.stopping());
  job.placements.front().stop_requested = true;
  EXPECT_TRUE(machine.stopping());
  job.placements.front().stop_requested = false;
  job.cancelled_at_ms = 1;
  EXPECT_TRUE(machine.stopping());
  job.cancelled_at_ms = 0;
  machine.agent.unknown_tasks = 1;
  EXPECT_TRUE(machine.stopping());
}

TEST(MachineKind, IsAllowedByTypeZoneAndSpot) {
  wire::JobSpec spec;
  spec.spot = false;
  EXPECT_TRUE(allows(spec, {"g8", "a", false}));
  EXPECT_FALSE(allows(spec, {"g8", "a", true}));
  spec.spot = true;
  EXPECT_TRUE(allows(spec, {"g8", "a", true}));
  spec.zone = "b";
  EXPECT_FALSE(allows(spec, {"g8", "a", false}));
  spec.zone.clear();
  spec.types = {"g4"};
  EXPECT_FALSE(allows(spec, {"g8", "a", false}));
  EXPECT_TRUE(allows(spec, {"g4", "a", false}));
}

}  // namespace
}  // namespace cranklock::sched
