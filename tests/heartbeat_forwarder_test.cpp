// A node that forwards its zone's reports, and when it may answer alone.
#include "control/heartbeat_forwarder.hpp"

#include <gtest/gtest.h>

#include "test_cluster.hpp"

namespace cranklock::control {
namespace {

using testing::heartbeat;

struct Carrier {
  testing::FakeReactor reactor;
  base::Settings settings = testing::small_settings();
  HeartbeatForwarder forwarder{reactor, settings};
  std::vector<peer::ForwardedHeartbeat> sent;
  double state_heard = 0;

  Carrier() {
    settings.others = {{"n9", "b", "peer"}};
    reactor.run_until(100);
    forwarder.set_send([this](const std::string& to, const peer::Frame& frame) {
      EXPECT_EQ(to, "n9");
      sent.push_back(std::get<peer::ForwardedHeartbeat>(frame));
    });
  }
  void hear(std::uint64_t fencing_token = 7) {
    peer::PeerHeartbeat peer_heartbeat{"n9", fencing_token, true, true};
    peer_heartbeat.sent_clock_ms = 5;
    forwarder.on_peer_heartbeat(peer_heartbeat);
  }
  /// The status, once the worker's patience is nearly over at the latest.
  int forward(std::uint64_t fencing_token = 7, int delegation_ms = -1) {
    auto task = forwarder.forward(heartbeat("n-1", 1, 1, {}, fencing_token), "{}",
                                  [this] { return state_heard; });
    task.start();
    if (delegation_ms >= 0 && !task.done()) {
      forwarder.on_response(
          {sent.back().id, 200, 7, static_cast<std::uint32_t>(delegation_ms), "{}"});
    }
    for (int i = 0; i < 40 && !task.done(); ++i) reactor.run_until(reactor.now() + 0.1);
    EXPECT_TRUE(task.done());
    return task.take().status;
  }
  bool answered_alone() const {
    peer::PeerHeartbeat peer_heartbeat;
    forwarder.describe(peer_heartbeat);
    return peer_heartbeat.delegate_responded_ms != peer::kNever;
  }
};

TEST(HeartbeatForwarder, CarriesReportsAndLetsNobodyElseBeTimedByThem) {
  Carrier c;
  EXPECT_FALSE(c.forwarder.may_forward(heartbeat("n-1", 1, 1)));  // no leader is heard
  c.hear();
  EXPECT_TRUE(c.forwarder.may_forward(heartbeat("n-1", 1, 1)));
  // Another zone's is answered once, and sent to the leader then.
  const auto other_zone = heartbeat("n-2", 1, 1, {}, 7, "b");
  EXPECT_TRUE(c.forwarder.may_forward(other_zone));
  c.forwarder.note_forwarded(other_zone);
  EXPECT_FALSE(c.forwarder.may_forward(other_zone));
  c.reactor.run_until(c.reactor.now() + 1);
  c.hear();
  EXPECT_FALSE(c.forwarder.may_forward(other_zone));
  // Back within a lease, it is forwarded for good.
  c.forwarder.note_sent_away(other_zone);
  EXPECT_TRUE(c.forwarder.may_forward(other_zone));
  c.forwarder.note_forwarded(other_zone);
  EXPECT_TRUE(c.forwarder.may_forward(other_zone));
  EXPECT_EQ(c.forward(7, 20'000), 200);
  EXPECT_FALSE(c.answered_alone());
}

TEST(HeartbeatForwarder, AnswersAloneOnlyWhenCutOffAndOnlyAsLongAsItWasAllowed) {
  Carrier c;
  c.hear();
  ASSERT_EQ(c.forward(7, 20'000), 200);
  EXPECT_EQ(c.forward(), 200);  // no answer came, the leader is not heard, nor is the state service
  EXPECT_TRUE(c.answered_alone());
  c.reactor.run_until(119.9);
  EXPECT_EQ(c.forward(), 200);
  EXPECT_EQ(c.forward(8), 421);  // a worker that has seen a newer fencing token
  c.reactor.run_until(120.1);
  EXPECT_EQ(c.forward(), 421);
}

TEST(HeartbeatForwarder, ForwardsForAZoneWithoutAControllerAndNeverAnswersItAlone) {
  Carrier c;
  const auto exposed = heartbeat("n-2", 1, 1, {}, 7, "c");
  EXPECT_FALSE(c.forwarder.may_forward(exposed));  // no leader is heard
  c.hear();
  EXPECT_TRUE(c.forwarder.may_forward(exposed));
  c.reactor.run_until(c.reactor.now() + 5);
  EXPECT_FALSE(c.forwarder.may_forward(exposed));
}

// 4,200 workers at one node: what is remembered of each must not go with the 4,097th.
TEST(HeartbeatForwarder, RemembersEveryWorkerOfALargeFleet) {
  constexpr int kWorkers = 4200;
  Carrier c;
  const auto name = [](int i) { return "n-" + std::to_string(i); };
  c.hear();
  for (int i = 0; i < kWorkers; ++i) {
    const auto own = heartbeat(name(i), 1, 1);
    auto task = c.forwarder.forward(own, "{}", [&c] { return c.state_heard; });
    task.start();
    c.forwarder.on_response({c.sent.back().id, 200, 7, 20'000, "{}"});
    c.reactor.run_until(c.reactor.now() + 0.0001);
    ASSERT_TRUE(task.done());
    c.forwarder.note_forwarded(heartbeat("b-" + name(i), 1, 1, {}, 7, "b"));
  }
  for (int i = 0; i < kWorkers; ++i) {
    const auto other_zone = heartbeat("b-" + name(i), 1, 2, {}, 7, "b");
    ASSERT_FALSE(c.forwarder.may_forward(other_zone)) << i;  // not taken for a first visit
    c.forwarder.note_sent_away(other_zone);
  }
  for (int i = 0; i < kWorkers; ++i) {
    ASSERT_TRUE(c.forwarder.may_forward(heartbeat("b-" + name(i), 1, 2, {}, 7, "b"))) << i;
  }
  c.reactor.run_until(c.reactor.now() + 5);  // the leader is not heard any more
  for (int i = 0; i < kWorkers; ++i) {
    ASSERT_TRUE(c.forwarder.may_forward(heartbeat(name(i), 1, 2))) << i;
  }
}

// Guards against a leader that counts on its forwarders' silence: while it is heard they keep it.
TEST(HeartbeatForwarder, NeverAnswersAloneWhileTheLeaderIsHeard) {
  Carrier c;
  c.hear();
  ASSERT_EQ(c.forward(7, 20'000), 200);
  auto task = c.forwarder.forward(heartbeat("n-1", 1, 2), "{}", [&] { return 0.0; });
  task.start();
  for (int i = 0; i < 40 && !task.done(); ++i) {
    c.hear();
    c.reactor.run_until(c.reactor.now() + 0.1);
  }
  ASSERT_TRUE(task.done());
  EXPECT_EQ(task.take().status, 421);
  EXPECT_FALSE(c.answered_alone());
}

// Guards against holding workers back from a leader's successor.
TEST(HeartbeatForwarder, SendsWorkersAwayWhenOnlyTheLeaderIsGone) {
  Carrier c;
  c.hear();
  ASSERT_EQ(c.forward(7, 20'000), 200);
  c.state_heard = 101;
  EXPECT_EQ(c.forward(), 421);
  c.state_heard = 0;
  c.hear(9);  // a successor: what its predecessor allowed is void
  c.reactor.run_until(c.reactor.now() + 2);
  EXPECT_EQ(c.forward(), 421);
}

// A leader that is not heard any more, and its successor before the worker's patience is over: the
// same report is answered by the successor, and what the former leader says late counts no more.
TEST(HeartbeatForwarder, AReportWaitsForTheLeadersSuccessor) {
  Carrier c;
  c.hear();
  c.state_heard = 200;  // this node is not cut off
  auto task = c.forwarder.forward(heartbeat("n-1", 1, 1), "{}", [&] { return c.state_heard; });
  task.start();
  ASSERT_EQ(c.sent.size(), 1U);
  const auto first = c.sent[0].id;
  for (int i = 0; i < 20; ++i) c.reactor.run_until(c.reactor.now() + 0.1);
  ASSERT_FALSE(task.done());
  EXPECT_EQ(c.sent.size(), 1U);
  c.hear(9);
  c.reactor.run_until(c.reactor.now() + 0.5);
  ASSERT_EQ(c.sent.size(), 2U);
  c.forwarder.on_response({first, 200, 7, 20'000, "old"});
  c.reactor.run_until(c.reactor.now() + 0.1);
  ASSERT_FALSE(task.done());
  c.forwarder.on_response({c.sent[1].id, 200, 9, 20'000, "new"});
  c.reactor.run_until(c.reactor.now() + 0.1);
  ASSERT_TRUE(task.done());
  const auto response = task.take();
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "new");
}

// Guards against prolonging what is to be stopped: an answer that forwards a stop allows nothing.
TEST(HeartbeatForwarder, AnAnswerThatAllowsNothingEndsWhatAnEarlierOneAllowed) {
  Carrier c;
  c.hear();
  ASSERT_EQ(c.forward(7, 20'000), 200);
  c.hear();
  ASSERT_EQ(c.forward(7, 0), 200);
  EXPECT_EQ(c.forward(), 421);
}

TEST(HeartbeatForwarder, AnswersToAFormerRunAreNotTakenForItsOwn) {
  Carrier before;
  before.hear();
  before.forward(7, 20'000);
  Carrier c;  // the same node, restarted a little later
  c.reactor.run_until(100.2);
  HeartbeatForwarder restarted{c.reactor, c.settings};
  restarted.set_send([&](const std::string&, const peer::Frame& frame) {
    c.sent.push_back(std::get<peer::ForwardedHeartbeat>(frame));
  });
  peer::PeerHeartbeat peer_heartbeat{"n9", 7, true, true};
  restarted.on_peer_heartbeat(peer_heartbeat);
  auto task = restarted.forward(heartbeat("n-1", 1, 2), "{}", [] { return 0.0; });
  task.start();
  ASSERT_EQ(c.sent.size(), 1u);
  EXPECT_GT(c.sent[0].id, before.sent[0].id + 10'000);
  restarted.on_response({before.sent[0].id, 200, 7, 20'000, "{}"});
  EXPECT_FALSE(task.done());
}

}  // namespace
}  // namespace cranklock::control
