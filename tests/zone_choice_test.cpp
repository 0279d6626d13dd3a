// Which zones are chosen for the machines of a scale-out.
#include "control/zone_choice.hpp"

#include <gtest/gtest.h>

namespace cranklock::control {
namespace {

using Chosen = std::map<sched::MachineKind, int>;

const sched::PoolId kPool{"g8", false};

sched::MachineKind in_zone(const std::string& zone) {
  return {kPool.type, zone, kPool.spot};
}

TEST(ZoneChoice, ServesTheShortfallInItsOwnZones) {
  const ScaleOutDemand demand{kPool, 3, {{in_zone("b"), 3}}, {{"a", {0, 1}}, {"b", {9, 1}}}};
  EXPECT_EQ(choose_zones(demand), (Chosen{{in_zone("b"), 3}}));
}

TEST(ZoneChoice, ServesKindsInTurnIfTheStepIsSmallerThanTheShortfall) {
  const ScaleOutDemand demand{
      kPool, 3, {{in_zone("a"), 5}, {in_zone("b"), 5}}, {{"a", {0, 1}}, {"b", {0, 1}}}};
  EXPECT_EQ(choose_zones(demand), (Chosen{{in_zone("a"), 2}, {in_zone("b"), 1}}));
}

TEST(ZoneChoice, ServesTheShortfallOfAnUnavailableZone) {
  const ScaleOutDemand demand{kPool, 1, {{in_zone("b"), 1}}, {{"a", {0, 1}}}};
  EXPECT_EQ(choose_zones(demand), (Chosen{{in_zone("b"), 1}}));
}

TEST(ZoneChoice, IgnoresTheShortfallOfOtherPools) {
  const sched::MachineKind spot{"g8", "b", true};
  const sched::MachineKind other_type{"c16", "b", false};
  const ScaleOutDemand demand{kPool, 1, {{spot, 4}, {other_type, 4}}, {{"a", {0, 1}}}};
  EXPECT_EQ(choose_zones(demand), (Chosen{{in_zone("a"), 1}}));
}

TEST(ZoneChoice, BalancesZonesWithMachinesBeyondTheShortfall) {
  const ScaleOutDemand demand{kPool, 5, {{in_zone("a"), 1}}, {{"a", {3, 1}}, {"b", {1, 1}}}};
  // Machines allocated to the shortfall are not counted as machines of their zone.
  EXPECT_EQ(choose_zones(demand), (Chosen{{in_zone("a"), 2}, {in_zone("b"), 3}}));
}

TEST(ZoneChoice, AllocatesHalfAsManyMachinesToAZoneOfWeightTwo) {
  const ScaleOutDemand demand{kPool, 6, {}, {{"a", {0, 1}}, {"b", {0, 2}}}};
  EXPECT_EQ(choose_zones(demand), (Chosen{{in_zone("a"), 4}, {in_zone("b"), 2}}));
}

TEST(ZoneChoice, WeighsExistingMachinesByTheirZone) {
  const ScaleOutDemand demand{kPool, 2, {}, {{"a", {2, 1}}, {"b", {2, 2}}}};
  EXPECT_EQ(choose_zones(demand), (Chosen{{in_zone("a"), 2}}));
}

TEST(ZoneChoice, BreaksTiesByZoneName) {
  const ScaleOutDemand demand{kPool, 1, {}, {{"b", {1, 1}}, {"a", {1, 1}}}};
  EXPECT_EQ(choose_zones(demand), (Chosen{{in_zone("a"), 1}}));
}

TEST(ZoneChoice, ChoosesOnlyTheShortfallIfNoZoneIsAvailable) {
  const ScaleOutDemand demand{kPool, 4, {{in_zone("a"), 1}}, {}};
  EXPECT_EQ(choose_zones(demand), (Chosen{{in_zone("a"), 1}}));
}

TEST(ZoneChoice, NeverChoosesMoreThanDemanded) {
  const ScaleOutDemand demand{kPool, 0, {{in_zone("a"), 5}}, {{"a", {0, 1}}}};
  EXPECT_TRUE(choose_zones(demand).empty());
}

}  // namespace
}  // namespace cranklock::control
