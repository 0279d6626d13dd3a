// Replicas that move behind a router while chats continue, with failing controllers, machines and
// routers. No fault may cause a dropped request.
#include <gtest/gtest.h>

#include <algorithm>

#include "fragments.hpp"
#include "router_stand_in.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

/// The fragmented fleet of `Fragments`, with replicas that serve chats as its small tasks.
class Chats {
 public:
  static constexpr std::size_t kMaxChats = 20;  // per replica
  Fragments fragments{settings(), 3, replicas()};
  TestCluster& cluster = fragments.cluster;
  RouterStandIn router{kMaxChats};
  bool router_answers = true;
  double router_slow_s = 0;
  int requests = 0, dropped = 0;
  int max_drained = 0;  ///< maximum number of replicas drained concurrently

  explicit Chats(int chats = 12, int turns = 6) : turns_(turns) {
    cluster.router = [this](const net::Request& request) -> std::optional<net::Response> {
      update_replicas();
      if (!router_answers) return std::nullopt;
      return router.handle(request, cluster.reactor.now());
    };
    scope_.spawn(watch_replicas());
    for (int i = 0; i < chats; ++i) scope_.spawn(run_chats(0.35 * i));
    fragments.run(1);
  }
  ~Chats() { scope_.clear(); }
  Chats(const Chats&) = delete;
  Chats& operator=(const Chats&) = delete;

  bool is_running(const RouterStandIn::Replica& replica) const {
    const auto& worker = *cluster.workers.at(replica.machine);
    const auto task = worker.tasks.find(wire::to_string(replica.task));
    return !worker.is_deleted && task != worker.tasks.end() &&
           task->second.attempt == replica.attempt &&
           task->second.state == wire::TaskState::running;
  }
  bool is_over() { return fragments.is_large_job_running() && fragments.is_settled(); }
  double max_plan_time_s() const { return fragments.max_plan_time_s() + 2 * kBootS; }

 private:
  static base::Settings settings() {
    auto settings = settings_with_moves();
    settings.operator_settings.defrag.drain = {"router", "/drains"};
    return settings;
  }
  static wire::JobSpec replicas() { return make_job(kSmallJob, JobKind::service, 4, 3).spec; }

  void update_replicas() {
    std::vector<RouterStandIn::Replica> replicas;
    for (const auto& [id, worker] : cluster.workers) {
      for (const auto& [name, task] : worker->tasks) {
        const RouterStandIn::Replica replica{*wire::parse_task(name), task.attempt, id,
                                             worker->address};
        if (replica.task.job == kSmallJob && is_running(replica)) replicas.push_back(replica);
      }
    }
    int drained = 0;
    for (const auto& replica : replicas) {
      drained += router.is_drained(replica.task, cluster.reactor.now()) ? 1 : 0;
    }
    max_drained = std::max(max_drained, drained);
    router.set_replicas(std::move(replicas), cluster.reactor.now());
  }
  net::Task<void> watch_replicas() {
    constexpr double kPollIntervalS = 0.02;
    for (;;) {
      update_replicas();
      net::Sleep pause(cluster.reactor, kPollIntervalS);
      co_await pause;
    }
  }
  // Runs one chat after another, each with several requests and pauses between them.
  net::Task<void> run_chats(double first_after_s) {
    constexpr double kRequestDurationS = 0.4, kPauseS = 0.6;
    net::Sleep begin(cluster.reactor, first_after_s);
    co_await begin;
    for (;;) {
      const int chat = ++chats_;
      for (int turn = 0; turn < turns_; ++turn) {
        update_replicas();
        const auto replica = router.begin_request(chat, kSmallJob, cluster.reactor.now());
        ++requests;
        net::Sleep serving(cluster.reactor, kRequestDurationS);
        co_await serving;
        dropped += replica && is_running(*replica) ? 0 : 1;
        router.end_request(chat);
        net::Sleep pause(cluster.reactor, kPauseS);
        co_await pause;
      }
      router.end_chat(chat);
    }
  }

  int turns_;
  int chats_ = 0;
  net::Scope scope_;
};

TEST(MovesReplicas, AGangIsPlacedAndNoRequestIsDropped) {
  Chats chats;
  chats.fragments.submit_large_job();
  EXPECT_TRUE(chats.fragments.until(3 * kBootS, [&] { return chats.is_over(); }));
  chats.fragments.run(10);
  EXPECT_EQ(chats.dropped, 0);
  EXPECT_GT(chats.requests, 300);
  EXPECT_EQ(chats.fragments.moves_begun(), 2);
  EXPECT_EQ(chats.max_drained, 1);  // of four replicas, one at a time
}

// A chat that does not end is carried over to another replica by a request of its own.
TEST(MovesReplicas, ChatsThatDoNotEndAreCarriedOver) {
  Chats chats(12, 1'000'000);
  chats.fragments.submit_large_job();
  EXPECT_TRUE(chats.fragments.until(3 * kBootS, [&] { return chats.is_over(); }));
  EXPECT_EQ(chats.dropped, 0);
  EXPECT_GT(chats.router.reassigned_chats(), 0);
}

TEST(MovesReplicas, ARefusingOrUnresponsiveRouterPreventsTheMove) {
  for (const bool answers : {false, true}) {
    Chats chats(answers ? 70 : 12);  // exceeds the capacity of three replicas
    chats.router_answers = answers;
    chats.fragments.submit_large_job();
    chats.fragments.run(3 * kBootS);
    EXPECT_FALSE(chats.fragments.is_large_job_running());
    EXPECT_EQ(chats.dropped, 0);
    EXPECT_EQ(chats.router.drains_refused() > 0, answers);
    for (const auto& [task, starts] : chats.cluster.start_counts) EXPECT_EQ(starts, 1) << task;
    EXPECT_FALSE(chats.fragments.has_reservations());
  }
}

/// Fault times during a plan that moves two replicas, and shortly after it.
std::vector<double> drain_fault_times() {
  std::vector<double> out;
  for (double at = 0; at < 18; at += 0.6) out.push_back(at);
  return out;
}

TEST(MovesReplicas, LeadersCrashAtAnyTime) {
  for (const double at : drain_fault_times()) {
    Chats chats;
    auto& cluster = chats.cluster;
    ASSERT_TRUE(chats.fragments.run_after_plan_stored(at));
    const int first = cluster.leader();
    cluster.crash_node(first);
    chats.fragments.run(5);
    cluster.start_node(first);
    EXPECT_TRUE(chats.fragments.recovers()) << at;
    EXPECT_EQ(chats.dropped, 0) << at;
  }
}

// Once all controllers have crashed, no replica stays out of service.
TEST(MovesReplicas, ADrainExpiresWhenAllControllersHaveCrashed) {
  for (const double at : drain_fault_times()) {
    Chats chats;
    auto& cluster = chats.cluster;
    ASSERT_TRUE(chats.fragments.run_after_plan_stored(at));
    for (int node = 0; node < cluster.nodes(); ++node) cluster.crash_node(node);
    chats.fragments.run(cluster.base_settings.lease_s);
    for (std::uint32_t task = 0; task < 4; ++task) {
      EXPECT_FALSE(chats.router.is_drained({kSmallJob, task}, cluster.reactor.now())) << at;
    }
  }
}

// The leader is paused, or partitioned from the state service and its peers, and considers itself
// leader; its successor continues the plan. Stops by either are covered by drains that are still in
// force.
TEST(MovesReplicas, TwoControllersConsiderThemselvesLeader) {
  for (const bool is_paused : {false, true}) {
    for (const double at : drain_fault_times()) {
      Chats chats;
      auto& cluster = chats.cluster;
      ASSERT_TRUE(chats.fragments.run_after_plan_stored(at));
      const int old = cluster.leader();
      if (is_paused) {
        cluster.pause_node(old);
      } else {
        cluster.cut_from_state = {old};
        cluster.cut_from_peers = {old};
      }
      chats.fragments.run(20);
      cluster.cut_from_state.clear();
      cluster.cut_from_peers.clear();
      if (is_paused) cluster.resume_node(old);
      EXPECT_TRUE(chats.fragments.recovers()) << at;
      EXPECT_EQ(chats.dropped, 0) << at;
    }
  }
}

// Direct commands are delayed and carried out late: a late stop must not stop a replica that serves
// again.
TEST(MovesReplicas, DelayedCommandsStopNoReplica) {
  for (const double at : drain_fault_times()) {
    Chats chats;
    auto& cluster = chats.cluster;
    ASSERT_TRUE(chats.fragments.run_after_plan_stored(at));
    for (auto& [id, worker] : cluster.workers) worker->command_delay_s = 13;
    const int first = cluster.leader();
    chats.fragments.run(2);
    cluster.crash_node(first);
    chats.fragments.run(20);
    for (auto& [id, worker] : cluster.workers) worker->command_delay_s = 0;
    cluster.start_node(first);
    EXPECT_TRUE(chats.fragments.recovers()) << at;
    EXPECT_EQ(chats.dropped, 0) << at;
  }
}

// A leader that cannot renew its lease may have been replaced: it renews no drain.
TEST(MovesReplicas, ALeaderWithoutAConfirmedLeaseKeepsNoReplicaOutOfService) {
  for (const double at : drain_fault_times()) {
    Chats chats(12, 1'000'000);  // so that drains take long
    auto& cluster = chats.cluster;
    ASSERT_TRUE(chats.fragments.run_after_plan_stored(at));
    cluster.state_down = true;
    chats.fragments.run(1.5 * cluster.base_settings.lease_s);
    for (std::uint32_t task = 0; task < 4; ++task) {
      EXPECT_FALSE(chats.router.is_drained({kSmallJob, task}, cluster.reactor.now())) << at;
    }
    cluster.state_down = false;
    EXPECT_TRUE(chats.fragments.recovers()) << at;
    EXPECT_EQ(chats.dropped, 0) << at;
  }
}

// The plan is dropped while commands are delayed: a replica that serves again must not be stopped
// late.
TEST(MovesReplicas, NoStopIsInFlightWhenAPlanIsDropped) {
  for (double at = 0; at < 10; at += 0.3) {
    Chats chats;
    auto& cluster = chats.cluster;
    chats.fragments.submit_large_job();
    ASSERT_TRUE(chats.fragments.reach_plan());
    for (auto& [id, worker] : cluster.workers) worker->command_delay_s = 4;
    chats.fragments.run(at);
    cluster.cancel(cluster.leader(), kLargeJob);
    chats.fragments.run(10);
    EXPECT_EQ(chats.dropped, 0) << at;
  }
}

// The router stops answering during a move: its drain expires, and the replica serves again.
TEST(MovesReplicas, ARouterThatStopsAnsweringEndsTheMove) {
  for (const double at : drain_fault_times()) {
    Chats chats;
    ASSERT_TRUE(chats.fragments.run_after_plan_stored(at));
    chats.router_answers = false;
    EXPECT_TRUE(chats.fragments.until(chats.max_plan_time_s(), [&] {
      return !chats.fragments.has_plan() && !chats.fragments.has_reservations();
    })) << at;
    EXPECT_EQ(chats.dropped, 0) << at;
    EXPECT_TRUE(chats.fragments.until(10, [&] {
      return chats.cluster.running_tasks(kSmallJob) == 4;
    })) << at;
  }
}

TEST(MovesReplicas, TheWaitingJobIsCancelledWhileAReplicaDrains) {
  for (const double at : drain_fault_times()) {
    Chats chats;
    auto& cluster = chats.cluster;
    ASSERT_TRUE(chats.fragments.run_after_plan_stored(at));
    cluster.cancel(cluster.leader(), kLargeJob);
    // The drain is cancelled immediately, not at the expiry of its lease.
    chats.fragments.run(2);
    for (std::uint32_t task = 0; task < 4; ++task) {
      EXPECT_FALSE(chats.router.is_drained({kSmallJob, task}, cluster.reactor.now())) << at;
    }
    EXPECT_TRUE(chats.fragments.until(10, [&] { return chats.fragments.is_settled(); })) << at;
    EXPECT_EQ(chats.dropped, 0) << at;
  }
}

}  // namespace
}  // namespace cranklock::testing
