// A lost leadership stays lost, and its loss wakes the coroutine that renews the leader lease.
#include "control/leadership_status.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string_view>

#include "test_cluster.hpp"

namespace cranklock::control {
namespace {

constexpr double kTimeoutS = 10;

net::Task<bool> wait_for(net::Signal& signal) {
  net::Signal::Wait wait(signal, kTimeoutS);
  const bool signalled = co_await wait;
  co_return signalled;
}

TEST(LeadershipStatus, StepsDownOncePermanently) {
  testing::FakeReactor reactor;
  net::Signal lost(reactor);
  LeadershipStatus leadership(7, lost);
  EXPECT_FALSE(leadership.is_lost());

  leadership.step_down(LeadershipLoss::leader_key_changed);
  leadership.step_down(LeadershipLoss::agent_saw_higher_token);

  EXPECT_TRUE(leadership.is_lost());
}

TEST(LeadershipStatus, WakesTheCoroutineThatRenewsTheLease) {
  testing::FakeReactor reactor;
  net::Signal lost(reactor);
  LeadershipStatus leadership(7, lost);
  auto waiting = wait_for(lost);
  waiting.start();

  leadership.step_down(LeadershipLoss::peer_has_higher_token);
  EXPECT_FALSE(waiting.done());  // resumed by the event loop, not by the caller
  reactor.run_until(reactor.now() + 0.1);

  ASSERT_TRUE(waiting.done());
  EXPECT_TRUE(waiting.take());
}

TEST(LeadershipStatus, EachReasonHasADistinctText) {
  const std::set<std::string_view> reasons{to_string(LeadershipLoss::agent_saw_higher_token),
                                           to_string(LeadershipLoss::peer_has_higher_token),
                                           to_string(LeadershipLoss::leader_key_changed),
                                           to_string(LeadershipLoss::lease_ended)};
  EXPECT_EQ(reasons.size(), 4u);
  EXPECT_FALSE(reasons.contains(""));
}

}  // namespace
}  // namespace cranklock::control
