#include "net/buffer_budget.hpp"

#include <gtest/gtest.h>

#include <list>

namespace cranklock::net {
namespace {

constexpr std::size_t kLarge = std::size_t{64} * 1024;

// 300 connections with a body each took 22 MB of the 27 that the smallest machines have.
TEST(BufferBudget, AFloodOfLargeRequestsIsHeldToTheBudget) {
  BufferBudget budget(10 * kLarge);
  std::list<BufferBudget::Share> shares;
  int taken = 0;
  for (int i = 0; i < 300; ++i) {
    if (shares.emplace_back(budget).grow(kLarge)) {
      ++taken;
    } else {
      shares.pop_back();  // refused: its connection ends
    }
  }
  EXPECT_EQ(taken, 10);
  EXPECT_LE(budget.held(), 10 * kLarge);
}

TEST(BufferBudget, SmallRequestsAreTakenAllTheSame) {
  BufferBudget budget(kLarge);
  BufferBudget::Share large(budget), small(budget);
  EXPECT_TRUE(large.grow(kLarge));
  EXPECT_TRUE(small.grow(BufferBudget::kAlwaysTaken));
  EXPECT_FALSE(small.grow(1));
}

TEST(BufferBudget, WhatWasAnsweredOrClosedIsGivenBack) {
  BufferBudget budget(kLarge);
  {
    BufferBudget::Share closed(budget);
    EXPECT_TRUE(closed.grow(kLarge));
  }
  BufferBudget::Share answered(budget);
  EXPECT_TRUE(answered.grow(kLarge));
  answered.release();
  EXPECT_EQ(budget.held(), 0U);
  EXPECT_TRUE(answered.grow(kLarge));
}

}  // namespace
}  // namespace cranklock::net
