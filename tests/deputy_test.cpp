// A node that carries its zone's reports, and when it may answer alone.
#include "control/deputy.hpp"

#include <gtest/gtest.h>

#include "world.hpp"

namespace cranklock::control {
namespace {

using testing::report;

struct Carrier {
  testing::FakeReactor reactor;
  base::Settings settings = testing::small_settings();
  Deputy deputy{reactor, settings};
  std::vector<peer::Carried> sent;
  double state_heard = 0;

  Carrier() {
    reactor.run_until(100);
    deputy.set_send([this](const std::string& to, const peer::Frame& frame) {
      EXPECT_EQ(to, "n9");
      sent.push_back(std::get<peer::Carried>(frame));
    });
  }
  void hear(std::uint64_t token = 7) {
    peer::Hello hello{"n9", token, true, true};
    hello.sent_ms = 5;
    deputy.heard(hello);
  }
  /// The status, once the worker's patience is nearly over at the latest.
  int carry(std::uint64_t token = 7, int stand_in_ms = -1) {
    auto task = deputy.carry(report("n-1", 1, 1, {}, token), "{}", [this] { return state_heard; });
    task.start();
    if (stand_in_ms >= 0 && !task.done()) {
      deputy.answered({sent.back().id, 200, 7, static_cast<std::uint32_t>(stand_in_ms), "{}"});
    }
    for (int i = 0; i < 40 && !task.done(); ++i) reactor.run_until(reactor.now() + 0.1);
    EXPECT_TRUE(task.done());
    return task.take().status;
  }
  bool stood_in() const {
    peer::Hello hello;
    deputy.describe(hello);
    return hello.stood_in_ms != peer::kNever;
  }
};

TEST(Deputy, CarriesReportsAndLetsNobodyElseBeTimedByThem) {
  Carrier c;
  EXPECT_FALSE(c.deputy.may_carry(report("n-1", 1, 1)));  // no leader is heard
  c.hear();
  EXPECT_TRUE(c.deputy.may_carry(report("n-1", 1, 1)));
  EXPECT_FALSE(c.deputy.may_carry(report("n-1", 1, 1, {}, 7, "b")));  // another zone's
  EXPECT_EQ(c.carry(7, 20'000), 200);
  EXPECT_FALSE(c.stood_in());
}

TEST(Deputy, AnswersAloneOnlyWhenCutOffAndOnlyAsLongAsItWasAllowed) {
  Carrier c;
  c.hear();
  ASSERT_EQ(c.carry(7, 20'000), 200);
  EXPECT_EQ(c.carry(), 200);  // no answer came, the leader is not heard, nor is the state service
  EXPECT_TRUE(c.stood_in());
  c.reactor.run_until(119.9);
  EXPECT_EQ(c.carry(), 200);
  EXPECT_EQ(c.carry(8), 421);  // a worker that has seen a newer token
  c.reactor.run_until(120.1);
  EXPECT_EQ(c.carry(), 421);
}

// Guards against a leader that counts on its deputies' silence: while it is heard they keep it.
TEST(Deputy, NeverAnswersAloneWhileTheLeaderIsHeard) {
  Carrier c;
  c.hear();
  ASSERT_EQ(c.carry(7, 20'000), 200);
  auto task = c.deputy.carry(report("n-1", 1, 2), "{}", [&] { return 0.0; });
  task.start();
  for (int i = 0; i < 40 && !task.done(); ++i) {
    c.hear();
    c.reactor.run_until(c.reactor.now() + 0.1);
  }
  ASSERT_TRUE(task.done());
  EXPECT_EQ(task.take().status, 421);
  EXPECT_FALSE(c.stood_in());
}

// Guards against holding workers back from a leader's successor.
TEST(Deputy, SendsWorkersAwayWhenOnlyTheLeaderIsGone) {
  Carrier c;
  c.hear();
  ASSERT_EQ(c.carry(7, 20'000), 200);
  c.state_heard = 101;
  EXPECT_EQ(c.carry(), 421);
  c.state_heard = 0;
  c.hear(9);  // a successor: what its predecessor allowed is void
  c.reactor.run_until(c.reactor.now() + 2);
  EXPECT_EQ(c.carry(), 421);
}

// Guards against prolonging what is to be stopped: an answer that carries a stop allows nothing.
TEST(Deputy, AnAnswerThatAllowsNothingEndsWhatAnEarlierOneAllowed) {
  Carrier c;
  c.hear();
  ASSERT_EQ(c.carry(7, 20'000), 200);
  c.hear();
  ASSERT_EQ(c.carry(7, 0), 200);
  EXPECT_EQ(c.carry(), 421);
}

TEST(Deputy, AnswersToAFormerRunAreNotTakenForItsOwn) {
  Carrier before;
  before.hear();
  before.carry(7, 20'000);
  Carrier c;  // the same node, restarted a little later
  c.reactor.run_until(100.2);
  Deputy restarted{c.reactor, c.settings};
  restarted.set_send([&](const std::string&, const peer::Frame& frame) {
    c.sent.push_back(std::get<peer::Carried>(frame));
  });
  peer::Hello hello{"n9", 7, true, true};
  restarted.heard(hello);
  auto task = restarted.carry(report("n-1", 1, 2), "{}", [] { return 0.0; });
  task.start();
  ASSERT_EQ(c.sent.size(), 1u);
  EXPECT_GT(c.sent[0].id, before.sent[0].id + 10'000);
  restarted.answered({before.sent[0].id, 200, 7, 20'000, "{}"});
  EXPECT_FALSE(task.done());
}

}  // namespace
}  // namespace cranklock::control
