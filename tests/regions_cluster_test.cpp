// Two complete regions, each with controllers, store, cloud and agents, whose leaders share the
// teams' limits.
#include <gtest/gtest.h>

#include <random>

#include "two_region_clusters.hpp"

namespace cranklock::testing {
namespace {

TEST(RegionClusters, WorkBeyondARegionsQuotaUsesTheUnusedQuotaOfTheOther) {
  TwoRegionClusters all;
  all.run(4);
  EXPECT_DOUBLE_EQ(all.held(all.east), 8);
  EXPECT_DOUBLE_EQ(all.held(all.west), 8);
  all.west.submit(0, all.service("j-000001", 13));
  all.run(6);
  EXPECT_EQ(all.west.running_tasks("j-000001"), 13);
  EXPECT_DOUBLE_EQ(all.held(all.east) + all.held(all.west), kLimitGpus);
}

TEST(RegionClusters, PartitionedRegionsUseTheirOwnQuotaUntilTheyReconnect) {
  TwoRegionClusters all;
  all.run(4);
  all.partitioned = true;
  all.west.submit(0, all.service("j-000001", 13));
  all.east.submit(0, all.service("j-000002", 3));
  all.run(30);  // three agent leases
  EXPECT_EQ(all.west.running_tasks("j-000001"), 8);
  EXPECT_EQ(all.east.running_tasks("j-000002"), 3);
  all.partitioned = false;
  all.run(10);
  EXPECT_EQ(all.west.running_tasks("j-000001"), 13);
}

TEST(RegionClusters, QuotaInTransitSurvivesTheLeadersOfBothRegions) {
  TwoRegionClusters all;
  all.run(4);
  all.west.submit(0, all.service("j-000001", 13));
  all.run(0.3);
  all.east.crash_node(all.east.leader());
  all.run(0.3);
  all.west.crash_node(all.west.leader());
  all.run(15);
  EXPECT_EQ(all.west.running_tasks("j-000001"), 13);
  EXPECT_DOUBLE_EQ(all.held(all.east) + all.held(all.west), kLimitGpus);
}

TEST(RegionClusters, AStoreOutageInOneRegionDoesNotBlockTheOther) {
  TwoRegionClusters all;
  all.run(4);
  all.east.state_down = true;
  all.west.submit(0, all.service("j-000001", 13));
  all.run(3);
  EXPECT_EQ(all.west.running_tasks("j-000001"), 8);
  all.east.state_down = false;
  all.run(12);
  EXPECT_EQ(all.west.running_tasks("j-000001"), 13);
}

// After a rollback of one controller's settings, it would use the full limit of each team.
TEST(RegionClusters, AControllerWithoutRegionsInItsSettingsDoesNotLeadWhereLimitsAreShared) {
  TwoRegionClusters all;
  all.run(4);
  auto& west = all.west;
  for (int i = 0; i < 3; ++i) west.crash_node(i);
  const auto with_regions = west.base_settings.operator_settings.regions;
  west.base_settings.operator_settings.regions = {};
  west.start_node(0);
  all.run(15);
  EXPECT_EQ(west.leader(), -1);
  west.base_settings.operator_settings.regions = with_regions;
  west.start_node(1);
  all.run(25);
  EXPECT_EQ(west.leader(), 1);
}

TEST(RegionClusters, WithoutRegionsNoRegionRecordsAreStored) {
  TestCluster cluster;
  cluster.add_worker();
  cluster.run(3);
  cluster.submit(0, TwoRegionClusters::service("j-000001", 2));
  cluster.run(3);
  EXPECT_EQ(cluster.running_tasks("j-000001"), 2);
  for (const auto& [key, value] : cluster.state_service.values) {
    EXPECT_FALSE(key.starts_with(regions::kRegionsPrefix)) << key;
  }
}

// Random faults in both regions and in the network between them, while jobs arrive.
class RegionFaults : public ::testing::TestWithParam<unsigned> {};

TEST_P(RegionFaults, NoLimitIsExceededAndAllWorkThatFitsRuns) {
  std::mt19937 random(GetParam());
  const auto draw = [&](int below) {
    return std::uniform_int_distribution<>(0, below - 1)(random);
  };
  TwoRegionClusters all;
  all.run(4);
  TestCluster* const clusters[] = {&all.east, &all.west};
  std::vector<std::pair<TestCluster*, std::string>> services;
  for (int step = 0; step < 20; ++step) {
    TestCluster& cluster = *clusters[draw(2)];
    switch (draw(6)) {
      case 0:
        all.partitioned = !all.partitioned;
        break;
      case 1:
        cluster.state_down = !cluster.state_down;
        break;
      case 2:
        if (cluster.leader() >= 0) cluster.crash_node(cluster.leader());
        break;
      case 3:
        for (int node = 0; node < cluster.nodes(); ++node) {
          if (!cluster.is_up(node)) cluster.start_node(node);
        }
        break;
      case 4:
        cluster.lost_write_response_share = draw(2) * 0.3;
        break;
      default: {
        const std::string id = "j-0000" + std::to_string(10 + step);
        cluster.add_user(TwoRegionClusters::service(id, static_cast<std::uint32_t>(1 + draw(3))));
        services.emplace_back(&cluster, id);
        break;
      }
    }
    all.run(0.5 + draw(4));
  }
  all.partitioned = false;
  for (auto* cluster : clusters) {
    cluster->state_down = false;
    cluster->lost_write_response_share = 0;
    for (int node = 0; node < cluster->nodes(); ++node) {
      if (!cluster->is_up(node)) cluster->start_node(node);
    }
  }
  all.run(60);
  std::uint32_t wanted = 0;
  for (const auto& [cluster, id] : services) {
    if (cluster->rules.spec(id) != nullptr) wanted += cluster->rules.spec(id)->tasks;
  }
  if (wanted > kLimitGpus) return;  // the jobs do not all fit
  for (const auto& [cluster, id] : services) {
    ASSERT_NE(cluster->rules.spec(id), nullptr);
    EXPECT_EQ(cluster->running_tasks(id), static_cast<int>(cluster->rules.spec(id)->tasks)) << id;
  }
}

INSTANTIATE_TEST_SUITE_P(Seed, RegionFaults, ::testing::Range(1U, 41U));

}  // namespace
}  // namespace cranklock::testing
