// What a leader may do after renewals and reads of the jobs that succeeded, failed, or came late.
#include "control/leader_lease.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::control {
namespace {

constexpr double kStart = 100;

struct LeaderLeaseTest : ::testing::Test {
  base::Settings settings = testing::small_settings();
  LeaderLease lease{settings, testing::kFencingToken, kStart};
  double life = LeaderLease::lease_life(settings);
};

TEST_F(LeaderLeaseTest, IsValidForLessThanItsLifeFromTheSendingOfARenewal) {
  EXPECT_TRUE(lease.valid(kStart + 0.99 * life));
  EXPECT_FALSE(lease.valid(kStart + life));

  lease.confirm(kStart + 1);
  EXPECT_TRUE(lease.valid(kStart + 1 + 0.99 * life));
  EXPECT_FALSE(lease.valid(kStart + 1 + life));
}

TEST_F(LeaderLeaseTest, ARenewalThatIsAnsweredLateProvesNoLess) {
  lease.confirm(kStart + 1);
  lease.confirm(kStart + 0.5);
  EXPECT_EQ(lease.confirmed_sent(), kStart + 1);
}

TEST_F(LeaderLeaseTest, LeadingIsNotKnowingWhatOthersHaveWritten) {
  EXPECT_FALSE(lease.may_start(kStart));
  EXPECT_FALSE(lease.may_respond(kStart));

  lease.caught_up(kStart);
  EXPECT_TRUE(lease.may_start(kStart));
  EXPECT_TRUE(lease.may_respond(kStart));
}

TEST_F(LeaderLeaseTest, KnowingIsNotLeading) {
  lease.caught_up(kStart + 2 * life);
  EXPECT_FALSE(lease.may_start(kStart + 2 * life));
}

TEST_F(LeaderLeaseTest, StartsNothingWhileChangesAreMissed) {
  lease.caught_up(kStart);
  lease.fell_behind();
  EXPECT_FALSE(lease.may_start(kStart));
  EXPECT_TRUE(lease.may_respond(kStart));

  lease.caught_up(kStart);
  EXPECT_TRUE(lease.may_start(kStart));
}

TEST_F(LeaderLeaseTest, ARenewalWithoutAnAnswerLeavesOnlyTheDoubtWhetherItStillLeads) {
  lease.not_refused(kStart + 1);
  EXPECT_TRUE(lease.may_still_lead(kStart + 0.99 * life + 1));
  EXPECT_FALSE(lease.may_still_lead(kStart + life + 1));
  EXPECT_FALSE(lease.valid(kStart + life));
}

}  // namespace
}  // namespace cranklock::control
