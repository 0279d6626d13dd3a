// Routines that nobody awaits: when their frames go.
#include "net/task.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "test_cluster.hpp"

namespace cranklock::net {
namespace {

using Socket = std::shared_ptr<int>;  // stands for one: counted while any frame holds it

Task<void> hold(Reactor& reactor, double for_s, Socket /*held*/) {
  if (for_s <= 0) co_return;
  Sleep pause(reactor, for_s);
  co_await pause;
}

Task<void> hold_through_another(Reactor& reactor, double for_s, Socket socket) {
  auto holding = hold(reactor, for_s, socket);
  co_await holding;
}

// 1,000 sockets of connections that were over stayed open until the next connection came; with all
// sockets taken none could, and the node was deaf for good.
TEST(Scope, WhatARoutineHoldsGoesWithItsEndAndNotWithTheNextRoutine) {
  constexpr int kRoutines = 1000;
  testing::FakeReactor reactor;
  Scope scope;
  const auto socket = std::make_shared<int>(0);
  for (int i = 0; i < kRoutines; ++i) {
    scope.spawn(hold_through_another(reactor, 1 + i % 2, socket));
  }
  EXPECT_EQ(socket.use_count(), 1 + 2 * kRoutines);
  reactor.run_until(1.5);
  EXPECT_EQ(scope.size(), static_cast<std::size_t>(kRoutines / 2));
  EXPECT_EQ(socket.use_count(), 1 + kRoutines);
  reactor.run_until(2.5);
  EXPECT_EQ(scope.size(), 0U);
  EXPECT_EQ(socket.use_count(), 1);
}

TEST(Scope, ARoutineMayEndBeforeItWaitsForAnything) {
  testing::FakeReactor reactor;
  Scope scope;
  const auto socket = std::make_shared<int>(0);
  scope.spawn(hold(reactor, 0, socket));
  EXPECT_EQ(scope.size(), 0U);
  EXPECT_EQ(socket.use_count(), 1);
}

TEST(Scope, ClearingItCancelsWhatStillRuns) {
  testing::FakeReactor reactor;
  Scope scope;
  const auto socket = std::make_shared<int>(0);
  scope.spawn(hold(reactor, 1, socket));
  scope.spawn(hold(reactor, 5, socket));
  reactor.run_until(2);
  scope.clear();
  EXPECT_EQ(socket.use_count(), 1);
  reactor.run_until(10);
  EXPECT_EQ(scope.size(), 0U);
}

}  // namespace
}  // namespace cranklock::net
