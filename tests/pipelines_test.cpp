// Pipelines of dependent jobs in whole clusters. The rule checker of each cluster checks all rules,
// `too_early` and `orphaned` among them; what a scenario asserts itself is that the failure it is
// about came about, and that work is served afterwards.
#include <gtest/gtest.h>

#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

/// A stage of a pipeline, by number, and the numbers of the stages that it depends on.
wire::JobSpec stage(int number, const std::vector<int>& dependencies = {},
                    std::uint32_t tasks = 1) {
  auto spec = make_job(job_id(number), JobKind::job_array, tasks, 1).spec;
  for (const int dependency : dependencies) spec.dependencies.push_back(job_id(dependency));
  return spec;
}

/// The body of a submission.
std::string submission(const wire::JobSpec& spec) {
  wire::JsonWriter writer;
  wire::write_job(writer, spec);
  return writer.take();
}

/// Whether the outcome of a stage is stored.
bool ended(const TestCluster& cluster, int stage_number) {
  return cluster.state_service.values.contains("ended/" + job_id(stage_number));
}

/// Whether the record of a stage has this part.
bool has_part(const TestCluster& cluster, int stage_number, int part) {
  return cluster.state_service.values.contains("parts/" + job_id(stage_number) + "/" +
                                               std::to_string(part));
}

std::string task_name(int stage_number, int task) {
  return job_id(stage_number) + "/" + std::to_string(task);
}

/// Whether every node that is up gives this state of a stage.
bool all_nodes_say(TestCluster& cluster, int stage_number, const std::string& state) {
  for (int node = 0; node < cluster.nodes(); ++node) {
    if (cluster.is_up(node) && cluster.state_of(node, job_id(stage_number)) != state) return false;
  }
  return true;
}

/// Lets the cluster elect a leader, and gives it machines that are ready afterwards.
void start_with_workers(TestCluster& cluster, int workers) {
  cluster.run(1);
  for (int i = 0; i < workers; ++i) cluster.add_worker();
  cluster.run(3);
}

/// Submits to a node again and again, as a client does that is told to come back later.
bool is_accepted_in_time(TestCluster& cluster, int node, const wire::JobSpec& spec) {
  constexpr double kTimeoutS = 20;
  return wait_for(cluster, kTimeoutS, [&] {
    const int status = cluster.send_request(node, "POST", "/v1/jobs", submission(spec)).status;
    return status == 201 || status == 200;
  });
}

/// Lets the tasks of stage 0 run for `min_s` and up to `spread_s` longer, so that they end one
/// after the other.
void spread_run_times(TestCluster& cluster, int tasks, int min_s, int spread_s = 20) {
  for (int i = 0; i < tasks; ++i) cluster.run_s_by_task[task_name(0, i)] = min_s + i % spread_s;
}

/// An array as stage 0, and stage 1 that depends on it.
void submit_array_and_successor(TestCluster& cluster, std::uint32_t tasks) {
  cluster.submit(0, stage(0, {}, tasks));
  cluster.submit(1, stage(1, {0}));
}

/// A team that may run arrays of hundreds of tasks at once.
base::Settings settings_for_long_arrays() {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 100, 200}};
  return settings;
}

int other_than(const TestCluster& cluster, int node) {
  return (node + 1) % cluster.nodes();
}

/// A diamond: 0 first, 1 and 2 need it, 3 needs both.
void submit_diamond(TestCluster& cluster) {
  cluster.submit(0, stage(0));
  cluster.submit(1, stage(1, {0}));
  cluster.submit(2, stage(2, {0}, 3));
  cluster.submit(0, stage(3, {1, 2}));
}

TEST(Pipeline, StagesRunInOrderOneRightAfterTheOther) {
  TestCluster cluster;
  start_with_workers(cluster, 1);
  submit_diamond(cluster);
  EXPECT_EQ(cluster.state_of(1, job_id(3)), "queued");
  ASSERT_TRUE(wait_for(cluster, 30, [&] { return ended(cluster, 0); }));
  // The start goes out in the round that follows the answered write of the outcome.
  ASSERT_TRUE(wait_for(cluster, 1.5, [&] { return cluster.running_tasks(job_id(1)) == 1; }));
  ASSERT_TRUE(wait_for(cluster, 30, [&] { return ended(cluster, 3); }));
  EXPECT_TRUE(all_nodes_say(cluster, 3, "done"));
  EXPECT_EQ(cluster.start_counts[task_name(3, 0)], 1);
}

TEST(Pipeline, SubmissionsAreCheckedByAnyNode) {
  TestCluster cluster;
  cluster.run(1);
  cluster.submit(0, stage(0));
  EXPECT_EQ(cluster.send_request(1, "POST", "/v1/jobs", submission(stage(1, {1}))).status, 422);
  EXPECT_EQ(cluster.send_request(1, "POST", "/v1/jobs", submission(stage(1, {0, 7}))).status, 422);
  auto odd = submission(stage(1, {0}));
  odd.replace(odd.find("[\"" + job_id(0)), 2, "[7,\"");
  EXPECT_EQ(cluster.send_request(1, "POST", "/v1/jobs", odd).status, 400);
  EXPECT_EQ(cluster.state_of(1, job_id(1)), "404");
  cluster.submit(2, stage(1, {0}));
  EXPECT_EQ(cluster.send_request(1, "POST", "/v1/jobs", submission(stage(1, {0}))).status, 200);
  // Accepted is accepted, whatever a repeat says.
  EXPECT_EQ(cluster.send_request(1, "POST", "/v1/jobs", submission(stage(1, {7}))).status, 200);
  ASSERT_TRUE(wait_for(cluster, 60, [&] { return ended(cluster, 1); }));
  // What is over may be named, and moves between two keys without being missed.
  cluster.submit(1, stage(2, {0, 1}));
  ASSERT_TRUE(wait_for(cluster, 60, [&] { return ended(cluster, 2); }));
}

// The jobs of a pipeline come one right after the other; a node's own share of the writes is
// little.
TEST(Pipeline, TheJobsOfAPipelineAreAcceptedAtOnceByOneNode) {
  auto settings = small_settings();
  settings.state_write_rps = 21;
  TestCluster cluster(5, {}, settings);
  cluster.state_service.enforces_write_rate = true;
  cluster.run(1);
  cluster.run(10);
  const int node = other_than(cluster, cluster.leader());
  const double began = cluster.reactor.now();
  for (int i = 0; i < 6; ++i) cluster.submit(node, i == 0 ? stage(0) : stage(i, {i - 1}));
  EXPECT_LT(cluster.reactor.now() - began, 0.5);
  EXPECT_EQ(cluster.state_service.refused_writes, 0);
}

// The leader's own records use up its share of the writes, a whole transaction at a time.
TEST(Pipeline, UsersOfALeaderThatWritesManyRecordsAreAcceptedAtOnce) {
  auto settings = small_settings();
  settings.state_write_rps = 21;
  settings.txn_ops = 8;
  TestCluster cluster(5, {}, settings);
  cluster.state_service.enforces_write_rate = true;
  cluster.run_s = 1000;
  cluster.run(11);
  for (int i = 0; i < 40; ++i) {
    const auto job = i == 0 ? stage(0) : stage(i, {0});
    ASSERT_TRUE(wait_for(cluster, 20, [&] {
      return cluster.send_request(i % 5, "POST", "/v1/jobs", submission(job)).status < 300;
    }));
  }
  cluster.run(5);
  cluster.cancel(other_than(cluster, cluster.leader()), job_id(0));
  cluster.run(1.5);  // dozens of outcomes are still to be written
  for (int times = 0; times < 3; ++times) {
    const double began = cluster.reactor.now();
    constexpr int kInARow = 4;
    for (int i = 0; i < kInARow; ++i) {
      cluster.submit(cluster.leader(), stage(100 + kInARow * times + i));
    }
    EXPECT_LT(cluster.reactor.now() - began, 0.1);
    cluster.run(0.7);
  }
  EXPECT_FALSE(ended(cluster, 39));
}

TEST(Pipeline, WithoutTheStateServiceASubmissionIsNotRefusedForGood) {
  TestCluster cluster;
  cluster.run(1);
  cluster.submit(0, stage(0));
  cluster.state_down = true;
  const auto response = cluster.send_request(1, "POST", "/v1/jobs", submission(stage(1, {0})));
  EXPECT_EQ(response.status, 503);
  EXPECT_GT(response.retry_after_s, 0);
  cluster.state_down = false;
}

TEST(Pipeline, ACancellationReachesAllStagesAndThoseSubmittedLater) {
  TestCluster cluster;
  cluster.run_s = 1000;
  cluster.run(1);
  submit_diamond(cluster);
  cluster.run(5);
  cluster.cancel(1, job_id(0));
  ASSERT_EQ(cluster.send_request(2, "POST", "/v1/jobs", submission(stage(4, {3}))).status, 201);
  cluster.run(2);
  for (int i = 1; i <= 4; ++i) EXPECT_TRUE(all_nodes_say(cluster, i, "withdrawn")) << i;
  EXPECT_TRUE(wait_for(cluster, 20, [&] { return ended(cluster, 4); }));
  ASSERT_EQ(cluster.send_request(2, "POST", "/v1/jobs", submission(stage(5, {4}))).status, 201);
  EXPECT_TRUE(all_nodes_say(cluster, 5, "withdrawn"));
}

TEST(Pipeline, ACancellationThatIsAnsweredWithDoneTakesNothingAlong) {
  TestCluster cluster;
  cluster.run(1);
  submit_diamond(cluster);
  ASSERT_TRUE(wait_for(cluster, 60, [&] { return ended(cluster, 0); }));
  const auto answer = cluster.send_request(1, "POST", "/v1/jobs/" + job_id(0) + "/withdraw");
  EXPECT_NE(answer.body.find("done"), std::string::npos);
  ASSERT_TRUE(wait_for(cluster, 60, [&] { return ended(cluster, 3); }));
  EXPECT_TRUE(all_nodes_say(cluster, 3, "done"));
}

// No leader has followed yet, and the question comes first: the answer is found in what the job
// needs, and is stored before it is told, so that no node says less afterwards.
TEST(Pipeline, AfterAnOutageNoNodeCallsAnOrphanQueued) {
  TestCluster cluster;
  cluster.run_s = 1000;
  cluster.run(1);
  submit_diamond(cluster);
  ASSERT_TRUE(all_nodes_say(cluster, 3, "queued"));
  cluster.cancel(1, job_id(0));
  cluster.state_down = true;
  for (int node = 0; node < cluster.nodes(); ++node) cluster.crash_node(node);
  cluster.run(cluster.base_settings.cancel_s + 5);
  cluster.state_down = false;
  cluster.start_node(1);
  cluster.run(0.2);
  // Nobody leads before the former leader's lease has ended.
  ASSERT_TRUE(wait_for(cluster, 2, [&] { return cluster.state_of(1, job_id(3)) != "503"; }));
  ASSERT_EQ(cluster.leader(), -1);
  EXPECT_EQ(cluster.state_of(1, job_id(3)), "withdrawn");
  cluster.start_node(2);
  ASSERT_TRUE(wait_for(cluster, 2, [&] { return cluster.state_of(2, job_id(3)) != "503"; }));
  EXPECT_EQ(cluster.state_of(2, job_id(3)), "withdrawn");
  cluster.start_node(0);
  EXPECT_TRUE(wait_for(
      cluster, 40, [&] { return ended(cluster, 1) && ended(cluster, 2) && ended(cluster, 3); }));
}

// One node trusts for a while that what a job needs is not cancelled, another finds that it is:
// what the second says, the first must not take back.
TEST(Pipeline, WhatOneNodeFindsCancelledNoOtherCallsQueued) {
  TestCluster cluster;
  cluster.run_s = 1000;
  cluster.run(1);
  const int trusting = other_than(cluster, cluster.leader());
  const int finding = other_than(cluster, trusting);
  cluster.submit(trusting, stage(0));
  cluster.submit(trusting, stage(1, {0}));
  cluster.submit(trusting, stage(3, {1}));
  cluster.run(2);
  ASSERT_EQ(cluster.state_of(trusting, job_id(3)), "queued");
  cluster.crash_node(cluster.leader());
  cluster.cancel(finding, job_id(0));
  ASSERT_EQ(cluster.state_of(finding, job_id(3)), "withdrawn");
  EXPECT_EQ(cluster.state_of(trusting, job_id(3)), "withdrawn");
  EXPECT_EQ(cluster.leader(), -1);
}

// A leader that the state service alone refuses knows nothing of the cancellation.
TEST(Pipeline, ADependencyIsCancelledElsewhereWhileTheLeaderIsRefused) {
  TestCluster cluster;
  cluster.run_s = 6;
  cluster.run(1);
  submit_diamond(cluster);
  ASSERT_TRUE(wait_for(cluster, 40, [&] { return cluster.running_tasks(job_id(0)) == 1; }));
  const int former_leader = cluster.leader();
  cluster.refused_by_state = {former_leader};
  cluster.hanging_watches = {former_leader};
  cluster.run(0.2);
  cluster.cancel(other_than(cluster, former_leader), job_id(0));
  cluster.run(cluster.base_settings.cancel_s + 1);
  EXPECT_EQ(cluster.state_of(other_than(cluster, former_leader), job_id(3)), "withdrawn");
  cluster.refused_by_state.clear();
  cluster.hanging_watches.clear();
  cluster.run(5);
  EXPECT_TRUE(all_nodes_say(cluster, 3, "withdrawn"));
  EXPECT_EQ(cluster.start_counts[task_name(1, 0)], 0);
}

TEST(Pipeline, ANewLeaderReadsTheOutcomesThatItHasNotSeen) {
  TestCluster cluster;
  start_with_workers(cluster, 1);
  cluster.run_s_by_task[task_name(2, 0)] = 40;
  submit_diamond(cluster);
  ASSERT_TRUE(wait_for(cluster, 60, [&] { return ended(cluster, 1); }));
  ASSERT_FALSE(ended(cluster, 2));
  const int former_leader = cluster.leader();
  cluster.crash_node(former_leader);
  ASSERT_TRUE(wait_for(cluster, 60, [&] { return cluster.leader() >= 0; }));
  ASSERT_TRUE(wait_for(cluster, 90, [&] { return ended(cluster, 3); }));
  cluster.start_node(former_leader);
  cluster.run(2);
  EXPECT_TRUE(all_nodes_say(cluster, 3, "done"));
}

// The outcome may be stored though nobody said so, or not stored though it was sent.
TEST(Pipeline, AnOutcomeWhoseWriteIsNotAnsweredLetsNothingStartBeforeItIsResolved) {
  for (const bool late : {false, true}) {
    TestCluster cluster;
    start_with_workers(cluster, 1);
    submit_diamond(cluster);
    ASSERT_TRUE(wait_for(cluster, 30, [&] { return cluster.running_tasks(job_id(0)) == 1; }));
    if (late) {
      cluster.late_write_share = 1;
    } else {
      cluster.lost_write_response_share = 1;
    }
    cluster.run(6);
    EXPECT_EQ(cluster.start_counts[task_name(1, 0)], 0);
    cluster.late_write_share = cluster.lost_write_response_share = 0;
    ASSERT_TRUE(wait_for(cluster, 60, [&] { return ended(cluster, 3); })) << late;
    EXPECT_TRUE(all_nodes_say(cluster, 3, "done"));
  }
}

TEST(Pipeline, AnOutageBetweenAnOutcomeAndTheNextStart) {
  TestCluster cluster;
  start_with_workers(cluster, 1);
  submit_diamond(cluster);
  for (int i = 0; i < 3000 && !ended(cluster, 0); ++i) cluster.run(0.01);
  ASSERT_TRUE(ended(cluster, 0));
  cluster.state_down = true;
  cluster.run(cluster.base_settings.cancel_s * 1.2);
  cluster.state_down = false;
  ASSERT_TRUE(wait_for(cluster, 60, [&] { return ended(cluster, 3); }));
}

// Hundreds at once: every node has to say so in time, and other work must go on meanwhile.
TEST(Pipeline, AWideFanIsCancelledWithinLimitsAndHoldsUpNothing) {
  auto settings = small_settings();
  settings.state_write_rps = 21;
  settings.state_rps = 250;
  settings.txn_ops = 4;
  settings.value_kb = 2;
  constexpr int kFan = 250;
  TestCluster cluster(3, {}, settings);
  cluster.state_service.enforces_write_rate = true;
  cluster.state_service.limits = {2048, 4, 0};
  cluster.run_s = 1000;
  start_with_workers(cluster, 1);
  cluster.submit(0, stage(0));
  cluster.submit(1, stage(2000));  // for which the machine is kept
  for (int i = 1; i <= kFan; ++i) {
    ASSERT_TRUE(is_accepted_in_time(cluster, i % 3, stage(i, {0})));
  }
  cluster.run(5);
  const double cancelled = cluster.reactor.now();
  cluster.cancel(1, job_id(0));
  cluster.run(3);
  cluster.submit(2, stage(1000));
  EXPECT_TRUE(wait_for(cluster, 10, [&] { return cluster.running_tasks(job_id(1000)) == 1; }));
  const auto all_ended = [&] {
    for (int i = 1; i <= kFan; ++i) {
      if (!ended(cluster, i)) return false;
    }
    return true;
  };
  EXPECT_TRUE(wait_for(cluster, 120, all_ended));
  EXPECT_GT(cluster.reactor.now() - cancelled, 5);  // it took its time, as it must
  EXPECT_EQ(cluster.state_service.refused_as_too_large, 0);
  EXPECT_LT(cluster.state_service.refused_writes, 3);
  for (int i = 1; i <= kFan; i += 50) EXPECT_TRUE(all_nodes_say(cluster, i, "withdrawn"));
}

TEST(Pipeline, ALongChainIsCancelledWhole) {
  auto settings = small_settings();
  settings.state_write_rps = 60;
  settings.state_rps = 600;
  TestCluster cluster(3, {}, settings);
  constexpr int kLength = 120;
  cluster.run_s = 1000;
  cluster.run(1);
  for (int i = 0; i < kLength; ++i) {
    const auto next = i == 0 ? stage(0) : stage(i, {i - 1});
    ASSERT_TRUE(is_accepted_in_time(cluster, i % 3, next));
  }
  cluster.cancel(0, job_id(0));
  EXPECT_TRUE(wait_for(cluster, cluster.base_settings.cancel_s,
                       [&] { return ended(cluster, kLength - 1); }));
  EXPECT_TRUE(all_nodes_say(cluster, kLength - 1, "withdrawn"));
}

// One that is submitted in the very moment in which what it needs is cancelled elsewhere.
TEST(Pipeline, ASuccessorIsSubmittedAsItsDependencyIsCancelled) {
  for (const double apart : {-0.008, -0.004, 0.0, 0.004, 0.008}) {
    TestCluster cluster;
    cluster.run_s = 1000;
    cluster.run(1);
    cluster.submit(0, stage(0));
    cluster.run(3);
    net::Scope scope;
    const auto request_after = [](TestCluster& asked, double delay_s, int node, std::string path,
                                  std::string body) -> net::Task<void> {
      net::Sleep pause(asked.reactor, delay_s);
      co_await pause;
      auto asking = asked.send_user_request(node, "POST", std::move(path), std::move(body));
      co_await asking;
    };
    scope.spawn(request_after(cluster, 0.01, 1, "/v1/jobs/" + job_id(0) + "/withdraw", ""));
    scope.spawn(request_after(cluster, 0.01 + apart, 2, "/v1/jobs", submission(stage(1, {0}))));
    cluster.run(3);
    EXPECT_TRUE(all_nodes_say(cluster, 0, "withdrawn"));
    EXPECT_TRUE(all_nodes_say(cluster, 1, "withdrawn")) << apart;
  }
}

// ---- limits of the key-value store ----

// What comes without notice is kept from the start; a record from before is written smaller.
TEST(Pipeline, TheLimitsFallWhileALongArrayRunsAndItsSuccessorWaits) {
  auto settings = settings_for_long_arrays();
  settings.value_kb = 2;
  settings.txn_ops = 4;
  settings.state_write_rps = 21;
  TestCluster cluster(3, {}, settings);
  cluster.state_service.enforces_write_rate = true;
  start_with_workers(cluster, 16);
  spread_run_times(cluster, 120, 5);
  submit_array_and_successor(cluster, 120);
  ASSERT_TRUE(wait_for(cluster, 20, [&] { return has_part(cluster, 0, 0); }));
  cluster.state_service.limits = {2048, 4, 21};
  cluster.run(2);
  const int former_leader = cluster.leader();
  cluster.crash_node(former_leader);
  ASSERT_TRUE(wait_for(cluster, 120, [&] { return ended(cluster, 1); }));
  EXPECT_EQ(cluster.state_service.refused_as_too_large, 0);
  cluster.start_node(former_leader);
}

// Stored in more parts than a transaction may now change: it is written again when enough of its
// tasks are over, and the parts that its outcome leaves go later.
TEST(Pipeline, ARecordStoredUnderLargerLimitsEndsUnderSmallOnes) {
  auto settings = settings_for_long_arrays();
  settings.value_kb = 1;
  TestCluster cluster(3, {}, settings);
  start_with_workers(cluster, 25);
  spread_run_times(cluster, 190, 15);
  submit_array_and_successor(cluster, 190);
  ASSERT_TRUE(wait_for(cluster, 20, [&] { return has_part(cluster, 0, 2); }));
  for (int node = 0; node < cluster.nodes(); ++node) cluster.crash_node(node);
  cluster.base_settings.txn_ops = 3;
  cluster.state_service.limits = {1024, 3, 0};
  for (int node = 0; node < cluster.nodes(); ++node) cluster.start_node(node);
  ASSERT_TRUE(wait_for(cluster, 120, [&] { return ended(cluster, 1); }));
  cluster.run(2);
  for (const auto& [key, value] : cluster.state_service.values)
    EXPECT_FALSE(key.starts_with("parts/")) << key;
  EXPECT_EQ(cluster.state_service.refused_as_too_large, 0);
  EXPECT_EQ(cluster.start_counts[task_name(0, 7)], 1);
}

// No coming limits were announced: a write that is refused as too large is cut down, not repeated.
TEST(Pipeline, LimitsThatFallUnannouncedEndNoLeadership) {
  auto settings = settings_for_long_arrays();
  TestCluster cluster(3, {}, settings);
  start_with_workers(cluster, 16);
  spread_run_times(cluster, 100, 5);
  submit_array_and_successor(cluster, 100);
  ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.running_tasks(job_id(0)) > 0; }));
  const int leader = cluster.leader();
  cluster.state_service.limits = {1500, 4, 0};
  ASSERT_TRUE(wait_for(cluster, 120, [&] { return ended(cluster, 1); }));
  EXPECT_EQ(cluster.leader(), leader);
  EXPECT_GE(cluster.state_service.refused_as_too_large, 1);
  EXPECT_LE(cluster.state_service.refused_as_too_large, 6);
}

// ---- the upgrade ----

// Without dependent jobs the version in production differs in what it stores by the limits alone
// that it keeps to. Here it leads first, then a newer node, then again it, while a long array runs.
TEST(Pipeline, LeadersOfBothVersionsTakeOverFromEachOther) {
  auto settings = settings_for_long_arrays();
  settings.value_kb = 2;
  settings.txn_ops = 4;
  TestCluster cluster(3, {}, settings);
  for (int node = 0; node < cluster.nodes(); ++node) cluster.crash_node(node);
  cluster.known_limits = {{0, {30, 8, 12}}};
  cluster.start_node(0);
  cluster.run(3);
  for (int i = 0; i < 24; ++i) cluster.add_worker();
  cluster.run(3);
  constexpr int kTasks = 180;
  spread_run_times(cluster, kTasks, 10, 50);
  cluster.submit(0, stage(0, {}, kTasks));
  ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.running_tasks(job_id(0)) == kTasks; }));
  EXPECT_FALSE(has_part(cluster, 0, 0));  // one value of 8 KiB holds it
  cluster.start_node(1);
  cluster.run(2);
  cluster.crash_node(0);
  ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.leader() == 1; }));
  // Written again in small values as soon as it fits; then the older version has it back.
  ASSERT_TRUE(wait_for(cluster, 40, [&] { return has_part(cluster, 0, 0); }));
  cluster.start_node(0);
  cluster.run(2);
  cluster.crash_node(1);
  ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.leader() == 0; }));
  ASSERT_TRUE(wait_for(cluster, 90, [&] { return ended(cluster, 0); }));
  for (int i = 0; i < kTasks; ++i) EXPECT_EQ(cluster.start_counts[task_name(0, i)], 1) << i;
}

// All nodes are replaced one after the other, with a crash and a cut between, while pipelines run.
TEST(Pipeline, ARollingRestartLosesNothing) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 4;
  start_with_workers(cluster, 3);
  int submitted = 0;
  const auto submit_pipeline = [&] {
    const int first = submitted;
    cluster.add_user(stage(first), {});
    cluster.run(0.5);
    cluster.add_user(stage(first + 1, {first}), {first % 4 == 0 ? 3.0 : -1, false, true});
    cluster.run(0.5);
    cluster.add_user(stage(first + 2, {first + 1}), {});
    submitted += 3;
  };
  for (int node = 0; node < 3; ++node) {
    submit_pipeline();
    cluster.crash_node(node);
    cluster.run(3);
    if (node == 1) cluster.cut_from_state = {2};
    submit_pipeline();
    cluster.run(4);
    cluster.start_node(node);
    cluster.run(3);
    cluster.cut_from_state.clear();
  }
  EXPECT_TRUE(wait_for(cluster, 120, [&] {
    return static_cast<int>(cluster.rules.accepted_jobs().size()) == submitted &&
           all_jobs_ended(cluster);
  }));
}

}  // namespace
}  // namespace cranklock::testing
