#include "net/buffer_budget.hpp"

#include <gtest/gtest.h>

#include <list>

namespace cranklock::net {
namespace {

constexpr std::size_t kLarge = std::size_t{64} * 1024;

// Guards against exhausting memory: 300 connections with a body each used 22 MB of the 27 MB that
// the smallest machines have.
TEST(BufferBudget, AFloodOfLargeRequestsIsLimitedToTheBudget) {
  BufferBudget budget(10 * kLarge);
  std::list<BufferBudget::Reservation> reservations;
  int accepted = 0;
  for (int i = 0; i < 300; ++i) {
    if (reservations.emplace_back(budget).grow(kLarge)) {
      ++accepted;
    } else {
      reservations.pop_back();  // rejected: its connection is closed
    }
  }
  EXPECT_EQ(accepted, 10);
  EXPECT_LE(budget.held_bytes(), 10 * kLarge);
}

TEST(BufferBudget, SmallRequestsAreAcceptedWhenTheBudgetIsExhausted) {
  BufferBudget budget(kLarge);
  BufferBudget::Reservation large(budget), small(budget);
  EXPECT_TRUE(large.grow(kLarge));
  EXPECT_TRUE(small.grow(BufferBudget::kAlwaysAcceptedBytes));
  EXPECT_FALSE(small.grow(1));
}

TEST(BufferBudget, BytesAreReleasedAfterTheResponseOrClose) {
  BufferBudget budget(kLarge);
  {
    BufferBudget::Reservation closed(budget);
    EXPECT_TRUE(closed.grow(kLarge));
  }
  BufferBudget::Reservation answered(budget);
  EXPECT_TRUE(answered.grow(kLarge));
  answered.release();
  EXPECT_EQ(budget.held_bytes(), 0U);
  EXPECT_TRUE(answered.grow(kLarge));
}

}  // namespace
}  // namespace cranklock::net
