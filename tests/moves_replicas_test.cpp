// Replicas that move behind a router while chats go on, through controllers, machines and routers
// that fail. No request may be dropped, whatever fails.
#include <gtest/gtest.h>

#include <algorithm>

#include "fragments.hpp"
#include "router_stand_in.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

/// The fragmented fleet of `Fragments`, whose small tasks are replicas with chats.
class Chats {
 public:
  static constexpr std::size_t kMaxChats = 20;  // that one replica carries
  Fragments fragments{settings(), 3, replicas()};
  TestCluster& w = fragments.w;
  RouterStandIn router{kMaxChats};
  bool router_answers = true;
  double router_slow_s = 0;
  int requests = 0, dropped = 0;
  int max_drained = 0;  ///< replicas at once

  explicit Chats(int chats = 12, int turns = 6) : turns_(turns) {
    w.router = [this](const net::Request& request) -> std::optional<net::Response> {
      watch();
      if (!router_answers) return std::nullopt;
      return router.handle(request, w.reactor.now());
    };
    scope_.spawn(watch_replicas());
    for (int i = 0; i < chats; ++i) scope_.spawn(use(0.35 * i));
    fragments.run(1);
  }
  ~Chats() { scope_.clear(); }
  Chats(const Chats&) = delete;
  Chats& operator=(const Chats&) = delete;

  bool runs(const RouterStandIn::Replica& replica) const {
    const auto& worker = *w.workers.at(replica.machine);
    const auto task = worker.tasks.find(wire::to_string(replica.task));
    return !worker.is_deleted && task != worker.tasks.end() &&
           task->second.attempt == replica.attempt &&
           task->second.state == wire::TaskState::running;
  }
  bool is_over() { return fragments.large_runs() && fragments.is_settled(); }
  double longest() const { return fragments.longest() + 2 * kBoot; }

 private:
  static base::Settings settings() {
    auto settings = settings_with_moves();
    settings.operators.defrag.drain = {"router", "/drains"};
    return settings;
  }
  static wire::JobSpec replicas() { return make_job(kSmall, JobKind::service, 4, 3).spec; }

  void watch() {
    std::vector<RouterStandIn::Replica> replicas;
    for (const auto& [id, worker] : w.workers) {
      for (const auto& [name, task] : worker->tasks) {
        const RouterStandIn::Replica replica{*wire::parse_task(name), task.attempt, id,
                                             worker->address};
        if (replica.task.job == kSmall && runs(replica)) replicas.push_back(replica);
      }
    }
    int drained = 0;
    for (const auto& replica : replicas) {
      drained += router.is_drained(replica.task, w.reactor.now()) ? 1 : 0;
    }
    max_drained = std::max(max_drained, drained);
    router.set_replicas(std::move(replicas), w.reactor.now());
  }
  net::Task<void> watch_replicas() {
    constexpr double kEvery = 0.02;
    for (;;) {
      watch();
      net::Sleep pause(w.reactor, kEvery);
      co_await pause;
    }
  }
  // One chat after the other, each of several requests with pauses.
  net::Task<void> use(double first_after_s) {
    constexpr double kRequestTakes = 0.4, kPause = 0.6;
    net::Sleep begin(w.reactor, first_after_s);
    co_await begin;
    for (;;) {
      const int chat = ++chats_;
      for (int turn = 0; turn < turns_; ++turn) {
        watch();
        const auto replica = router.begin_request(chat, kSmall, w.reactor.now());
        ++requests;
        net::Sleep serving(w.reactor, kRequestTakes);
        co_await serving;
        dropped += replica && runs(*replica) ? 0 : 1;
        router.end_request(chat);
        net::Sleep pause(w.reactor, kPause);
        co_await pause;
      }
      router.end_chat(chat);
    }
  }

  int turns_;
  int chats_ = 0;
  net::Scope scope_;
};

TEST(MovesReplicas, ALargeModelIsPlacedAndNoRequestIsDropped) {
  Chats chats;
  chats.fragments.ask_for_large();
  EXPECT_TRUE(chats.fragments.until(3 * kBoot, [&] { return chats.is_over(); }));
  chats.fragments.run(10);
  EXPECT_EQ(chats.dropped, 0);
  EXPECT_GT(chats.requests, 300);
  EXPECT_EQ(chats.fragments.moves_begun(), 2);
  EXPECT_EQ(chats.max_drained, 1);  // of four replicas, one at a time
}

// A chat that does not end is carried over, with a request of its own.
TEST(MovesReplicas, ChatsThatDoNotEndAreCarriedOver) {
  Chats chats(12, 1'000'000);
  chats.fragments.ask_for_large();
  EXPECT_TRUE(chats.fragments.until(3 * kBoot, [&] { return chats.is_over(); }));
  EXPECT_EQ(chats.dropped, 0);
  EXPECT_GT(chats.router.reassigned_chats(), 0);
}

TEST(MovesReplicas, ARouterThatRefusesOrDoesNotAnswerStopsTheMove) {
  for (const bool answers : {false, true}) {
    Chats chats(answers ? 70 : 12);  // more than three replicas carry
    chats.router_answers = answers;
    chats.fragments.ask_for_large();
    chats.fragments.run(3 * kBoot);
    EXPECT_FALSE(chats.fragments.large_runs());
    EXPECT_EQ(chats.dropped, 0);
    EXPECT_EQ(chats.router.drains_refused() > 0, answers);
    for (const auto& [task, starts] : chats.w.start_counts) EXPECT_EQ(starts, 1) << task;
    EXPECT_FALSE(chats.fragments.reservations_held());
  }
}

/// Moments of a plan that moves two replicas, and a while after.
std::vector<double> drain_moments() {
  std::vector<double> out;
  for (double at = 0; at < 18; at += 0.6) out.push_back(at);
  return out;
}

TEST(MovesReplicas, LeadersEndAtAnyMoment) {
  for (const double at : drain_moments()) {
    Chats chats;
    auto& w = chats.w;
    ASSERT_TRUE(chats.fragments.run_into_plan(at));
    const int first = w.leader();
    w.crash_node(first);
    chats.fragments.run(5);
    w.start_node(first);
    EXPECT_TRUE(chats.fragments.recovers()) << at;
    EXPECT_EQ(chats.dropped, 0) << at;
  }
}

// Controllers that are gone keep no replica out of service.
TEST(MovesReplicas, ADrainEndsByItselfWhenAllControllersAreGone) {
  for (const double at : drain_moments()) {
    Chats chats;
    auto& w = chats.w;
    ASSERT_TRUE(chats.fragments.run_into_plan(at));
    for (int node = 0; node < w.nodes(); ++node) w.crash_node(node);
    chats.fragments.run(w.base_settings.lease_s);
    for (std::uint32_t task = 0; task < 4; ++task) {
      EXPECT_FALSE(chats.router.is_drained({kSmall, task}, w.reactor.now())) << at;
    }
  }
}

// The leader stands still, or is cut from the state service and its peers, and believes that it
// leads; its successor goes on. Stops of both rest on drains that still hold.
TEST(MovesReplicas, TwoControllersBelieveThatTheyLead) {
  for (const bool is_paused : {false, true}) {
    for (const double at : drain_moments()) {
      Chats chats;
      auto& w = chats.w;
      ASSERT_TRUE(chats.fragments.run_into_plan(at));
      const int old = w.leader();
      if (is_paused) {
        w.pause_node(old);
      } else {
        w.cut_from_state = {old};
        w.cut_from_peers = {old};
      }
      chats.fragments.run(20);
      w.cut_from_state.clear();
      w.cut_from_peers.clear();
      if (is_paused) w.resume_node(old);
      EXPECT_TRUE(chats.fragments.recovers()) << at;
      EXPECT_EQ(chats.dropped, 0) << at;
    }
  }
}

// Direct commands are held up on their way and carried out late: the stop of a replica is none.
TEST(MovesReplicas, CommandsThatComeLateStopNoReplica) {
  for (const double at : drain_moments()) {
    Chats chats;
    auto& w = chats.w;
    ASSERT_TRUE(chats.fragments.run_into_plan(at));
    for (auto& [id, worker] : w.workers) worker->command_delay_s = 13;
    const int first = w.leader();
    chats.fragments.run(2);
    w.crash_node(first);
    chats.fragments.run(20);
    for (auto& [id, worker] : w.workers) worker->command_delay_s = 0;
    w.start_node(first);
    EXPECT_TRUE(chats.fragments.recovers()) << at;
    EXPECT_EQ(chats.dropped, 0) << at;
  }
}

// A leader that can't confirm its lease may have been replaced: it prolongs no drain.
TEST(MovesReplicas, ALeaderInDoubtKeepsNoReplicaOutOfService) {
  for (const double at : drain_moments()) {
    Chats chats(12, 1'000'000);  // so that drains last
    auto& w = chats.w;
    ASSERT_TRUE(chats.fragments.run_into_plan(at));
    w.state_down = true;
    chats.fragments.run(1.5 * w.base_settings.lease_s);
    for (std::uint32_t task = 0; task < 4; ++task) {
      EXPECT_FALSE(chats.router.is_drained({kSmall, task}, w.reactor.now())) << at;
    }
    w.state_down = false;
    EXPECT_TRUE(chats.fragments.recovers()) << at;
    EXPECT_EQ(chats.dropped, 0) << at;
  }
}

// The plan is dropped while commands are held up: a replica that serves again is not stopped late.
TEST(MovesReplicas, NoStopIsUnderWayWhenAPlanIsDropped) {
  for (double at = 0; at < 10; at += 0.3) {
    Chats chats;
    auto& w = chats.w;
    chats.fragments.ask_for_large();
    ASSERT_TRUE(chats.fragments.reach_plan());
    for (auto& [id, worker] : w.workers) worker->command_delay_s = 4;
    chats.fragments.run(at);
    w.cancel(w.leader(), kLarge);
    chats.fragments.run(10);
    EXPECT_EQ(chats.dropped, 0) << at;
  }
}

// The router falls silent in the middle: its drain runs out, and the replica serves again.
TEST(MovesReplicas, ARouterThatFallsSilentEndsTheMove) {
  for (const double at : drain_moments()) {
    Chats chats;
    ASSERT_TRUE(chats.fragments.run_into_plan(at));
    chats.router_answers = false;
    EXPECT_TRUE(chats.fragments.until(chats.longest(), [&] {
      return !chats.fragments.has_plan() && !chats.fragments.reservations_held();
    })) << at;
    EXPECT_EQ(chats.dropped, 0) << at;
    EXPECT_TRUE(chats.fragments.until(10, [&] { return chats.w.running_tasks(kSmall) == 4; }))
        << at;
  }
}

TEST(MovesReplicas, TheWaitingJobIsCancelledWhileAReplicaDrains) {
  for (const double at : drain_moments()) {
    Chats chats;
    auto& w = chats.w;
    ASSERT_TRUE(chats.fragments.run_into_plan(at));
    w.cancel(w.leader(), kLarge);
    // The drain is taken back at once, not at its lease's end.
    chats.fragments.run(2);
    for (std::uint32_t task = 0; task < 4; ++task) {
      EXPECT_FALSE(chats.router.is_drained({kSmall, task}, w.reactor.now())) << at;
    }
    EXPECT_TRUE(chats.fragments.until(10, [&] { return chats.fragments.is_settled(); })) << at;
    EXPECT_EQ(chats.dropped, 0) << at;
  }
}

}  // namespace
}  // namespace cranklock::testing
