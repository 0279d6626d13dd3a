// Quota policy (missing, spare and granted quota), request backoff, demand, frames and frame
// reader.
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
  return QuotaAmounts({0, 0, guaranteed * QuotaAmounts::kThousandthsPerUnit,
                       limit * QuotaAmounts::kThousandthsPerUnit});
}
const QuotaAmounts kFullQuota = gpus(6, 12);

TEST(QuotaPolicy, MissingQuotaIsThatOfWaitingWorkUpToTheFullQuota) {
  EXPECT_TRUE(missing_quota(gpus(0, 0), {gpus(3, 3), {}, 0}, kFullQuota).is_zero());
  EXPECT_EQ(missing_quota(gpus(2, 4), {gpus(3, 3), gpus(2, 2), 0}, kFullQuota), gpus(3, 1));
  EXPECT_EQ(missing_quota(gpus(2, 4), {gpus(3, 3), gpus(50, 50), 0}, kFullQuota), gpus(4, 8));
  const QuotaAmounts with_cpus({8000, 8000, 1000, 1000});
  EXPECT_EQ(missing_quota(gpus(0, 0), {{}, with_cpus, 0}, kFullQuota), gpus(1, 1))
      << "a resource without a limit is not requested";
}

TEST(QuotaPolicy, SpareQuotaIsNeitherUsedNorNeededByWaitingWork) {
  const Claim own{"a", 5}, younger{"b", 9}, older{"b", 1};
  const TeamDemand demand{gpus(2, 2), gpus(3, 3), 5};
  EXPECT_EQ(spare_quota(gpus(6, 12), demand, kFullQuota, own, younger), gpus(1, 7));
  EXPECT_EQ(spare_quota(gpus(6, 12), demand, kFullQuota, own, older), gpus(1, 7));
  EXPECT_EQ(spare_quota(gpus(3, 4), demand, kFullQuota, own, younger), gpus(0, 0));
  EXPECT_EQ(spare_quota(gpus(3, 4), demand, kFullQuota, own, older), gpus(1, 2))
      << "quota too small for its own work goes to work that has waited longer";
  EXPECT_EQ(spare_quota(gpus(3, 5), demand, kFullQuota, own, older), gpus(1, 0))
      << "a missing guarantee does not prevent work from running";
}

// Guards against two regions that each keep what the other lacks: one all CPUs, the other all GPUs.
TEST(QuotaPolicy, WorkThatLacksOneResourceGivesUpTheOtherToTheLongerWait) {
  const QuotaAmounts whole({0, 10'000, 0, 10'000});
  const TeamDemand both{{}, QuotaAmounts({8000, 8000, 8000, 8000}), 5};
  const QuotaAmounts only_cpus({0, 10'000, 0, 0}), only_gpus({0, 0, 0, 10'000});
  const Claim longer{"a", 1}, shorter{"b", 5};
  EXPECT_EQ(missing_quota(only_gpus, both, whole), QuotaAmounts({0, 8000, 0, 0}));
  EXPECT_EQ(spare_quota(only_cpus, both, whole, shorter, longer), only_cpus);
  EXPECT_EQ(spare_quota(only_gpus, both, whole, longer, shorter), QuotaAmounts({0, 0, 0, 2000}));
}

TEST(QuotaPolicy, GrantsTheRequestUpToHalfOfTheSpareInWholeUnits) {
  EXPECT_EQ(granted_quota(gpus(0, 8), gpus(0, 3)), gpus(0, 3));
  EXPECT_EQ(granted_quota(gpus(0, 8), gpus(0, 9)), gpus(0, 4));
  EXPECT_EQ(granted_quota(gpus(0, 7), gpus(0, 9)), gpus(0, 4));
  EXPECT_EQ(granted_quota(gpus(0, 1), gpus(0, 9)), gpus(0, 1));
  EXPECT_EQ(granted_quota(QuotaAmounts({0, 0, 0, 400}), gpus(0, 9)), QuotaAmounts({0, 0, 0, 400}));
  EXPECT_TRUE(granted_quota(gpus(0, 0), gpus(0, 9)).is_zero());
}

TEST(RequestSchedule, RequestsAtOnceWhenTheAmountChangesAndBacksOffOtherwise) {
  RequestSchedule schedule(1, 8);
  EXPECT_TRUE(schedule.take_due("t", gpus(0, 3), 0));
  std::vector<double> request_times;
  for (double now = 0.5; now < 40; now += 0.5) {
    if (schedule.take_due("t", gpus(0, 3), now)) request_times.push_back(now);
  }
  EXPECT_EQ(request_times, (std::vector<double>{1, 3, 7, 15, 23, 31, 39}));
  EXPECT_TRUE(schedule.take_due("t", gpus(0, 2), 39.5));
  EXPECT_FALSE(schedule.take_due("t", gpus(0, 0), 40));
  EXPECT_TRUE(schedule.take_due("t", gpus(0, 2), 40.1)) << "a new shortage is requested at once";
}

TEST(Demand, CountsPlaceableTasksAndPlacementsNotKnownToHaveEnded) {
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
  EXPECT_EQ(demands.at("red").waiting[Resource::gpus], 10 * QuotaAmounts::kThousandthsPerUnit);
  EXPECT_EQ(demands.at("red").waiting_since_ms, 1000);
  EXPECT_TRUE(demands.at("red").used.is_zero());
  EXPECT_EQ(demands.at("blue").waiting[Resource::gpus], 1 * QuotaAmounts::kThousandthsPerUnit);
  EXPECT_EQ(demands.at("blue").used[Resource::gpus], 1 * QuotaAmounts::kThousandthsPerUnit);
  // A gang can't be placed while a task of its last attempt is live.
  auto& gang = *fleet.cluster.job("j-2");
  fleet.cluster.add_placement(gang, 0, 1, "n-1", 0);
  demands = demands_of_waiting_work(fleet.cluster, 1);
  EXPECT_EQ(demands.at("red").waiting[Resource::gpus], 6 * QuotaAmounts::kThousandthsPerUnit);
  EXPECT_EQ(allocated_quota(fleet.cluster, "red")[Resource::gpus],
            1 * QuotaAmounts::kThousandthsPerUnit);
}

/// The same quota for every team.
struct FixedQuota : sched::TeamShares {
  double gpus = 0;
  wire::Resources guarantee(const base::Team&) const override { return {0, gpus, 0}; }
  wire::Resources limit(const base::Team&) const override { return {0, gpus, 0}; }
};

TEST(Demand, PlacementIsLimitedByTheQuotaOfItsRegion) {
  testing::Fleet fleet;
  FixedQuota quota;
  fleet.cluster.set_team_shares(&quota);
  auto& job = fleet.add(testing::make_job("j-1", wire::JobKind::job_array, 8, 1));
  fleet.run_pass();
  EXPECT_EQ(job.live_count(), 0U) << "a quota of zero does not mean that the team is unlimited";
  EXPECT_FALSE(job.guaranteed);
  quota.gpus = 3;
  fleet.run_pass();
  EXPECT_EQ(job.live_count(), 3U);
  quota.gpus = 8;
  fleet.run_pass();
  EXPECT_EQ(job.live_count(), 8U);
  EXPECT_TRUE(job.guaranteed);
}

// ---- frames ----

const std::vector<RegionFrame> kFrames = {RegionHeartbeat{"east", "winch-1", "west", 41},
                                          QuotaRequest{"team", gpus(1, 2), 1'700'000'000'000},
                                          QuotaTransfer{7, "team", gpus(0, 3)},
                                          TransferAcknowledgement{7}};

TEST(RegionFrames, HaveAFixedEncodingAndAreReadByteByByte) {
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

TEST(RegionFrames, RejectsInvalidFramesWithASpecificResult) {
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
  EXPECT_EQ(result_of(with(transfer, 12, 3)), UnpackResult::malformed_fields)
      << "a name shorter than its length field";
  EXPECT_EQ(result_of(pack(QuotaTransfer{0, "team", {}})), UnpackResult::malformed_fields);
  EXPECT_EQ(result_of(pack(QuotaTransfer{1, "", {}})), UnpackResult::malformed_fields);
  EXPECT_EQ(result_of(pack(QuotaTransfer{1, "team", gpus(0, -1)})), UnpackResult::malformed_fields);
  EXPECT_EQ(result_of(pack(QuotaRequest{"team", gpus(-1, 0), 0})), UnpackResult::malformed_fields);
  EXPECT_EQ(result_of(pack(RegionHeartbeat{"", "m", "f", 1})), UnpackResult::malformed_fields);
  const auto error_of = [](std::string bytes) {
    RegionFrame frame;
    const auto result = unpack(bytes, frame);
    return describe(result, bytes);
  };
  EXPECT_EQ(error_of(with(transfer, 2, 2)), "frame version 2, expected 1");
  EXPECT_EQ(error_of(with(transfer, 3, 5)), "frame kind 5, expected 1 to 4");
  EXPECT_EQ(error_of(with(transfer, 0, 4)), "frame body of 1069 bytes, expected at most 512");
  EXPECT_EQ(error_of(with(transfer, 12, 3)), "malformed fields in frame of kind 3 with 45 bytes");
}

// ---- connections ----

base::RegionSettings east_and_west() {
  return {"east", "west", {{"east", 0.5, {}}, {"west", 0.5, {}}}};
}

TEST(FrameReader, ReturnsFramesInOrderAfterTheHeartbeatOfTheirRegion) {
  const auto settings = east_and_west();
  FrameReader reader(settings);
  const RegionHeartbeat peer_heartbeat{"west", "winch-1", "west", 7};
  const std::string bytes = pack(peer_heartbeat) + pack(kFrames[2]);
  EXPECT_TRUE(reader.feed(bytes.substr(0, 9)).frames.empty());
  const auto received = reader.feed(bytes.substr(9));
  EXPECT_EQ(received.error, "");
  EXPECT_EQ(received.frames, (std::vector<RegionFrame>{peer_heartbeat, kFrames[2]}));
  EXPECT_EQ(reader.region(), "west");
}

TEST(FrameReader, ReportsWhyAConnectionIsClosed) {
  const auto settings = east_and_west();
  const auto error_of = [&](const std::string& bytes) {
    FrameReader reader(settings);
    return reader.feed(bytes).error;
  };
  const std::string peer_heartbeat = pack(RegionHeartbeat{"west", "m", "west", 7});
  EXPECT_EQ(error_of(pack(kFrames[2])), "first frame is not a heartbeat");
  EXPECT_EQ(error_of(pack(RegionHeartbeat{"north", "m", "west", 7})),
            "heartbeat names region north, expected another configured region");
  EXPECT_EQ(error_of(pack(RegionHeartbeat{"east", "m", "west", 7})),
            "heartbeat names region east, expected another configured region");
  EXPECT_EQ(error_of(pack(RegionHeartbeat{"west", "m", "east", 7})),
            "heartbeat of region west names bootstrap region east, expected west");
  std::string other_version = peer_heartbeat;
  other_version[2] = 2;
  EXPECT_EQ(error_of(other_version), "frame version 2, expected 1");
  FrameReader reader(settings);
  const auto received =
      reader.feed(peer_heartbeat + pack(kFrames[2]) + std::string("\x7f\xff\x01\x02"));
  EXPECT_EQ(received.frames.size(), 2U) << "frames before the error are returned";
  EXPECT_EQ(received.error, "frame body of 32767 bytes, expected at most 512");
}

}  // namespace
}  // namespace cranklock::regions
