// What is asked for and given, when it is asked for, what waits, and the frames between regions.
#include "regions/quota_policy.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"
#include "peer/packing.hpp"
#include "regions/demand.hpp"
#include "regions/frame_reader.hpp"
#include "regions/frames.hpp"
#include "regions/request_schedule.hpp"

namespace cranklock::regions {
namespace {

QuotaAmounts gpus(std::int64_t guaranteed, std::int64_t limit) {
  return QuotaAmounts({0, 0, guaranteed * QuotaAmounts::kUnit, limit * QuotaAmounts::kUnit});
}
const QuotaAmounts kWhole = gpus(6, 12);

TEST(SharingRule, OnlyWaitingWorkLacksShareAndNeverMoreThanTheWhole) {
  EXPECT_TRUE(missing_quota(gpus(0, 0), {gpus(3, 3), {}, 0}, kWhole).is_zero());
  EXPECT_EQ(missing_quota(gpus(2, 4), {gpus(3, 3), gpus(2, 2), 0}, kWhole), gpus(3, 1));
  EXPECT_EQ(missing_quota(gpus(2, 4), {gpus(3, 3), gpus(50, 50), 0}, kWhole), gpus(4, 8));
  const QuotaAmounts with_cpus({8000, 8000, 1000, 1000});
  EXPECT_EQ(missing_quota(gpus(0, 0), {{}, with_cpus, 0}, kWhole), gpus(1, 1))
      << "a resource that is not looked at is not wanted";
}

TEST(SharingRule, SpareIsWhatIsNeitherUsedNorWaitedFor) {
  const Claim own{"a", 5}, younger{"b", 9}, older{"b", 1};
  const TeamDemand demand{gpus(2, 2), gpus(3, 3), 5};
  EXPECT_EQ(spare_quota(gpus(6, 12), demand, kWhole, own, younger), gpus(1, 7));
  EXPECT_EQ(spare_quota(gpus(6, 12), demand, kWhole, own, older), gpus(1, 7));
  EXPECT_EQ(spare_quota(gpus(3, 4), demand, kWhole, own, younger), gpus(0, 0));
  EXPECT_EQ(spare_quota(gpus(3, 4), demand, kWhole, own, older), gpus(1, 2))
      << "too little for its own work is of use to work that has waited longer";
  EXPECT_EQ(spare_quota(gpus(3, 5), demand, kWhole, own, older), gpus(1, 0))
      << "a missing guarantee keeps nothing from running";
}

// Without it each would keep what the other lacks: one all CPUs, the other all GPUs.
TEST(SharingRule, WorkThatLacksOneResourceYieldsTheOtherToTheLongerWait) {
  const QuotaAmounts whole({0, 10'000, 0, 10'000});
  const TeamDemand both{{}, QuotaAmounts({8000, 8000, 8000, 8000}), 5};
  const QuotaAmounts only_cpus({0, 10'000, 0, 0}), only_gpus({0, 0, 0, 10'000});
  const Claim longer{"a", 1}, shorter{"b", 5};
  EXPECT_EQ(missing_quota(only_gpus, both, whole), QuotaAmounts({0, 8000, 0, 0}));
  EXPECT_EQ(spare_quota(only_cpus, both, whole, shorter, longer), only_cpus);
  EXPECT_EQ(spare_quota(only_gpus, both, whole, longer, shorter), QuotaAmounts({0, 0, 0, 2000}));
}

TEST(SharingRule, GivesWhatIsAskedUpToHalfInWholeUnits) {
  EXPECT_EQ(granted_quota(gpus(0, 8), gpus(0, 3)), gpus(0, 3));
  EXPECT_EQ(granted_quota(gpus(0, 8), gpus(0, 9)), gpus(0, 4));
  EXPECT_EQ(granted_quota(gpus(0, 7), gpus(0, 9)), gpus(0, 4));
  EXPECT_EQ(granted_quota(gpus(0, 1), gpus(0, 9)), gpus(0, 1));
  EXPECT_EQ(granted_quota(QuotaAmounts({0, 0, 0, 400}), gpus(0, 9)), QuotaAmounts({0, 0, 0, 400}));
  EXPECT_TRUE(granted_quota(gpus(0, 0), gpus(0, 9)).is_zero());
}

TEST(RequestSchedule, AsksAtOnceWhenTheNeedChangesAndEverMoreRarelyWhenNot) {
  RequestSchedule schedule(1, 8);
  EXPECT_TRUE(schedule.take_due("t", gpus(0, 3), 0));
  std::vector<double> asked;
  for (double now = 0.5; now < 40; now += 0.5) {
    if (schedule.take_due("t", gpus(0, 3), now)) asked.push_back(now);
  }
  EXPECT_EQ(asked, (std::vector<double>{1, 3, 7, 15, 23, 31, 39}));
  EXPECT_TRUE(schedule.take_due("t", gpus(0, 2), 39.5));
  EXPECT_FALSE(schedule.take_due("t", gpus(0, 0), 40));
  EXPECT_TRUE(schedule.take_due("t", gpus(0, 2), 40.1)) << "it waits anew";
}

TEST(Demand, CountsWhatCouldBePlacedAndWhatIsNotProvenFree) {
  testing::Fleet fleet;
  fleet.add(testing::make_job("j-1", wire::JobKind::job_array, 3, 2));
  fleet.add(testing::make_job("j-2", wire::JobKind::gang, 4, 1));
  auto cancelled = testing::make_job("j-3", wire::JobKind::job_array, 5, 1);
  cancelled.cancelled_at_ms = 9;
  fleet.add(cancelled);
  auto dependent = testing::make_job("j-4", wire::JobKind::job_array, 5, 1);
  dependent.spec.dependencies = {"j-1"};
  fleet.add(dependent);
  fleet.add(testing::make_job("j-5", wire::JobKind::service, 2, 1, "blue"));
  auto& running = *fleet.cluster.job("j-5");
  fleet.cluster.add_placement(running, 0, 1, "n-1", 0);
  auto demands = demands_of_waiting_work(fleet.cluster, 1);
  EXPECT_EQ(demands.at("red").waiting[Resource::gpus], 10 * QuotaAmounts::kUnit);
  EXPECT_EQ(demands.at("red").waiting_since_ms, 1000);
  EXPECT_TRUE(demands.at("red").used.is_zero());
  EXPECT_EQ(demands.at("blue").waiting[Resource::gpus], 1 * QuotaAmounts::kUnit);
  EXPECT_EQ(demands.at("blue").used[Resource::gpus], 1 * QuotaAmounts::kUnit);
  // A gang whose last attempt is not all gone can't be placed.
  auto& gang = *fleet.cluster.job("j-2");
  fleet.cluster.add_placement(gang, 0, 1, "n-1", 0);
  demands = demands_of_waiting_work(fleet.cluster, 1);
  EXPECT_EQ(demands.at("red").waiting[Resource::gpus], 6 * QuotaAmounts::kUnit);
  EXPECT_EQ(allocated_quota(fleet.cluster, "red")[Resource::gpus], 1 * QuotaAmounts::kUnit);
}

/// A quota that stands for the whole region.
struct FixedShares : sched::TeamShares {
  double gpus = 0;
  wire::Resources guarantee(const base::Team&) const override { return {0, gpus, 0}; }
  wire::Resources limit(const base::Team&) const override { return {0, gpus, 0}; }
};

TEST(Demand, PlacementKnowsOnlyTheSharesOfItsRegion) {
  testing::Fleet fleet;
  FixedShares shares;
  fleet.cluster.set_team_shares(&shares);
  auto& job = fleet.add(testing::make_job("j-1", wire::JobKind::job_array, 8, 1));
  fleet.run_pass();
  EXPECT_EQ(job.live_count(), 0U) << "a share of nothing is not a team without a limit";
  EXPECT_FALSE(job.guaranteed);
  shares.gpus = 3;
  fleet.run_pass();
  EXPECT_EQ(job.live_count(), 3U);
  shares.gpus = 8;
  fleet.run_pass();
  EXPECT_EQ(job.live_count(), 8U);
  EXPECT_TRUE(job.guaranteed);
}

// ---- frames ----

const std::vector<RegionFrame> kFrames = {RegionHeartbeat{"east", "winch-1", "west", 41},
                                          QuotaRequest{"team", gpus(1, 2), 1'700'000'000'000},
                                          QuotaTransfer{7, "team", gpus(0, 3)},
                                          TransferAcknowledgement{7}};

TEST(RegionFrames, AreTheSameBytesEverywhereAndSurviveSplitting) {
  EXPECT_EQ(pack(TransferAcknowledgement{7}),
            std::string("\x00\x08\x01\x04\0\0\0\0\0\0\0\x07", 12));
  std::string whole, buffer;
  for (const auto& frame : kFrames) whole += pack(frame);
  std::vector<RegionFrame> out;
  for (const char byte : whole) {
    buffer += byte;
    RegionFrame frame;
    const auto result = unpack(buffer, frame);
    if (result == UnpackResult::frame) out.push_back(frame);
    ASSERT_TRUE(result == UnpackResult::frame || result == UnpackResult::incomplete);
  }
  EXPECT_EQ(out, kFrames);
  EXPECT_TRUE(buffer.empty());
}

TEST(RegionFrames, WhatIsWrongIsNamed) {
  const auto result_of = [](std::string bytes) {
    RegionFrame frame;
    return unpack(bytes, frame);
  };
  const auto with = [](std::string bytes, std::size_t at, char value) {
    bytes[at] = value;
    return bytes;
  };
  const std::string transfer = pack(kFrames[2]);
  EXPECT_EQ(result_of(with(transfer, 2, 2)), UnpackResult::other_version);
  EXPECT_EQ(result_of(with(transfer, 3, 0)), UnpackResult::unknown_kind);
  EXPECT_EQ(result_of(with(transfer, 3, 5)), UnpackResult::unknown_kind);
  EXPECT_EQ(result_of(with(transfer, 0, 4)), UnpackResult::too_long);
  EXPECT_EQ(result_of(with(transfer, 12, 3)), UnpackResult::malformed_fields) << "a shorter name";
  EXPECT_EQ(result_of(pack(QuotaTransfer{0, "team", {}})), UnpackResult::malformed_fields);
  EXPECT_EQ(result_of(pack(QuotaTransfer{1, "", {}})), UnpackResult::malformed_fields);
  EXPECT_EQ(result_of(pack(QuotaTransfer{1, "team", gpus(0, -1)})), UnpackResult::malformed_fields);
  EXPECT_EQ(result_of(pack(QuotaRequest{"team", gpus(-1, 0), 0})), UnpackResult::malformed_fields);
  EXPECT_EQ(result_of(pack(RegionHeartbeat{"", "m", "f", 1})), UnpackResult::malformed_fields);
  for (const auto result : {UnpackResult::other_version, UnpackResult::unknown_kind,
                            UnpackResult::too_long, UnpackResult::malformed_fields}) {
    EXPECT_FALSE(std::string(describe(result)).empty());
  }
}

// ---- connections ----

base::RegionSettings east_and_west() {
  return {"east", "west", {{"east", 0.5, {}}, {"west", 0.5, {}}}};
}

TEST(RegionSession, TakesFramesInTheirOrderFromTheRegionThatSaidHello) {
  const auto settings = east_and_west();
  FrameReader agent_epoch(settings);
  const RegionHeartbeat peer_heartbeat{"west", "winch-1", "west", 7};
  const std::string bytes = pack(peer_heartbeat) + pack(kFrames[2]);
  EXPECT_TRUE(agent_epoch.feed(bytes.substr(0, 9)).frames.empty());
  const auto arrived = agent_epoch.feed(bytes.substr(9));
  EXPECT_EQ(arrived.error, "");
  EXPECT_EQ(arrived.frames, (std::vector<RegionFrame>{peer_heartbeat, kFrames[2]}));
  EXPECT_EQ(agent_epoch.region(), "west");
}

TEST(RegionSession, SaysWhyAConnectionIsClosed) {
  const auto settings = east_and_west();
  const auto error_of = [&](const std::string& bytes) {
    FrameReader agent_epoch(settings);
    return agent_epoch.feed(bytes).error;
  };
  const std::string peer_heartbeat = pack(RegionHeartbeat{"west", "m", "west", 7});
  EXPECT_EQ(error_of(pack(kFrames[2])), "it did not begin with a hello");
  EXPECT_EQ(error_of(pack(RegionHeartbeat{"north", "m", "west", 7})),
            "the region north is not known");
  EXPECT_EQ(error_of(pack(RegionHeartbeat{"east", "m", "west", 7})),
            "the region east is not known");
  EXPECT_EQ(error_of(pack(RegionHeartbeat{"west", "m", "east", 7})),
            "region west names east as the founder, not west");
  std::string other_version = peer_heartbeat;
  other_version[2] = 2;
  EXPECT_EQ(error_of(other_version), "a frame of another version");
  FrameReader agent_epoch(settings);
  const auto arrived =
      agent_epoch.feed(peer_heartbeat + pack(kFrames[2]) + std::string("\x7f\xff\x01\x02"));
  EXPECT_EQ(arrived.frames.size(), 2U) << "what came before is used";
  EXPECT_EQ(arrived.error, "a frame that is too long");
}

}  // namespace
}  // namespace cranklock::regions
