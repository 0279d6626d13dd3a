// Which actions a leader may take after renewals and reads of the jobs that succeeded, failed or
// were answered late.
#include "control/leader_lease.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::control {
namespace {

constexpr double kStart = 100;

struct LeaderLeaseTest : ::testing::Test {
  base::Settings settings = testing::small_settings();
  LeaderLease lease{settings, testing::kFencingToken, kStart};
  double ttl_s = LeaderLease::lease_ttl_s(settings);
};

TEST_F(LeaderLeaseTest, IsValidForLessThanItsTtlFromTheSendingOfARenewal) {
  EXPECT_TRUE(lease.valid(kStart + 0.99 * ttl_s));
  EXPECT_FALSE(lease.valid(kStart + ttl_s));

  lease.record_renewal(kStart + 1);
  EXPECT_TRUE(lease.valid(kStart + 1 + 0.99 * ttl_s));
  EXPECT_FALSE(lease.valid(kStart + 1 + ttl_s));
}

TEST_F(LeaderLeaseTest, AnEarlierRenewalAnsweredLaterDoesNotShortenTheLease) {
  lease.record_renewal(kStart + 1);
  lease.record_renewal(kStart + 0.5);
  EXPECT_EQ(lease.last_renewal_sent_at(), kStart + 1);
}

TEST_F(LeaderLeaseTest, AValidLeaseAloneDoesNotPermitStartsOrResponses) {
  EXPECT_FALSE(lease.may_start(kStart));
  EXPECT_FALSE(lease.may_respond(kStart));

  lease.mark_caught_up(kStart);
  EXPECT_TRUE(lease.may_start(kStart));
  EXPECT_TRUE(lease.may_respond(kStart));
}

TEST_F(LeaderLeaseTest, BeingCaughtUpAloneDoesNotPermitStarts) {
  lease.mark_caught_up(kStart + 2 * ttl_s);
  EXPECT_FALSE(lease.may_start(kStart + 2 * ttl_s));
}

TEST_F(LeaderLeaseTest, PermitsNoStartsWhileBehind) {
  lease.mark_caught_up(kStart);
  lease.mark_behind();
  EXPECT_FALSE(lease.may_start(kStart));
  EXPECT_TRUE(lease.may_respond(kStart));

  lease.mark_caught_up(kStart);
  EXPECT_TRUE(lease.may_start(kStart));
}

TEST_F(LeaderLeaseTest, ARenewalWithoutAnAnswerExtendsOnlyMayStillLead) {
  lease.record_renewal_not_refused(kStart + 1);
  EXPECT_TRUE(lease.may_still_lead(kStart + 0.99 * ttl_s + 1));
  EXPECT_FALSE(lease.may_still_lead(kStart + ttl_s + 1));
  EXPECT_FALSE(lease.valid(kStart + ttl_s));
}

}  // namespace
}  // namespace cranklock::control
