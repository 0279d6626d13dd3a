#include "base/event_rate.hpp"

#include <gtest/gtest.h>

namespace cranklock::base {
namespace {

TEST(EventRate, IsThatOfTheLastFullWindowAndEndsWithTheEvents) {
  EventRate rate(2);
  for (int i = 0; i < 20; ++i) rate.note(100 + i * 0.1);
  EXPECT_EQ(rate.per_second(101.9), 0);  // the window is not over
  EXPECT_NEAR(rate.per_second(102.0), 10, 0.01);
  EXPECT_NEAR(rate.per_second(103.9), 10, 0.01);  // still the last full one
  EXPECT_EQ(rate.per_second(104.0), 0);
  rate.note(200);
  EXPECT_EQ(rate.per_second(210), 0);  // one event long ago
}

}  // namespace
}  // namespace cranklock::base
