// Rate limits of requests to external systems.
#include "net/token_bucket.hpp"

#include <gtest/gtest.h>

#include "test_cluster.hpp"

namespace cranklock::net {
namespace {

using testing::FakeReactor;

constexpr double kRate = 10;  ///< tokens per second
constexpr double kStart = 100;

struct TokenBucketTest : ::testing::Test {
  FakeReactor reactor;
  TokenBucket bucket{reactor, kRate};

  TokenBucketTest() { reactor.run_until(kStart); }
  void wait(double seconds) { reactor.run_until(reactor.now() + seconds); }
};

TEST_F(TokenBucketTest, ANewBucketHoldsTheTokensOfOneSecond) {
  EXPECT_EQ(bucket.take(kRate), 0);
  EXPECT_GT(bucket.take(1), 0);
}

TEST_F(TokenBucketTest, ReturnsTheWaitAndTakesNoTokensMeanwhile) {
  bucket.take(kRate);
  const double wait_s = bucket.take(1);
  EXPECT_NEAR(wait_s, 1 / kRate, 0.002);
  EXPECT_EQ(bucket.take(1), wait_s);
  wait(wait_s);
  EXPECT_EQ(bucket.take(1), 0);
}

TEST_F(TokenBucketTest, HoldsNoMoreThanItsBurst) {
  bucket.set_rate(kRate, 3 * kRate);
  bucket.take(kRate);
  wait(60);
  EXPECT_EQ(bucket.take(3 * kRate), 0);
  EXPECT_GT(bucket.take(1), 0);
}

TEST_F(TokenBucketTest, ARequestAboveTheCapacityWaitsForAFullBucketAndOverdrawsIt) {
  bucket.take(1);
  EXPECT_GT(bucket.take(2 * kRate), 0);
  wait(1);
  EXPECT_EQ(bucket.take(2 * kRate), 0);
  EXPECT_NEAR(bucket.take(1), (kRate + 1) / kRate, 0.002);
}

TEST_F(TokenBucketTest, AnOverdraftIsGrantedAtOnceAndDelaysOthers) {
  bucket.take(kRate);
  EXPECT_EQ(bucket.take(2, 2), 0);
  EXPECT_GT(bucket.take(1, 2), 0);
  EXPECT_NEAR(bucket.take(1), 3 / kRate, 0.002);
}

TEST_F(TokenBucketTest, ForceTakeDelaysOthers) {
  bucket.force_take(2 * kRate);
  EXPECT_NEAR(bucket.take(1), (kRate + 1) / kRate, 0.002);
}

TEST_F(TokenBucketTest, IsEmptyOnceDrainedAndKeepsItsOverdraft) {
  bucket.drain();
  EXPECT_NEAR(bucket.take(1), 1 / kRate, 0.002);
  bucket.force_take(kRate);
  bucket.drain();
  EXPECT_NEAR(bucket.take(1), (kRate + 1) / kRate, 0.002);
}

}  // namespace
}  // namespace cranklock::net
