#include "net/limiter.hpp"

#include <gtest/gtest.h>

namespace cranklock::net {
namespace {

TEST(Limiter, ShrinksWhenRequestsGetSlowerAndGrowsBack) {
  Limiter limiter(4, 64, 0.1);
  double now = 0;
  const auto serve = [&](double took, int times) {
    for (int i = 0; i < times; ++i) {
      ASSERT_TRUE(limiter.try_acquire());
      limiter.release(took, now += took);
    }
  };
  serve(0.01, 10);
  const double before = limiter.limit();
  serve(1.0, 40);
  EXPECT_LT(limiter.limit(), before / 2);
  EXPECT_GE(limiter.limit(), 4);
  const double slow = limiter.limit();
  serve(0.01, 500);
  EXPECT_GT(limiter.limit(), slow);
}

TEST(Limiter, RejectsImmediatelyAtTheLimit) {
  Limiter limiter(4, 8, 0.1);
  for (int i = 0; i < 4; ++i) EXPECT_TRUE(limiter.try_acquire());
  EXPECT_FALSE(limiter.try_acquire());
  limiter.release(0.01, 1);
  EXPECT_TRUE(limiter.try_acquire());
}

}  // namespace
}  // namespace cranklock::net
