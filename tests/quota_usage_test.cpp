// Quota usage of teams, and their guarantees and limits.
#include "sched/quota_usage.hpp"

#include <gtest/gtest.h>

namespace cranklock::sched {
namespace {

const base::Team kTeam{"red", 4, 8, 16, 32};

struct HalfShares : TeamShares {
  wire::Resources guarantee(const base::Team& team) const override {
    return full_guarantee(team) * 0.5;
  }
  wire::Resources limit(const base::Team& team) const override { return full_limit(team) * 0.5; }
};

TEST(QuotaUsage, SumsUnreleasedResourcesByTeam) {
  QuotaUsage quota;
  EXPECT_EQ(quota.allocated("red"), wire::Resources());
  quota.add("red", {1, 2, 3});
  quota.add("red", {1, 2, 3});
  quota.add("blue", {9, 9, 9});
  EXPECT_EQ(quota.allocated("red"), (wire::Resources{2, 4, 6}));
  quota.release("red", {1, 2, 3});
  EXPECT_EQ(quota.allocated("red"), (wire::Resources{1, 2, 3}));
  EXPECT_EQ(quota.allocated("blue"), (wire::Resources{9, 9, 9}));
}

TEST(QuotaUsage, TheFullQuotaAppliesUnlessRegionsShareIt) {
  QuotaUsage quota;
  EXPECT_EQ(quota.guarantee(kTeam), full_guarantee(kTeam));
  EXPECT_EQ(quota.limit(kTeam), full_limit(kTeam));
  const HalfShares shares;
  quota.set_shares(&shares);
  EXPECT_EQ(quota.guarantee(kTeam), full_guarantee(kTeam) * 0.5);
  EXPECT_EQ(quota.limit(kTeam), full_limit(kTeam) * 0.5);
  quota.set_shares(nullptr);
  EXPECT_EQ(quota.limit(kTeam), full_limit(kTeam));
}

}  // namespace
}  // namespace cranklock::sched
