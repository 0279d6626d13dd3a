// A controller that forwards heartbeats, and when it may respond as the leader's delegate.
#include "control/heartbeat_forwarder.hpp"

#include <gtest/gtest.h>

#include "test_cluster.hpp"

namespace cranklock::control {
namespace {

using testing::heartbeat;

struct ForwarderFixture {
  testing::FakeReactor reactor;
  base::Settings settings = testing::small_settings();
  HeartbeatForwarder forwarder{reactor, settings};
  std::vector<peer::ForwardedHeartbeat> sent;
  double store_last_answer_at = 0;

  ForwarderFixture() {
    settings.others = {{"n9", "b", "peer"}};
    reactor.run_until(100);
    forwarder.set_send_frame([this](const std::string& to, const peer::Frame& frame) {
      EXPECT_EQ(to, "n9");
      sent.push_back(std::get<peer::ForwardedHeartbeat>(frame));
    });
  }
  void hear_leader(std::uint64_t fencing_token = 7) {
    peer::PeerHeartbeat peer_heartbeat{"n9", fencing_token, true, true};
    peer_heartbeat.sent_clock_ms = 5;
    forwarder.on_peer_heartbeat(peer_heartbeat);
  }
  /// The status of the response, which comes before the agent's timeout at the latest.
  int forward(std::uint64_t fencing_token = 7, int delegation_ms = -1) {
    auto task = forwarder.forward(heartbeat("n-1", 1, 1, {}, fencing_token), "{}",
                                  [this] { return store_last_answer_at; });
    task.start();
    if (delegation_ms >= 0 && !task.done()) {
      forwarder.on_response(
          {sent.back().id, 200, 7, static_cast<std::uint32_t>(delegation_ms), "{}"});
    }
    for (int i = 0; i < 40 && !task.done(); ++i) reactor.run_until(reactor.now() + 0.1);
    EXPECT_TRUE(task.done());
    return task.take().status;
  }
  bool responded_as_delegate() const {
    peer::PeerHeartbeat peer_heartbeat;
    forwarder.describe(peer_heartbeat);
    return peer_heartbeat.delegate_responded_ms != peer::kNeverMs;
  }
};

TEST(HeartbeatForwarder, ForwardsAnotherZonesAgentOnceAndForGoodWhenItIsBackWithinALease) {
  ForwarderFixture fixture;
  EXPECT_FALSE(fixture.forwarder.may_forward(heartbeat("n-1", 1, 1)));  // no leader is heard
  fixture.hear_leader();
  EXPECT_TRUE(fixture.forwarder.may_forward(heartbeat("n-1", 1, 1)));
  // Another zone's agent is forwarded for once, and redirected to the leader then.
  const auto other_zone = heartbeat("n-2", 1, 1, {}, 7, "b");
  EXPECT_TRUE(fixture.forwarder.may_forward(other_zone));
  fixture.forwarder.note_forwarded(other_zone);
  EXPECT_FALSE(fixture.forwarder.may_forward(other_zone));
  fixture.reactor.run_until(fixture.reactor.now() + 1);
  fixture.hear_leader();
  EXPECT_FALSE(fixture.forwarder.may_forward(other_zone));
  // Back within a lease, it is forwarded for as long as it comes.
  fixture.forwarder.note_redirected(other_zone);
  EXPECT_TRUE(fixture.forwarder.may_forward(other_zone));
  fixture.forwarder.note_forwarded(other_zone);
  EXPECT_TRUE(fixture.forwarder.may_forward(other_zone));
  EXPECT_EQ(fixture.forward(7, 20'000), 200);
  EXPECT_FALSE(fixture.responded_as_delegate());
}

TEST(HeartbeatForwarder, RespondsAsDelegateOnlyWhenCutOffAndWithinTheDelegation) {
  ForwarderFixture fixture;
  fixture.hear_leader();
  ASSERT_EQ(fixture.forward(7, 20'000), 200);
  // No response came, and neither the leader nor the key-value store is heard.
  EXPECT_EQ(fixture.forward(), 200);
  EXPECT_TRUE(fixture.responded_as_delegate());
  fixture.reactor.run_until(119.9);
  EXPECT_EQ(fixture.forward(), 200);
  EXPECT_EQ(fixture.forward(8), 421);  // an agent that has seen a newer fencing token
  fixture.reactor.run_until(120.1);
  EXPECT_EQ(fixture.forward(), 421);
}

TEST(HeartbeatForwarder, ForwardsForAZoneWithoutAControllerAndIsNeverItsDelegate) {
  ForwarderFixture fixture;
  const auto exposed = heartbeat("n-2", 1, 1, {}, 7, "c");
  EXPECT_FALSE(fixture.forwarder.may_forward(exposed));  // no leader is heard
  fixture.hear_leader();
  EXPECT_TRUE(fixture.forwarder.may_forward(exposed));
  fixture.reactor.run_until(fixture.reactor.now() + 5);
  EXPECT_FALSE(fixture.forwarder.may_forward(exposed));
}

// 4,200 agents at one controller: what is remembered of each must not go with the 4,097th.
TEST(HeartbeatForwarder, RemembersEveryAgentOfALargeFleet) {
  constexpr int kAgents = 4200;
  ForwarderFixture fixture;
  const auto name = [](int i) { return "n-" + std::to_string(i); };
  fixture.hear_leader();
  for (int i = 0; i < kAgents; ++i) {
    const auto own = heartbeat(name(i), 1, 1);
    auto task =
        fixture.forwarder.forward(own, "{}", [&fixture] { return fixture.store_last_answer_at; });
    task.start();
    fixture.forwarder.on_response({fixture.sent.back().id, 200, 7, 20'000, "{}"});
    fixture.reactor.run_until(fixture.reactor.now() + 0.0001);
    ASSERT_TRUE(task.done());
    fixture.forwarder.note_forwarded(heartbeat("b-" + name(i), 1, 1, {}, 7, "b"));
  }
  for (int i = 0; i < kAgents; ++i) {
    const auto other_zone = heartbeat("b-" + name(i), 1, 2, {}, 7, "b");
    ASSERT_FALSE(fixture.forwarder.may_forward(other_zone)) << i;  // not taken for a first visit
    fixture.forwarder.note_redirected(other_zone);
  }
  for (int i = 0; i < kAgents; ++i) {
    ASSERT_TRUE(fixture.forwarder.may_forward(heartbeat("b-" + name(i), 1, 2, {}, 7, "b"))) << i;
  }
  fixture.reactor.run_until(fixture.reactor.now() + 5);  // the leader is not heard any more
  for (int i = 0; i < kAgents; ++i) {
    ASSERT_TRUE(fixture.forwarder.may_forward(heartbeat(name(i), 1, 2))) << i;
  }
}

// Guards the leader's timing of leases: it counts on its forwarders' silence while it is heard.
TEST(HeartbeatForwarder, NeverRespondsAsDelegateWhileTheLeaderIsHeard) {
  ForwarderFixture fixture;
  fixture.hear_leader();
  ASSERT_EQ(fixture.forward(7, 20'000), 200);
  auto task = fixture.forwarder.forward(heartbeat("n-1", 1, 2), "{}", [&] { return 0.0; });
  task.start();
  for (int i = 0; i < 40 && !task.done(); ++i) {
    fixture.hear_leader();
    fixture.reactor.run_until(fixture.reactor.now() + 0.1);
  }
  ASSERT_TRUE(task.done());
  EXPECT_EQ(task.take().status, 421);
  EXPECT_FALSE(fixture.responded_as_delegate());
}

// Guards against holding agents back from a leader's successor.
TEST(HeartbeatForwarder, RedirectsAgentsWhenOnlyTheLeaderIsGone) {
  ForwarderFixture fixture;
  fixture.hear_leader();
  ASSERT_EQ(fixture.forward(7, 20'000), 200);
  fixture.store_last_answer_at = 101;
  EXPECT_EQ(fixture.forward(), 421);
  fixture.store_last_answer_at = 0;
  fixture.hear_leader(9);  // a successor: the delegation of its predecessor is void
  fixture.reactor.run_until(fixture.reactor.now() + 2);
  EXPECT_EQ(fixture.forward(), 421);
}

// A leader that is not heard any more, and its successor before the agent's timeout: the same
// heartbeat is responded to by the successor, and what the former leader responds late is ignored.
TEST(HeartbeatForwarder, AHeartbeatWaitsForTheLeadersSuccessor) {
  ForwarderFixture fixture;
  fixture.hear_leader();
  fixture.store_last_answer_at = 200;  // this node is not cut off
  auto task = fixture.forwarder.forward(heartbeat("n-1", 1, 1), "{}",
                                        [&] { return fixture.store_last_answer_at; });
  task.start();
  ASSERT_EQ(fixture.sent.size(), 1U);
  const auto first = fixture.sent[0].id;
  for (int i = 0; i < 20; ++i) fixture.reactor.run_until(fixture.reactor.now() + 0.1);
  ASSERT_FALSE(task.done());
  EXPECT_EQ(fixture.sent.size(), 1U);
  fixture.hear_leader(9);
  fixture.reactor.run_until(fixture.reactor.now() + 0.5);
  ASSERT_EQ(fixture.sent.size(), 2U);
  fixture.forwarder.on_response({first, 200, 7, 20'000, "old"});
  fixture.reactor.run_until(fixture.reactor.now() + 0.1);
  ASSERT_FALSE(task.done());
  fixture.forwarder.on_response({fixture.sent[1].id, 200, 9, 20'000, "new"});
  fixture.reactor.run_until(fixture.reactor.now() + 0.1);
  ASSERT_TRUE(task.done());
  const auto response = task.take();
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "new");
}

// Guards against prolonging the lease of a machine whose tasks are to be stopped: a response with a
// stop command delegates nothing.
TEST(HeartbeatForwarder, AResponseWithoutADelegationEndsAnEarlierOne) {
  ForwarderFixture fixture;
  fixture.hear_leader();
  ASSERT_EQ(fixture.forward(7, 20'000), 200);
  fixture.hear_leader();
  ASSERT_EQ(fixture.forward(7, 0), 200);
  EXPECT_EQ(fixture.forward(), 421);
}

TEST(HeartbeatForwarder, ResponsesToAnEarlierRunAreNotTakenForItsOwn) {
  ForwarderFixture before;
  before.hear_leader();
  before.forward(7, 20'000);
  ForwarderFixture fixture;  // the same controller, restarted a little later
  fixture.reactor.run_until(100.2);
  HeartbeatForwarder restarted{fixture.reactor, fixture.settings};
  restarted.set_send_frame([&](const std::string&, const peer::Frame& frame) {
    fixture.sent.push_back(std::get<peer::ForwardedHeartbeat>(frame));
  });
  peer::PeerHeartbeat peer_heartbeat{"n9", 7, true, true};
  restarted.on_peer_heartbeat(peer_heartbeat);
  auto task = restarted.forward(heartbeat("n-1", 1, 2), "{}", [] { return 0.0; });
  task.start();
  ASSERT_EQ(fixture.sent.size(), 1u);
  EXPECT_GT(fixture.sent[0].id, before.sent[0].id + 10'000);
  restarted.on_response({before.sent[0].id, 200, 7, 20'000, "{}"});
  EXPECT_FALSE(task.done());
}

}  // namespace
}  // namespace cranklock::control
