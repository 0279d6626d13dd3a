// Two regions, each with controllers, store, cloud and agents, whose leaders share the teams'
// limits.
#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "regions/records.hpp"
#include "test_cluster.hpp"

namespace cranklock::testing {

inline constexpr double kLimitGpus = 16;  // GPUs of each team, in fixtures.hpp

/// Delivers the region frames of each leader to the cluster of the other region.
class TwoRegionClusters {
 public:
  TwoRegionClusters()
      : east(3, {}, settings("east"), &east_), west(3, {}, settings("west"), &west_) {
    for (auto* cluster : {&east, &west}) {
      cluster->run_s = 1e6;
      for (int i = 0; i < 3; ++i) cluster->add_worker();
    }
  }

  void run(double seconds) {
    constexpr double kStepS = 0.02;
    for (double passed = 0; passed < seconds; passed += kStepS) {
      east.run(kStepS);
      west.run(kStepS);
      for (; !frames_.empty(); frames_.pop_front()) {
        const auto& [from, frame] = frames_.front();
        if (!partitioned) (from == "east" ? west : east).on_region_frame(from, frame);
      }
      const auto used = [](TestCluster& cluster) {
        double gpus = 0;
        for (const auto& id : cluster.rules.accepted_jobs()) {
          gpus += cluster.live_tasks(id) * cluster.rules.spec(id)->resources.gpus;
        }
        return gpus;
      };
      EXPECT_LE(used(east) + used(west), kLimitGpus);
    }
  }
  static double held(TestCluster& cluster) {
    const auto stored = cluster.state_service.values.find(regions::quota_key("red"));
    if (stored == cluster.state_service.values.end()) return 0;
    const auto amounts = regions::read_quota(stored->second.data);
    return static_cast<double>((*amounts)[regions::Resource::gpus]) /
           regions::QuotaAmounts::kThousandthsPerUnit;
  }
  static wire::JobSpec service(const std::string& id, std::uint32_t replicas) {
    return make_job(id, wire::JobKind::service, replicas, 1).spec;
  }

  bool partitioned = false;

 private:
  struct Network : regions::RegionNetwork {
    Network(TwoRegionClusters& clusters, std::string region)
        : all(clusters), name(std::move(region)) {}
    std::vector<std::string> reachable_regions() const override {
      const std::string other = name == "east" ? "west" : "east";
      return all.partitioned ? std::vector<std::string>{} : std::vector<std::string>{other};
    }
    void send(const std::string&, const regions::RegionFrame& frame) override {
      all.frames_.emplace_back(name, frame);
    }
    TwoRegionClusters& all;
    std::string name;
  };
  static base::Settings settings(const std::string& self) {
    base::Settings settings = small_settings();
    settings.operator_settings.regions = {self, "east", {{"east", 0.5, {}}, {"west", 0.5, {}}}};
    return settings;
  }
  std::deque<std::pair<std::string, regions::RegionFrame>> frames_;
  Network east_{*this, "east"}, west_{*this, "west"};

 public:
  TestCluster east, west;
};

}  // namespace cranklock::testing
