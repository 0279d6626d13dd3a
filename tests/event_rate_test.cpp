#include "base/event_rate.hpp"

#include <gtest/gtest.h>

namespace cranklock::base {
namespace {

TEST(EventRate, IsThatOfTheLastCompletedWindowAndDropsToZeroWithoutEvents) {
  EventRate rate(2);
  for (int i = 0; i < 20; ++i) rate.record(100 + i * 0.1);
  EXPECT_EQ(rate.per_second(101.9), 0);  // the first window has not ended
  EXPECT_NEAR(rate.per_second(102.0), 10, 0.01);
  EXPECT_NEAR(rate.per_second(103.9), 10, 0.01);  // rate of the last completed window
  EXPECT_EQ(rate.per_second(104.0), 0);
  rate.record(200);
  EXPECT_EQ(rate.per_second(210), 0);  // the only event is long past
}

}  // namespace
}  // namespace cranklock::base
