// Which connections a server keeps open.
#include "net/connection_budget.hpp"

#include <gtest/gtest.h>

namespace cranklock::net {
namespace {

TEST(ConnectionBudget, ConnectionsAreKeptAliveUpToThreeQuartersOfTheLimit) {
  ConnectionBudget budget(100);
  for (int i = 0; i < 75; ++i) budget.opened();
  EXPECT_TRUE(budget.may_keep_alive());
  budget.opened();
  EXPECT_FALSE(budget.may_keep_alive());
  EXPECT_FALSE(budget.is_full());
  budget.closed();
  EXPECT_TRUE(budget.may_keep_alive());
}

TEST(ConnectionBudget, NewConnectionsAreAcceptedUpToAnEighthAboveTheLimit) {
  ConnectionBudget budget(80);
  for (int i = 0; i < 80; ++i) budget.opened();
  EXPECT_TRUE(budget.is_full());
  EXPECT_DOUBLE_EQ(budget.load(), 1);
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(budget.may_accept());
    budget.opened();
  }
  EXPECT_FALSE(budget.may_accept());
}

}  // namespace
}  // namespace cranklock::net
