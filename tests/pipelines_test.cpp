// Pipelines of dependent jobs in simulated clusters. The rule checker of each cluster checks all
// rules, including `too_early` and `orphaned`. The scenarios themselves assert that the intended
// failure occurred and that jobs complete afterwards.
#include <gtest/gtest.h>

#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

/// Makes a pipeline stage with this number, which depends on the stages with the given numbers.
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

/// Whether every running node reports this state for a stage.
bool all_nodes_say(TestCluster& cluster, int stage_number, const std::string& state) {
  for (int node = 0; node < cluster.nodes(); ++node) {
    if (cluster.is_up(node) && cluster.state_of(node, job_id(stage_number)) != state) return false;
  }
  return true;
}

/// Starts a cluster: waits for the election of a leader, then adds machines and waits for them.
void start_with_workers(TestCluster& cluster, int workers) {
  cluster.run(1);
  for (int i = 0; i < workers; ++i) cluster.add_worker();
  cluster.run(3);
}

/// Submits to a node and retries, as a client does after a 503; false after 20 s.
bool is_accepted_in_time(TestCluster& cluster, int node, const wire::JobSpec& spec) {
  constexpr double kTimeoutS = 20;
  return wait_for(cluster, kTimeoutS, [&] {
    const int status = cluster.send_request(node, "POST", "/v1/jobs", submission(spec)).status;
    return status == 201 || status == 200;
  });
}

/// Sets the run times of the tasks of stage 0 between `min_s` and `min_s + spread_s`, so that they
/// end one after another.
void spread_run_times(TestCluster& cluster, int tasks, int min_s, int spread_s = 20) {
  for (int i = 0; i < tasks; ++i) cluster.run_s_by_task[task_name(0, i)] = min_s + i % spread_s;
}

/// Submits a job array as stage 0, and stage 1 that depends on it.
void submit_array_and_successor(TestCluster& cluster, std::uint32_t tasks) {
  cluster.submit(0, stage(0, {}, tasks));
  cluster.submit(1, stage(1, {0}));
}

/// Settings with a team whose limits allow hundreds of concurrent tasks.
base::Settings settings_for_long_arrays() {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 100, 200}};
  return settings;
}

int other_than(const TestCluster& cluster, int node) {
  return (node + 1) % cluster.nodes();
}

/// Submits a diamond of stages: 1 and 2 depend on 0, and 3 depends on both.
void submit_diamond(TestCluster& cluster) {
  cluster.submit(0, stage(0));
  cluster.submit(1, stage(1, {0}));
  cluster.submit(2, stage(2, {0}, 3));
  cluster.submit(0, stage(3, {1, 2}));
}

TEST(Pipeline, StagesRunInOrderWithoutDelay) {
  TestCluster cluster;
  start_with_workers(cluster, 1);
  submit_diamond(cluster);
  EXPECT_EQ(cluster.state_of(1, job_id(3)), "queued");
  ASSERT_TRUE(wait_for(cluster, 30, [&] { return ended(cluster, 0); }));
  // The start is sent in the round after the write of the outcome was confirmed.
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
  // A repeat of an accepted submission returns the job's state, whatever its body contains.
  EXPECT_EQ(cluster.send_request(1, "POST", "/v1/jobs", submission(stage(1, {7}))).status, 200);
  ASSERT_TRUE(wait_for(cluster, 60, [&] { return ended(cluster, 1); }));
  // A dependency may have ended already: it is found although its data has moved to another key.
  cluster.submit(1, stage(2, {0, 1}));
  ASSERT_TRUE(wait_for(cluster, 60, [&] { return ended(cluster, 2); }));
}

// The jobs of a pipeline are submitted in quick succession, which exceeds one node's share of the
// write rate; user writes may overdraw it.
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

// The leader's record writes use up its share of the write rate, a full transaction at a time. They
// must not delay client requests to the same node.
TEST(Pipeline, SubmissionsToALeaderThatWritesManyRecordsAreAcceptedAtOnce) {
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

TEST(Pipeline, WithoutTheStateServiceASubmissionIsRefusedTemporarily) {
  TestCluster cluster;
  cluster.run(1);
  cluster.submit(0, stage(0));
  cluster.state_down = true;
  const auto response = cluster.send_request(1, "POST", "/v1/jobs", submission(stage(1, {0})));
  EXPECT_EQ(response.status, 503);
  EXPECT_GT(response.retry_after_s, 0);
  cluster.state_down = false;
}

TEST(Pipeline, ACancellationAppliesToAllStagesAndThoseSubmittedLater) {
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

TEST(Pipeline, ACancellationOfADoneJobDoesNotCancelDependents) {
  TestCluster cluster;
  cluster.run(1);
  submit_diamond(cluster);
  ASSERT_TRUE(wait_for(cluster, 60, [&] { return ended(cluster, 0); }));
  const auto answer = cluster.send_request(1, "POST", "/v1/jobs/" + job_id(0) + "/withdraw");
  EXPECT_NE(answer.body.find("done"), std::string::npos);
  ASSERT_TRUE(wait_for(cluster, 60, [&] { return ended(cluster, 3); }));
  EXPECT_TRUE(all_nodes_say(cluster, 3, "done"));
}

// After an outage a status request arrives before a leader is elected. The node checks the job's
// dependencies and stores the cancellation before it responds, so that all nodes agree afterwards.
TEST(Pipeline, AfterAnOutageNoNodeReportsADependentOfACancelledJobAsQueued) {
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
  // No leader is elected before the former leader's lease has ended.
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

// One node has cached that a dependency is not cancelled; another node finds it cancelled. Once
// the second has reported the cancellation, the first must not report `queued`.
TEST(Pipeline, AfterOneNodeReportsACancellationNoOtherReportsQueued) {
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

// Only the leader is refused by the state service, so it does not learn of the cancellation.
TEST(Pipeline, ADependencyIsCancelledThroughAnotherNodeWhileTheLeaderIsRefused) {
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

TEST(Pipeline, ANewLeaderReadsOutcomesFromBeforeItsTerm) {
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

// The unanswered write of an outcome is either applied with its response lost, or applied late.
TEST(Pipeline, NoDependentStartsBeforeTheWriteOfAnOutcomeIsResolved) {
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

// Hundreds of jobs are cancelled at once: every node must report it in time, and other jobs must
// not be delayed.
TEST(Pipeline, AWideFanOutIsCancelledWithinLimitsWithoutDelayingOtherJobs) {
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
  cluster.submit(1, stage(2000));  // keeps the machine from being deleted
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
  EXPECT_GT(cluster.reactor.now() - cancelled, 5);  // paced by the write rate limit
  EXPECT_EQ(cluster.state_service.refused_as_too_large, 0);
  EXPECT_LT(cluster.state_service.refused_writes, 3);
  for (int i = 1; i <= kFan; i += 50) EXPECT_TRUE(all_nodes_say(cluster, i, "withdrawn"));
}

TEST(Pipeline, ALongChainIsCancelledCompletely) {
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

// A job is submitted within milliseconds of the cancellation of its dependency through another
// node.
TEST(Pipeline, ADependentIsSubmittedWhileItsDependencyIsCancelled) {
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

// The store may lower its limits without notice, so nodes observe the announced limits from the
// start: when the store enforces them, no write is refused as too large, also not after a failover.
TEST(Pipeline, LimitsFallWhileALongArrayRunsAndItsDependentWaits) {
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

// A record has more parts than a transaction may now change. It is written again once enough of its
// tasks have ended, and the parts that do not fit into the write of its outcome are removed later.
TEST(Pipeline, AJobStoredUnderLargerLimitsEndsUnderSmallerOnes) {
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

// The limits fall without notice: a write that is refused as too large is made smaller, not
// repeated unchanged.
TEST(Pipeline, UnannouncedLowerLimitsDoNotEndALeadership) {
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

// ---- upgrades ----

// Without dependent jobs, the stored data of the production version differs only by the limits that
// it observes. A node of that version leads first, then a newer one, then the older one again,
// while a long array runs.
TEST(Pipeline, LeadershipMovesBetweenVersions) {
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
  // The newer leader rewrites the record in small values once it fits; the older one then reads it.
  ASSERT_TRUE(wait_for(cluster, 40, [&] { return has_part(cluster, 0, 0); }));
  cluster.start_node(0);
  cluster.run(2);
  cluster.crash_node(1);
  ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.leader() == 0; }));
  ASSERT_TRUE(wait_for(cluster, 90, [&] { return ended(cluster, 0); }));
  for (int i = 0; i < kTasks; ++i) EXPECT_EQ(cluster.start_counts[task_name(0, i)], 1) << i;
}

// All nodes crash and restart one after another while pipelines run; meanwhile one is also cut off
// from the state service.
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
