// Pipelines of dependent jobs in whole clusters. The rule checker of each watches all rules,
// `too_early` and `orphaned` among them; what a scenario asserts itself is that its trouble came
// about and that work is served afterwards.
#include <gtest/gtest.h>

#include <algorithm>

#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

wire::JobSpec stage(int i, const std::vector<int>& dependencies = {}, std::uint32_t tasks = 1) {
  auto spec = make_job(name(i), JobKind::job_array, tasks, 1).spec;
  for (const int needed : dependencies) spec.dependencies.push_back(name(needed));
  return spec;
}

std::string text(const wire::JobSpec& spec) {
  wire::JsonWriter w;
  wire::write_job(w, spec);
  return w.take();
}

bool ended(const TestCluster& w, int i) {
  return w.state_service.values.contains("ended/" + name(i));
}

bool all_nodes_say(TestCluster& w, int i, const std::string& state) {
  for (int node = 0; node < w.nodes(); ++node) {
    if (w.is_up(node) && w.state_of(node, name(i)) != state) return false;
  }
  return true;
}

int other_than(const TestCluster& w, int node) {
  return (node + 1) % w.nodes();
}

/// A diamond: 0 first, 1 and 2 need it, 3 needs both.
void submit_diamond(TestCluster& w) {
  w.submit(0, stage(0));
  w.submit(1, stage(1, {0}));
  w.submit(2, stage(2, {0}, 3));
  w.submit(0, stage(3, {1, 2}));
}

TEST(Pipeline, StagesRunInOrderOneRightAfterTheOther) {
  TestCluster w;
  w.run(1);
  w.add_worker();
  w.run(3);
  submit_diamond(w);
  EXPECT_EQ(w.state_of(1, name(3)), "queued");
  ASSERT_TRUE(wait_for(w, 30, [&] { return ended(w, 0); }));
  // The start goes out in the round that follows the answered write of the outcome.
  ASSERT_TRUE(wait_for(w, 1.5, [&] { return w.running(name(1)) == 1; }));
  ASSERT_TRUE(wait_for(w, 30, [&] { return ended(w, 3); }));
  EXPECT_TRUE(all_nodes_say(w, 3, "done"));
  EXPECT_EQ(w.starts[name(3) + "/0"], 1);
}

TEST(Pipeline, SubmissionsAreCheckedByAnyNode) {
  TestCluster w;
  w.run(1);
  w.submit(0, stage(0));
  EXPECT_EQ(w.ask(1, "POST", "/v1/jobs", text(stage(1, {1}))).status, 422);
  EXPECT_EQ(w.ask(1, "POST", "/v1/jobs", text(stage(1, {0, 7}))).status, 422);
  auto odd = text(stage(1, {0}));
  odd.replace(odd.find("[\"" + name(0)), 2, "[7,\"");
  EXPECT_EQ(w.ask(1, "POST", "/v1/jobs", odd).status, 400);
  EXPECT_EQ(w.state_of(1, name(1)), "404");
  w.submit(2, stage(1, {0}));
  EXPECT_EQ(w.ask(1, "POST", "/v1/jobs", text(stage(1, {0}))).status, 200);
  // Accepted is accepted, whatever a repeat says.
  EXPECT_EQ(w.ask(1, "POST", "/v1/jobs", text(stage(1, {7}))).status, 200);
  ASSERT_TRUE(wait_for(w, 60, [&] { return ended(w, 1); }));
  // What is over may be named, and moves between two keys without being missed.
  w.submit(1, stage(2, {0, 1}));
  ASSERT_TRUE(wait_for(w, 60, [&] { return ended(w, 2); }));
}

// The jobs of a pipeline come one right after the other; a node's own share of the writes is
// little.
TEST(Pipeline, TheJobsOfAPipelineAreAcceptedAtOnceByOneNode) {
  auto settings = small_settings();
  settings.state_write_rps = 21;
  TestCluster w(5, {}, settings);
  w.state_service.limits_writes = true;
  w.run(1);
  w.run(10);
  const int node = other_than(w, w.leader());
  const double began = w.reactor.now();
  for (int i = 0; i < 6; ++i) w.submit(node, i == 0 ? stage(0) : stage(i, {i - 1}));
  EXPECT_LT(w.reactor.now() - began, 0.5);
  EXPECT_EQ(w.state_service.refused_writes, 0);
}

// The leader's own records use up its share of the writes, a whole transaction at a time.
TEST(Pipeline, UsersOfALeaderThatWritesManyRecordsAreAcceptedAtOnce) {
  auto settings = small_settings();
  settings.state_write_rps = 21;
  settings.txn_ops = 8;
  TestCluster w(5, {}, settings);
  w.state_service.limits_writes = true;
  w.run_s = 1000;
  w.run(11);
  for (int i = 0; i < 40; ++i) {
    const auto job = i == 0 ? stage(0) : stage(i, {0});
    ASSERT_TRUE(
        wait_for(w, 20, [&] { return w.ask(i % 5, "POST", "/v1/jobs", text(job)).status < 300; }));
  }
  w.run(5);
  w.cancel(other_than(w, w.leader()), name(0));
  w.run(1.5);  // dozens of outcomes are still to be written
  for (int times = 0; times < 3; ++times) {
    const double began = w.reactor.now();
    constexpr int kInARow = 4;
    for (int i = 0; i < kInARow; ++i) w.submit(w.leader(), stage(100 + kInARow * times + i));
    EXPECT_LT(w.reactor.now() - began, 0.1);
    w.run(0.7);
  }
  EXPECT_FALSE(ended(w, 39));
}

TEST(Pipeline, WithoutTheStateServiceASubmissionIsNotRefusedForGood) {
  TestCluster w;
  w.run(1);
  w.submit(0, stage(0));
  w.state_down = true;
  const auto response = w.ask(1, "POST", "/v1/jobs", text(stage(1, {0})));
  EXPECT_EQ(response.status, 503);
  EXPECT_GT(response.retry_after_s, 0);
  w.state_down = false;
}

TEST(Pipeline, ACancellationReachesAllStagesAndThoseSubmittedLater) {
  TestCluster w;
  w.run_s = 1000;
  w.run(1);
  submit_diamond(w);
  w.run(5);
  w.cancel(1, name(0));
  ASSERT_EQ(w.ask(2, "POST", "/v1/jobs", text(stage(4, {3}))).status, 201);
  w.run(2);
  for (int i = 1; i <= 4; ++i) EXPECT_TRUE(all_nodes_say(w, i, "withdrawn")) << i;
  EXPECT_TRUE(wait_for(w, 20, [&] { return ended(w, 4); }));
  ASSERT_EQ(w.ask(2, "POST", "/v1/jobs", text(stage(5, {4}))).status, 201);
  EXPECT_TRUE(all_nodes_say(w, 5, "withdrawn"));
}

TEST(Pipeline, ACancellationThatIsAnsweredWithDoneTakesNothingAlong) {
  TestCluster w;
  w.run(1);
  submit_diamond(w);
  ASSERT_TRUE(wait_for(w, 60, [&] { return ended(w, 0); }));
  const auto answer = w.ask(1, "POST", "/v1/jobs/" + name(0) + "/withdraw");
  EXPECT_NE(answer.body.find("done"), std::string::npos);
  ASSERT_TRUE(wait_for(w, 60, [&] { return ended(w, 3); }));
  EXPECT_TRUE(all_nodes_say(w, 3, "done"));
}

// No leader has followed yet, and the question comes first: the answer is found in what the job
// needs, and is stored before it is told, so that no node says less afterwards.
TEST(Pipeline, AfterAnOutageNoNodeCallsAnOrphanQueued) {
  TestCluster w;
  w.run_s = 1000;
  w.run(1);
  submit_diamond(w);
  ASSERT_TRUE(all_nodes_say(w, 3, "queued"));
  w.cancel(1, name(0));
  w.state_down = true;
  for (int node = 0; node < w.nodes(); ++node) w.crash_node(node);
  w.run(w.base_settings.cancel_s + 5);
  w.state_down = false;
  w.start_node(1);
  w.run(0.2);
  // Nobody leads before the former leader's lease has ended.
  ASSERT_TRUE(wait_for(w, 2, [&] { return w.state_of(1, name(3)) != "503"; }));
  ASSERT_EQ(w.leader(), -1);
  EXPECT_EQ(w.state_of(1, name(3)), "withdrawn");
  w.start_node(2);
  ASSERT_TRUE(wait_for(w, 2, [&] { return w.state_of(2, name(3)) != "503"; }));
  EXPECT_EQ(w.state_of(2, name(3)), "withdrawn");
  w.start_node(0);
  EXPECT_TRUE(wait_for(w, 40, [&] { return ended(w, 1) && ended(w, 2) && ended(w, 3); }));
}

// One node trusts for a while that what a job needs is not cancelled, another finds that it is:
// what the second says, the first must not take back.
TEST(Pipeline, WhatOneNodeFindsCancelledNoOtherCallsQueued) {
  TestCluster w;
  w.run_s = 1000;
  w.run(1);
  const int trusting = other_than(w, w.leader()), finding = other_than(w, trusting);
  w.submit(trusting, stage(0));
  w.submit(trusting, stage(1, {0}));
  w.submit(trusting, stage(3, {1}));
  w.run(2);
  ASSERT_EQ(w.state_of(trusting, name(3)), "queued");
  w.crash_node(w.leader());
  w.cancel(finding, name(0));
  ASSERT_EQ(w.state_of(finding, name(3)), "withdrawn");
  EXPECT_EQ(w.state_of(trusting, name(3)), "withdrawn");
  EXPECT_EQ(w.leader(), -1);
}

// A leader that the state service alone refuses knows nothing of the cancellation.
TEST(Pipeline, ANeededJobIsCancelledElsewhereWhileTheLeaderIsRefused) {
  TestCluster w;
  w.run_s = 6;
  w.run(1);
  submit_diamond(w);
  ASSERT_TRUE(wait_for(w, 40, [&] { return w.running(name(0)) == 1; }));
  const int old = w.leader();
  w.refused_by_state = {old};
  w.hanging_watches = {old};
  w.run(0.2);
  w.cancel(other_than(w, old), name(0));
  w.run(w.base_settings.cancel_s + 1);
  EXPECT_EQ(w.state_of(other_than(w, old), name(3)), "withdrawn");
  w.refused_by_state.clear();
  w.hanging_watches.clear();
  w.run(5);
  EXPECT_TRUE(all_nodes_say(w, 3, "withdrawn"));
  EXPECT_EQ(w.starts[name(1) + "/0"], 0);
}

TEST(Pipeline, ANewLeaderReadsTheEndingsThatItHasNotSeen) {
  TestCluster w;
  w.run(1);
  w.add_worker();
  w.run(3);
  w.run_s_of[name(2) + "/0"] = 40;
  submit_diamond(w);
  ASSERT_TRUE(wait_for(w, 60, [&] { return ended(w, 1); }));
  ASSERT_FALSE(ended(w, 2));
  const int old = w.leader();
  w.crash_node(old);
  ASSERT_TRUE(wait_for(w, 60, [&] { return w.leader() >= 0; }));
  ASSERT_TRUE(wait_for(w, 90, [&] { return ended(w, 3); }));
  w.start_node(old);
  w.run(2);
  EXPECT_TRUE(all_nodes_say(w, 3, "done"));
}

// The outcome may be stored though nobody said so, or not stored though it was sent.
TEST(Pipeline, AnEndingWhoseWriteIsNotAnsweredLetsNothingStartBeforeItIsResolved) {
  for (const bool late : {false, true}) {
    TestCluster w;
    w.run(1);
    w.add_worker();
    w.run(3);
    submit_diamond(w);
    ASSERT_TRUE(wait_for(w, 30, [&] { return w.running(name(0)) == 1; }));
    if (late) {
      w.late_txns = 1;
    } else {
      w.lost_txns = 1;
    }
    w.run(6);
    EXPECT_EQ(w.starts[name(1) + "/0"], 0);
    w.late_txns = w.lost_txns = 0;
    ASSERT_TRUE(wait_for(w, 60, [&] { return ended(w, 3); })) << late;
    EXPECT_TRUE(all_nodes_say(w, 3, "done"));
  }
}

TEST(Pipeline, AnOutageBetweenAnEndingAndTheNextStart) {
  TestCluster w;
  w.run(1);
  w.add_worker();
  w.run(3);
  submit_diamond(w);
  for (int i = 0; i < 3000 && !ended(w, 0); ++i) w.run(0.01);
  ASSERT_TRUE(ended(w, 0));
  w.state_down = true;
  w.run(w.base_settings.cancel_s * 1.2);
  w.state_down = false;
  ASSERT_TRUE(wait_for(w, 60, [&] { return ended(w, 3); }));
}

// Hundreds at once: every node has to say so in time, and other work must go on meanwhile.
TEST(Pipeline, AWideFanIsCancelledWithinLimitsAndHoldsUpNothing) {
  auto settings = small_settings();
  settings.state_write_rps = 21;
  settings.state_rps = 250;
  settings.txn_ops = 4;
  settings.value_kb = 2;
  constexpr int kFan = 250;
  TestCluster w(3, {}, settings);
  w.state_service.limits_writes = true;
  w.state_service.limits = {2048, 4, 0};
  w.run_s = 1000;
  w.run(1);
  w.add_worker();
  w.run(3);
  w.submit(0, stage(0));
  w.submit(1, stage(2000));  // for which the machine is kept
  for (int i = 1; i <= kFan; ++i) {
    ASSERT_TRUE(wait_for(w, 20, [&] {
      const auto status = w.ask(i % 3, "POST", "/v1/jobs", text(stage(i, {0}))).status;
      return status == 201 || status == 200;
    }));
  }
  w.run(5);
  const double cancelled = w.reactor.now();
  w.cancel(1, name(0));
  w.run(3);
  w.submit(2, stage(1000));
  EXPECT_TRUE(wait_for(w, 10, [&] { return w.running(name(1000)) == 1; }));
  const auto all_ended = [&] {
    for (int i = 1; i <= kFan; ++i) {
      if (!ended(w, i)) return false;
    }
    return true;
  };
  EXPECT_TRUE(wait_for(w, 120, all_ended));
  EXPECT_GT(w.reactor.now() - cancelled, 5);  // it took its time, as it must
  EXPECT_EQ(w.state_service.refused_as_too_large, 0);
  EXPECT_LT(w.state_service.refused_writes, 3);
  for (int i = 1; i <= kFan; i += 50) EXPECT_TRUE(all_nodes_say(w, i, "withdrawn"));
}

TEST(Pipeline, ALongChainIsCancelledWhole) {
  auto settings = small_settings();
  settings.state_write_rps = 60;
  settings.state_rps = 600;
  TestCluster w(3, {}, settings);
  constexpr int kLength = 120;
  w.run_s = 1000;
  w.run(1);
  for (int i = 0; i < kLength; ++i) {
    ASSERT_TRUE(wait_for(w, 20, [&] {
      const auto next = i == 0 ? stage(0) : stage(i, {i - 1});
      const auto status = w.ask(i % 3, "POST", "/v1/jobs", text(next)).status;
      return status == 201 || status == 200;
    }));
  }
  w.cancel(0, name(0));
  EXPECT_TRUE(wait_for(w, w.base_settings.cancel_s, [&] { return ended(w, kLength - 1); }));
  EXPECT_TRUE(all_nodes_say(w, kLength - 1, "withdrawn"));
}

// One that is submitted in the very moment in which what it needs is cancelled elsewhere.
TEST(Pipeline, ASuccessorIsSubmittedAsItsNeedIsCancelled) {
  for (const double apart : {-0.008, -0.004, 0.0, 0.004, 0.008}) {
    TestCluster w;
    w.run_s = 1000;
    w.run(1);
    w.submit(0, stage(0));
    w.run(3);
    net::Scope scope;
    const auto asks = [](TestCluster& cluster, double after, int node, std::string path,
                         std::string body) -> net::Task<void> {
      net::Sleep pause(cluster.reactor, after);
      co_await pause;
      auto asking = cluster.user_asks(node, "POST", std::move(path), std::move(body));
      co_await asking;
    };
    scope.spawn(asks(w, 0.01, 1, "/v1/jobs/" + name(0) + "/withdraw", ""));
    scope.spawn(asks(w, 0.01 + apart, 2, "/v1/jobs", text(stage(1, {0}))));
    w.run(3);
    EXPECT_TRUE(all_nodes_say(w, 0, "withdrawn"));
    EXPECT_TRUE(all_nodes_say(w, 1, "withdrawn")) << apart;
  }
}

// ---- limits of the state service ----

// What comes without notice is kept from the start; a record from before is written smaller.
TEST(Pipeline, TheLimitsFallWhileALongArrayRunsAndItsSuccessorWaits) {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 100, 200}};
  settings.value_kb = 2;
  settings.txn_ops = 4;
  settings.state_write_rps = 21;
  TestCluster w(3, {}, settings);
  w.state_service.limits_writes = true;
  w.run(1);
  for (int i = 0; i < 16; ++i) w.add_worker();
  w.run(3);
  for (int i = 0; i < 120; ++i) w.run_s_of[name(0) + "/" + std::to_string(i)] = 5 + i % 20;
  w.submit(0, stage(0, {}, 120));
  w.submit(1, stage(1, {0}));
  ASSERT_TRUE(
      wait_for(w, 20, [&] { return w.state_service.values.contains("parts/" + name(0) + "/0"); }));
  w.state_service.limits = {2048, 4, 21};
  w.run(2);
  const int old = w.leader();
  w.crash_node(old);
  ASSERT_TRUE(wait_for(w, 120, [&] { return ended(w, 1); }));
  EXPECT_EQ(w.state_service.refused_as_too_large, 0);
  w.start_node(old);
}

// Stored in more parts than a transaction may now change: it is written again when enough of its
// tasks are over, and the parts that its outcome leaves go later.
TEST(Pipeline, ARecordStoredUnderLargerLimitsEndsUnderSmallOnes) {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 100, 200}};
  settings.value_kb = 1;
  TestCluster w(3, {}, settings);
  w.run(1);
  for (int i = 0; i < 25; ++i) w.add_worker();
  w.run(3);
  for (int i = 0; i < 190; ++i) w.run_s_of[name(0) + "/" + std::to_string(i)] = 15 + i % 20;
  w.submit(0, stage(0, {}, 190));
  w.submit(1, stage(1, {0}));
  ASSERT_TRUE(
      wait_for(w, 20, [&] { return w.state_service.values.contains("parts/" + name(0) + "/2"); }));
  for (int node = 0; node < w.nodes(); ++node) w.crash_node(node);
  w.base_settings.txn_ops = 3;
  w.state_service.limits = {1024, 3, 0};
  for (int node = 0; node < w.nodes(); ++node) w.start_node(node);
  ASSERT_TRUE(wait_for(w, 120, [&] { return ended(w, 1); }));
  w.run(2);
  for (const auto& [key, value] : w.state_service.values)
    EXPECT_FALSE(key.starts_with("parts/")) << key;
  EXPECT_EQ(w.state_service.refused_as_too_large, 0);
  EXPECT_EQ(w.starts[name(0) + "/7"], 1);
}

// No coming limits were announced: a write that is refused as too large is cut down, not repeated.
TEST(Pipeline, LimitsThatFallUnannouncedEndNoLeadership) {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 100, 200}};
  TestCluster w(3, {}, settings);
  w.run(1);
  for (int i = 0; i < 16; ++i) w.add_worker();
  w.run(3);
  for (int i = 0; i < 100; ++i) w.run_s_of[name(0) + "/" + std::to_string(i)] = 5 + i % 20;
  w.submit(0, stage(0, {}, 100));
  w.submit(1, stage(1, {0}));
  ASSERT_TRUE(wait_for(w, 20, [&] { return w.running(name(0)) > 0; }));
  const int leader = w.leader();
  w.state_service.limits = {1500, 4, 0};
  ASSERT_TRUE(wait_for(w, 120, [&] { return ended(w, 1); }));
  EXPECT_EQ(w.leader(), leader);
  EXPECT_GE(w.state_service.refused_as_too_large, 1);
  EXPECT_LE(w.state_service.refused_as_too_large, 6);
}

// ---- the upgrade ----

// Without dependent jobs the version in production differs in what it stores by the limits alone
// that it keeps to. Here it leads first, then a newer node, then again it, while a long array runs.
TEST(Pipeline, LeadersOfBothVersionsTakeOverFromEachOther) {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 100, 200}};
  settings.value_kb = 2;
  settings.txn_ops = 4;
  TestCluster w(3, {}, settings);
  for (int node = 0; node < w.nodes(); ++node) w.crash_node(node);
  w.known_limits = {{0, {30, 8, 12}}};
  w.start_node(0);
  w.run(3);
  for (int i = 0; i < 24; ++i) w.add_worker();
  w.run(3);
  constexpr int kTasks = 180;
  for (int i = 0; i < kTasks; ++i) {
    w.run_s_of[name(0) + "/" + std::to_string(i)] = 10 + i % 50;
  }
  w.submit(0, stage(0, {}, kTasks));
  ASSERT_TRUE(wait_for(w, 20, [&] { return w.running(name(0)) == kTasks; }));
  EXPECT_FALSE(
      w.state_service.values.contains("parts/" + name(0) + "/0"));  // one value of 8 KiB holds it
  w.start_node(1);
  w.run(2);
  w.crash_node(0);
  ASSERT_TRUE(wait_for(w, 20, [&] { return w.leader() == 1; }));
  // Written again in small values as soon as it fits; then the older version has it back.
  ASSERT_TRUE(
      wait_for(w, 40, [&] { return w.state_service.values.contains("parts/" + name(0) + "/0"); }));
  w.start_node(0);
  w.run(2);
  w.crash_node(1);
  ASSERT_TRUE(wait_for(w, 20, [&] { return w.leader() == 0; }));
  ASSERT_TRUE(wait_for(w, 90, [&] { return ended(w, 0); }));
  for (int i = 0; i < kTasks; ++i) EXPECT_EQ(w.starts[name(0) + "/" + std::to_string(i)], 1) << i;
}

// All nodes are replaced one after the other, with a crash and a cut between, while pipelines run.
TEST(Pipeline, ARollingRestartLosesNothing) {
  TestCluster w(3, {"a", "a", "a"});
  w.run_s = 4;
  w.run(1);
  for (int i = 0; i < 3; ++i) w.add_worker();
  w.run(3);
  int next = 0;
  const auto submit_some = [&] {
    const int first = next;
    w.add_user(stage(first), {});
    w.run(0.5);
    w.add_user(stage(first + 1, {first}), {first % 4 == 0 ? 3.0 : -1, false, true});
    w.run(0.5);
    w.add_user(stage(first + 2, {first + 1}), {});
    next += 3;
  };
  for (int node = 0; node < 3; ++node) {
    submit_some();
    w.crash_node(node);
    w.run(3);
    if (node == 1) w.cut_from_state = {2};
    submit_some();
    w.run(4);
    w.start_node(node);
    w.run(3);
    w.cut_from_state.clear();
  }
  EXPECT_TRUE(wait_for(w, 120, [&] {
    const auto accepted = w.rules.accepted();
    return static_cast<int>(accepted.size()) == next &&
           std::all_of(accepted.begin(), accepted.end(),
                       [&](const auto& id) { return !w.rules.outcome(id).empty(); });
  }));
}

}  // namespace
}  // namespace cranklock::testing
