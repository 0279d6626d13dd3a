// When the frames of tasks that no coroutine awaits are destroyed.
#include "net/task.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "test_cluster.hpp"

namespace cranklock::net {
namespace {

using Socket =
    std::shared_ptr<int>;  // stands for a socket; use_count() is the number of frames that own it

Task<void> hold(Reactor& reactor, double for_s, Socket /*held*/) {
  if (for_s <= 0) co_return;
  Sleep pause(reactor, for_s);
  co_await pause;
}

Task<void> hold_through_another(Reactor& reactor, double for_s, Socket socket) {
  auto holding = hold(reactor, for_s, socket);
  co_await holding;
}

// Guards against ended tasks being destroyed only when the next task is spawned: 1,000 sockets of
// closed connections stayed open until the next connection, and with all sockets in use no
// connection could arrive, so that the controller was permanently unreachable.
TEST(Scope, ATaskReleasesItsResourcesWhenItEndsAndNotWhenTheNextIsSpawned) {
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

TEST(Scope, ATaskMayEndBeforeItsFirstSuspension) {
  testing::FakeReactor reactor;
  Scope scope;
  const auto socket = std::make_shared<int>(0);
  scope.spawn(hold(reactor, 0, socket));
  EXPECT_EQ(scope.size(), 0U);
  EXPECT_EQ(socket.use_count(), 1);
}

TEST(Scope, ClearCancelsRunningTasks) {
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
