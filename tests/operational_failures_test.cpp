// Tests of further failures, which operators reported after their first list. The rule checker of
// each cluster checks all rules; a test itself checks that the failure occurred and that jobs keep
// running.
#include <gtest/gtest.h>

#include <algorithm>

#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

wire::JobSpec service_in(const std::string& id, const std::string& zone, std::uint32_t tasks) {
  auto spec = make_job(id, JobKind::service, tasks, 1, "red").spec;
  spec.zone = zone;
  return spec;
}

std::uint64_t max_agent_epoch(const TestCluster& cluster) {
  std::uint64_t max_epoch = 0;
  for (const auto& [id, worker] : cluster.workers)
    max_epoch = std::max(max_epoch, worker->agent_epoch);
  return max_epoch;
}

/// A cluster of five nodes in two zones, with a service in each zone.
struct TwoZones {
  TestCluster cluster{5, {"a", "b", "b", "a", "b"}};

  void start_jobs() {
    cluster.run_s = 10'000;
    for (const char* zone : {"a", "a", "b", "b"}) cluster.add_worker(zone);
    cluster.run(1);
    cluster.submit(0, service_in("j-000001", "a", 4));
    cluster.submit(0, service_in("j-000002", "b", 4));
    cluster.run(15);
    ASSERT_EQ(cluster.running_tasks("j-000001"), 4);
    ASSERT_EQ(cluster.running_tasks("j-000002"), 4);
  }
  void expect_undisturbed() {
    EXPECT_EQ(max_agent_epoch(cluster), 1U);
    EXPECT_EQ(cluster.running_tasks("j-000001"), 4);
    EXPECT_EQ(cluster.running_tasks("j-000002"), 4);
    for (const auto& [task, starts] : cluster.start_counts) EXPECT_EQ(starts, 1) << task;
  }
};

// Guards against leases that expire while workers change nodes. A worker whose node delays its
// heartbeats reaches the next node with half of its lease used up, and must not be redirected back.
TEST(OperationalFailures, NoLeaseExpiresWhenTheLeaderDelaysAllHeartbeats) {
  TwoZones zones;
  auto& cluster = zones.cluster;
  zones.start_jobs();
  cluster.unresponsive_to_workers = {cluster.leader()};
  cluster.run(4 * cluster.base_settings.lease_s);
  zones.expect_undisturbed();
}

TEST(OperationalFailures, NoLeaseExpiresWhenAForwarderDelaysAllHeartbeats) {
  TwoZones zones;
  auto& cluster = zones.cluster;
  zones.start_jobs();
  for (int node = 0; node < cluster.nodes(); ++node) {
    if (node == cluster.leader()) continue;
    cluster.unresponsive_to_workers = {node};
    cluster.run(2 * cluster.base_settings.lease_s);
  }
  zones.expect_undisturbed();
}

// The partition between workers and leader heals and returns, each time for longer than the
// workers' heartbeat timeout.
TEST(OperationalFailures, NoLeaseExpiresWhenTheLeaderIsRepeatedlyCutOffFromWorkers) {
  TwoZones zones;
  auto& cluster = zones.cluster;
  zones.start_jobs();
  for (int times = 0; times < 6; ++times) {
    cluster.unresponsive_to_workers = {cluster.leader()};
    cluster.run(12);
    cluster.unresponsive_to_workers.clear();
    cluster.run(12);
  }
  zones.expect_undisturbed();
}

// ---- a paused controller ----

constexpr double kPauseS = 70;  ///< longer than cancel_s, and than any lease

bool is_deleted(const TestCluster& cluster, const std::string& machine) {
  return std::find(cluster.deleted_machines.begin(), cluster.deleted_machines.end(), machine) !=
         cluster.deleted_machines.end();
}

std::string machine_of(const TestCluster& cluster, const std::string& job) {
  for (const auto& [id, worker] : cluster.workers) {
    for (const auto& [task, held] : worker->tasks) {
      if (task.starts_with(job + "/") && held.state != wire::TaskState::exited) return id;
    }
  }
  return "";
}

// A paused leader resumes with a leader lease, timers and messages that are more than a minute old.
// It must not act on its outdated view of workers without heartbeats and missing machines.
TEST(OperationalFailures, AResumedLeaderChangesNothing) {
  TwoZones zones;
  auto& cluster = zones.cluster;
  zones.start_jobs();
  const int old = cluster.leader();
  cluster.pause_node(old);
  ASSERT_TRUE(wait_for(cluster, 10, [&] { return cluster.leader() >= 0; }));
  cluster.run(kPauseS);
  const auto deleted = cluster.deleted_machines.size();
  const auto created = cluster.machines_created;
  const int successor = cluster.leader();
  cluster.resume_node(old);
  cluster.run(15);
  EXPECT_EQ(cluster.leader(), successor);
  EXPECT_EQ(cluster.deleted_machines.size(), deleted);
  EXPECT_EQ(cluster.machines_created, created);
  zones.expect_undisturbed();
}

// The only node of a zone, not the leader, is paused, and another node crashes meanwhile.
TEST(OperationalFailures, NoLeaseExpiresWhileTheOnlyNodeOfAZoneIsPaused) {
  TestCluster cluster(4, {"a", "b", "a", "a"});
  cluster.run_s = 10'000;
  for (const char* zone : {"a", "b"}) cluster.add_worker(zone);
  cluster.run(1);
  ASSERT_NE(cluster.leader(), 1);
  cluster.submit(0, service_in("j-000001", "a", 4));
  cluster.submit(0, service_in("j-000002", "b", 4));
  cluster.run(15);
  ASSERT_EQ(cluster.running_tasks("j-000002"), 4);
  cluster.pause_node(1);
  cluster.run(20);
  const int other = cluster.leader() == 2 ? 3 : 2;
  cluster.crash_node(other);
  cluster.run(kPauseS);
  cluster.resume_node(1);
  cluster.start_node(other);
  cluster.run(15);
  EXPECT_EQ(max_agent_epoch(cluster), 1U);
  EXPECT_EQ(cluster.running_tasks("j-000001"), 4);
  EXPECT_EQ(cluster.running_tasks("j-000002"), 4);
}

// Guards against workers that are redirected from their zone's node to a paused leader, and from
// there to nodes that are down. Their node waits for the new leader and forwards to it.
TEST(OperationalFailures, NoLeaseExpiresWhenAPausedLeaderIsReplaced) {
  auto settings = small_settings();
  settings.nodes = 5;
  for (const double moment : {0.0, 0.3, 0.6, 0.9}) {
    TestCluster cluster(5, {"a", "b", "c", "a", "b"}, settings);
    cluster.run_s = 10'000;
    cluster.heartbeat_spread = 0.25;
    for (int i = 0; i < 4; ++i) cluster.add_worker("b");
    cluster.run(1);
    ASSERT_EQ(cluster.leader(), 0);
    cluster.submit(0, service_in("j-000001", "b", 8));
    cluster.run(15 + moment);
    ASSERT_EQ(cluster.running_tasks("j-000001"), 8);
    cluster.crash_node(1);
    cluster.crash_node(2);
    cluster.run(3);
    cluster.pause_node(0);
    cluster.run(30);
    EXPECT_GE(cluster.leader(), 3);
    EXPECT_EQ(max_agent_epoch(cluster), 1U) << moment;
    EXPECT_EQ(cluster.running_tasks("j-000001"), 8);
    for (const auto& [task, starts] : cluster.start_counts) EXPECT_EQ(starts, 1) << task;
  }
}

// Guards against a deletion by a resumed leader. In its outdated view the machine still holds a
// cancelled task: it knows of neither the task's end nor the tasks placed there by its successor.
TEST(OperationalFailures, AResumedLeaderDeletesNoMachineForAnOldCancellation) {
  auto settings = small_settings();
  settings.heartbeat_interval_s = 3;
  settings.lease_s = 29;
  settings.cancel_s = 49;
  settings.cloud_rps = 20;  // so that rate limits delay no deletion
  TestCluster cluster(3, {"a", "a", "a"}, settings);
  cluster.run_s = 10'000;
  cluster.add_worker("a");
  cluster.run(1);
  cluster.submit(0, service_in("j-000001", "a", 4));
  cluster.run(15);
  const auto machine = machine_of(cluster, "j-000001");
  ASSERT_FALSE(machine.empty());
  auto& worker = *cluster.workers.at(machine);
  const int old = cluster.leader();
  worker.is_hung = true;
  cluster.cancel((old + 1) % 3, "j-000001");
  cluster.run(1);
  cluster.pause_node(old);
  cluster.resume_worker(worker);
  const double paused_at = cluster.reactor.now();
  ASSERT_TRUE(wait_for(cluster, 10, [&] { return cluster.leader() >= 0; }));
  ASSERT_TRUE(wait_for(cluster, 5, [&] { return cluster.live_tasks("j-000001") == 0; }));
  cluster.submit(cluster.leader(), service_in("j-000002", "a", 8));
  ASSERT_TRUE(wait_for(cluster, 10, [&] { return cluster.running_tasks("j-000002") == 8; }));
  ASSERT_FALSE(is_deleted(cluster, machine));
  ASSERT_EQ(machine_of(cluster, "j-000002"), machine);
  // In the former leader's view the cancellation is overdue, and no lease has expired yet.
  cluster.run(paused_at + 0.85 * cluster.base_settings.lease_s - cluster.reactor.now());
  cluster.max_state_delay_s = 0.5;
  cluster.resume_node(old);
  cluster.run(15);
  EXPECT_FALSE(is_deleted(cluster, machine));
  EXPECT_EQ(cluster.running_tasks("j-000002"), 8);
}

// A resumed node reports no older state than other nodes reported meanwhile, also in responses to
// requests that it received while paused.
TEST(OperationalFailures, AResumedNodeReportsNoOlderState) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 10'000;
  cluster.run(1);
  for (int i = 1; i <= 3; ++i) cluster.submit(0, service_in("j-00000" + std::to_string(i), "a", 1));
  cluster.run(15);
  for (const int node : {cluster.leader(), (cluster.leader() + 1) % 3}) {
    const auto job = "j-00000" + std::to_string(node == cluster.leader() ? 1 : 2);
    const int other = (node + 2) % 3;
    cluster.state_of(node, job);
    cluster.pause_node(node);
    std::vector<net::Task<std::optional<net::Response>>> pending;
    for (int i = 0; i < 5; ++i) {
      pending.push_back(cluster.send_user_request(node, "GET", "/v1/jobs/" + job, ""));
      pending.back().start();
    }
    cluster.run(kPauseS);
    cluster.cancel(other, job);
    cluster.resume_node(node);
    const auto state = cluster.state_of(node, job);
    EXPECT_TRUE(state == "withdrawn" || state == "503") << state;
    cluster.run(5);
    EXPECT_EQ(cluster.state_of(node, job), "withdrawn");
  }
}

// The leader is paused while responses to its scale-out request and its transactions are lost. The
// next leader repeats the request under the same name or finds the machines in the list, and no
// task runs twice.
TEST(OperationalFailures, NothingRunsTwiceWhenALeaderIsPausedWithIndeterminateRequests) {
  for (const double moment : {2.2, 3.1, 4.3, 6.5}) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.run_s = 10'000;
    cluster.lost_scale_out_responses = 1;
    cluster.run(1);
    cluster.submit(0, service_in("j-000001", "a", 8));
    cluster.run(moment);
    const int old = cluster.leader();
    cluster.submit((old + 1) % 3, service_in("j-000002", "a", 4));
    cluster.lost_write_responses = 1;
    cluster.run(0.1);
    cluster.pause_node(old);
    cluster.run(kPauseS);
    EXPECT_EQ(cluster.running_tasks("j-000001"), 8);
    EXPECT_EQ(cluster.running_tasks("j-000002"), 4);
    cluster.resume_node(old);
    cluster.run(15);
    EXPECT_EQ(cluster.running_tasks("j-000001"), 8);
    EXPECT_EQ(cluster.running_tasks("j-000002"), 4);
    EXPECT_EQ(cluster.duplicate_starts, 0);
  }
}

// ---- machines that boot late, at once, or never ----

int machines_present(const TestCluster& cluster) {
  return static_cast<int>(
      std::count_if(cluster.workers.begin(), cluster.workers.end(),
                    [](const auto& entry) { return !entry.second->is_deleted; }));
}

// No machine of a zone boots. Jobs that may run in another zone run there, and the machines that
// never booted are deleted even though the leader changes meanwhile.
TEST(OperationalFailures, MachinesThatNeverBootAreDeletedAndJobsRunElsewhere) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 10'000;
  cluster.boot_s = 4;
  cluster.zones_that_never_boot = {"a"};
  cluster.run(1);
  for (int i = 1; i <= 4; ++i) {
    auto spec = service_in("j-00000" + std::to_string(i), "", 2);
    spec.resources.gpus = 4;
    cluster.submit(0, spec);
  }
  cluster.run(20);
  const int old = cluster.leader();
  cluster.crash_node(old);
  cluster.run(10);
  cluster.start_node(old);
  const double ready_s = machine_type().ready_s;
  cluster.run(cluster.base_settings.operator_settings.boot_timeout_factor * ready_s +
              4 * cluster.base_settings.lease_s);
  for (int i = 1; i <= 2; ++i)
    EXPECT_EQ(cluster.running_tasks("j-00000" + std::to_string(i)), 2) << i;
  const auto booting =
      std::count_if(cluster.workers.begin(), cluster.workers.end(), [&](const auto& entry) {
        return !entry.second->is_deleted && entry.second->boot_ends_at > cluster.reactor.now() &&
               cluster.reactor.now() - entry.second->created_at >
                   cluster.base_settings.operator_settings.boot_timeout_factor * ready_s + 10;
      });
  EXPECT_EQ(booting, 0);
}

// All machines take 2.5 times the expected time to boot. The machines requested as replacements are
// deleted, and no task runs twice.
TEST(OperationalFailures, ReplacementsOfMachinesThatBootLateAreDeleted) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 10'000;
  cluster.boot_s = 2.5 * machine_type().ready_s;
  cluster.run(1);
  auto spec = service_in("j-000001", "", 2);
  spec.resources.gpus = 8;
  cluster.submit(0, spec);
  cluster.run(1.02 * cluster.boot_s + 10);
  EXPECT_EQ(cluster.running_tasks("j-000001"), 2);
  // Two for the service and one for headroom; the same number again while these are late.
  constexpr int kNeeded = 3;
  EXPECT_LE(cluster.machines_created, 2 * kNeeded);
  cluster.run(8 * cluster.base_settings.operator_settings.scaler.scale_in_window_s);
  EXPECT_LE(machines_present(cluster), kNeeded);
  EXPECT_EQ(cluster.running_tasks("j-000001"), 2);
  EXPECT_EQ(cluster.duplicate_starts, 0);
}

// A machine that boots within a second is used before it appears in the cloud's list.
TEST(OperationalFailures, AMachineThatBootsAtOnceIsUsedBeforeItIsListed) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 10'000;
  cluster.list_delay_s = 60;
  cluster.boot_s = 0.5;
  cluster.run(1);
  cluster.submit(0, service_in("j-000001", "a", 4));
  EXPECT_TRUE(wait_for(cluster, 20, [&] { return cluster.running_tasks("j-000001") == 4; }));
}

// The lag of the cloud's list varies while machines boot and run tasks and the leader changes. A
// machine that is not listed yet, or no longer listed, is neither lost nor requested twice.
TEST(OperationalFailures, AVaryingLagOfTheCloudListLosesNoMachine) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 10'000;
  cluster.boot_s = 2;
  cluster.list_delay_s = 15;
  cluster.run(1);
  cluster.submit(0, service_in("j-000001", "a", 8));
  ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.running_tasks("j-000001") == 8; }));
  const auto created = cluster.machines_created;
  for (const double lag : {30.0, 0.0, 60.0, 5.0}) {
    cluster.list_delay_s = lag;
    const int old = cluster.leader();
    cluster.crash_node(old);
    cluster.run(9);
    cluster.start_node(old);
    cluster.run(9);
  }
  EXPECT_EQ(cluster.running_tasks("j-000001"), 8);
  EXPECT_LE(cluster.machines_created, created + 1);
  EXPECT_EQ(max_agent_epoch(cluster), 1U);
  for (const auto& [task, starts] : cluster.start_counts) EXPECT_EQ(starts, 1) << task;
}

// ---- bursts of status queries ----

/// Users who query jobs at one node at a given rate per job, until `stopped` is set.
struct QueryLoad {
  TestCluster& cluster;
  int node;
  int answered = 0, refused_with_retry = 0, refused = 0;
  bool stopped = false;
  net::Scope scope;

  QueryLoad(TestCluster& owner, int at) : cluster(owner), node(at) {}
  void query_job(const std::string& job, double queries_per_s) {
    scope.spawn(query_repeatedly(job, 1 / queries_per_s));
  }
  net::Task<void> query_repeatedly(std::string job, double interval_s) {
    net::Sleep begin(cluster.reactor, interval_s * cluster.random_fraction());
    co_await begin;
    while (!stopped) {
      scope.spawn(query_once(job));
      net::Sleep pause(cluster.reactor, interval_s);
      co_await pause;
    }
  }
  net::Task<void> query_once(std::string job) {
    auto asking = cluster.send_user_request(node, "GET", "/v1/jobs/" + job, "");
    const auto response = co_await asking;
    if (!response) co_return;
    if (response->status == 200) {
      ++answered;
    } else {
      ++(response->retry_after_s > 0 ? refused_with_retry : refused);
    }
  }
};

/// Forty running jobs and a state service with a low request limit.
struct RunningJobs {
  static constexpr int kJobs = 40;
  static base::Settings settings() {
    auto settings = small_settings();
    settings.state_rps = 100;
    settings.teams = {{"red", 0, 0, 16, 64}};
    return settings;
  }
  TestCluster cluster{3, {"a", "a", "a"}, settings()};

  void start_jobs() {
    cluster.run_s = 10'000;
    cluster.run(1);
    for (int i = 0; i < kJobs; ++i) cluster.submit(i % 3, service_in(job_id(i), "a", 1));
    ASSERT_TRUE(wait_for(cluster, 60, [&] {
      for (int i = 0; i < kJobs; ++i) {
        if (cluster.running_tasks(job_id(i)) != 1) return false;
      }
      return true;
    }));
  }
};

// 160 status queries a second at one node; the state service accepts 100 requests a second from all
// nodes. Nearly all are answered, refusals carry Retry-After, and heartbeats and cancellations
// work.
TEST(OperationalFailures, ABurstOfStatusQueriesAtOneNodeIsAnswered) {
  for (const bool at_leader : {true, false}) {
    RunningJobs jobs;
    auto& cluster = jobs.cluster;
    jobs.start_jobs();
    QueryLoad load(cluster, at_leader ? cluster.leader() : (cluster.leader() + 1) % 3);
    for (int i = 0; i < RunningJobs::kJobs; ++i) load.query_job(job_id(i), 4);
    cluster.run(10);
    const int before = cluster.state_requests;
    const int answered = load.answered;
    cluster.run(10);
    EXPECT_LT(cluster.state_requests - before, 0.5 * 10 * cluster.base_settings.state_rps);
    EXPECT_GT(load.answered - answered, 0.95 * 10 * 4 * RunningJobs::kJobs);
    EXPECT_EQ(load.refused, 0);
    const double requested_at = cluster.reactor.now();
    cluster.cancel(load.node, job_id(0));
    EXPECT_LT(cluster.reactor.now() - requested_at, 1);
    EXPECT_EQ(cluster.state_of(load.node, job_id(0)), "withdrawn");
    EXPECT_TRUE(wait_for(cluster, 5, [&] { return cluster.live_tasks(job_id(0)) == 0; }));
    EXPECT_EQ(max_agent_epoch(cluster), 1U);
    load.stopped = true;
    cluster.run(5);
  }
}

// The same burst at a node that has just started, while the leader is paused and the state service
// is slow. No lease expires because of it, and afterwards every node knows every job's state.
TEST(OperationalFailures, JobsSurviveABurstOfStatusQueriesWithAPausedLeaderAndASlowStateService) {
  RunningJobs jobs;
  auto& cluster = jobs.cluster;
  jobs.start_jobs();
  const int old = cluster.leader(), started_node = (old + 1) % 3;
  cluster.crash_node(started_node);
  cluster.run(8);
  cluster.start_node(started_node);
  QueryLoad load(cluster, started_node);
  for (int i = 0; i < RunningJobs::kJobs; ++i) load.query_job(job_id(i), 4);
  cluster.max_state_delay_s = 0.3;
  cluster.run(5);
  cluster.pause_node(old);
  cluster.run(30);
  cluster.cancel((old + 2) % 3, job_id(1));
  cluster.resume_node(old);
  cluster.run(20);
  cluster.max_state_delay_s = 0;
  EXPECT_EQ(load.refused, 0);
  EXPECT_GT(load.answered, 0.5 * 55 * 4 * RunningJobs::kJobs);
  load.stopped = true;
  cluster.run(5);
  for (int node = 0; node < 3; ++node) {
    for (int i = 0; i < RunningJobs::kJobs; ++i) {
      EXPECT_EQ(cluster.state_of(node, job_id(i)), i == 1 ? "withdrawn" : "running");
    }
  }
}

// ---- best-effort jobs, a large array, many short jobs ----

/// A team with a guaranteed quota, and one without, whose jobs are best effort.
base::Settings with_best_effort_team() {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 16, 0, 32}, {"blue", 0, 0, 0, 64}};
  settings.state_rps = 250;
  return settings;
}

wire::JobSpec array_of(const std::string& id, std::uint32_t tasks, const std::string& team) {
  auto spec = make_job(id, JobKind::job_array, tasks, 0, team).spec;
  spec.resources = {0.25, 0, 1};
  spec.priority = wire::Priority::best_effort;
  return spec;
}

// Best-effort jobs fill the fleet. A job within a guaranteed quota then preempts them and starts at
// once, and the best-effort jobs complete afterwards.
TEST(OperationalFailures, BestEffortJobsArePreemptedForAGuaranteeAndCompleteAfterwards) {
  TestCluster cluster(3, {"a", "a", "a"}, with_best_effort_team());
  for (int i = 0; i < 2; ++i) cluster.add_worker("a");
  cluster.run_s = 20;
  cluster.run(3);
  auto best_effort = make_job("j-000001", JobKind::job_array, 24, 1, "blue").spec;
  best_effort.priority = wire::Priority::best_effort;
  cluster.add_user(best_effort);
  cluster.run(8);
  ASSERT_GE(cluster.running_tasks("j-000001"), 12);
  auto guaranteed = make_job("j-000002", JobKind::job_array, 12, 1, "red").spec;
  cluster.add_user(guaranteed);
  EXPECT_TRUE(wait_for(cluster, 8, [&] { return cluster.running_tasks("j-000002") == 12; }));
  EXPECT_TRUE(wait_for(cluster, 240, [&] { return all_jobs_ended(cluster); }));
  EXPECT_EQ(cluster.rules.outcome("j-000001"), "done");
}

/// An array of thousands of short tasks that need a quarter of a CPU each.
struct LargeArray {
  TestCluster cluster{3, {"a", "a", "a"}, with_best_effort_team()};

  explicit LargeArray(std::uint32_t tasks = 4'000) {
    cluster.run_s = 4;
    cluster.heartbeat_spread = 0.25;
    for (int i = 0; i < 4; ++i) cluster.add_worker("a");
    cluster.run(3);
    cluster.add_user(array_of("j-000001", tasks, "blue"));
    cluster.run(10);
  }
  int done() {
    const auto response = cluster.send_request(cluster.leader() >= 0 ? cluster.leader() : 0, "GET",
                                               "/v1/jobs/j-000001");
    const wire::JsonDocument document(response.body);
    return static_cast<int>(wire::read_amount(document.root(), "done").value_or(0));
  }
};

TEST(OperationalFailures, ALargeArrayCompletesThroughTwoFailovers) {
  LargeArray array(25'000);
  auto& cluster = array.cluster;
  for (int times = 0; times < 2; ++times) {
    const int old = cluster.leader();
    ASSERT_GE(old, 0);
    cluster.crash_node(old);
    cluster.run(8);
    cluster.start_node(old);
    cluster.run(8);
  }
  cluster.add_user(make_job("j-000002", JobKind::job_array, 4, 1, "red").spec);
  EXPECT_TRUE(wait_for(cluster, 8, [&] {
    return cluster.rules.is_completed("j-000002", 3) || cluster.running_tasks("j-000002") == 4;
  }));
  EXPECT_TRUE(wait_for(cluster, 800, [&] { return all_jobs_ended(cluster); }));
  EXPECT_EQ(cluster.rules.outcome("j-000001"), "done");
}

TEST(OperationalFailures, ALargeArrayIsCancelledHalfway) {
  LargeArray array;
  auto& cluster = array.cluster;
  ASSERT_TRUE(wait_for(cluster, 200, [&] { return array.done() > 1'500; }));
  ASSERT_GT(cluster.live_tasks("j-000001"), 50);
  cluster.cancel((cluster.leader() + 1) % 3, "j-000001");
  EXPECT_TRUE(wait_for(cluster, cluster.base_settings.cancel_s,
                       [&] { return cluster.live_tasks("j-000001") == 0; }));
  EXPECT_TRUE(cluster.deleted_machines.empty());
}

// The state service is slow, and then halves its limits without notice.
TEST(OperationalFailures, ALargeArrayCompletesWhenASlowStateServiceHalvesItsLimits) {
  LargeArray array;
  auto& cluster = array.cluster;
  cluster.max_state_delay_s = 0.3;
  cluster.run(20);
  cluster.state_service.limits.value_bytes = 4096;
  cluster.state_service.limits.txn_changes = 6;
  cluster.run(20);
  cluster.max_state_delay_s = 0;
  EXPECT_TRUE(wait_for(cluster, 600, [&] { return all_jobs_ended(cluster); }));
  EXPECT_EQ(cluster.rules.outcome("j-000001"), "done");
}

// Four one-task jobs are submitted per second for a minute, a quarter of them is cancelled, and the
// leader crashes. No job is lost, and another team's jobs are accepted and started without delay.
TEST(OperationalFailures, ManyShortJobsDelayNoOtherSubmission) {
  auto settings = with_best_effort_team();
  settings.state_write_rps = 30;
  TestCluster cluster(5, {"a", "a", "a", "a", "a"}, settings);
  cluster.state_service.enforces_write_rate = true;
  cluster.run_s = 6;
  for (int i = 0; i < 4; ++i) cluster.add_worker("a");
  cluster.run(3);
  for (int i = 0; i < 240; ++i) {
    UserBehavior behavior;
    if (i % 4 == 0) behavior.cancel_after_s = 3;
    auto short_job = make_job(job_id(i), JobKind::job_array, 1, 0.25, "blue").spec;
    short_job.priority = wire::Priority::best_effort;
    cluster.add_user(short_job, behavior);
    cluster.run(0.25);
    if (i == 80) {
      const int old = cluster.leader();
      cluster.crash_node(old);
      cluster.run(8);
      cluster.start_node(old);
    }
    if (i % 40 == 39) {
      const double requested_at = cluster.reactor.now();
      const auto guaranteed = make_job(job_id(1000 + i), JobKind::job_array, 1, 1, "red").spec;
      cluster.submit((cluster.leader() + 1) % 5, guaranteed);
      EXPECT_LT(cluster.reactor.now() - requested_at, 1) << i;
      EXPECT_TRUE(wait_for(cluster, 8, [&] {
        return cluster.start_counts[job_id(1000 + i) + "/0"] > 0;
      })) << i;
    }
  }
  for (int i = 0; i < 240; i += 40)
    cluster.add_user(make_job(job_id(1039 + i), JobKind::job_array, 1, 1, "red").spec);
  EXPECT_TRUE(wait_for(cluster, 200, [&] { return all_jobs_ended(cluster); }));
}

// ---- faulty jobs ----

// An array, a gang and a service fail on every machine, while many best-effort jobs run and the
// leader changes. No machine is deleted because of them, they are retried with increasing backoff,
// and cancellations are confirmed at once. A machine that is really faulty is still detected.
TEST(OperationalFailures, BrokenJobsCostNoMachinesBesideManyBestEffortJobs) {
  auto settings = with_best_effort_team();
  settings.operator_settings.scaler.min_machines = 5;  // no machine is deleted as idle
  TestCluster cluster(3, {"a", "a", "a"}, settings);
  cluster.run_s = 6;
  for (int i = 0; i < 5; ++i) cluster.add_worker("a");
  cluster.run(3);
  cluster.broken_jobs = {job_id(1), job_id(2), job_id(3)};
  cluster.submit(0, make_job(job_id(1), JobKind::job_array, 6, 1, "red").spec);
  cluster.submit(1, make_job(job_id(2), JobKind::gang, 2, 1, "red").spec);
  cluster.submit(2, make_job(job_id(3), JobKind::service, 2, 1, "red").spec);
  const auto starts_of_broken_jobs = [&] {
    int sum = 0;
    for (const auto& [task, starts] : cluster.start_counts) {
      sum += cluster.broken_jobs.contains(task.substr(0, task.find('/'))) ? starts : 0;
    }
    return sum;
  };
  for (int i = 100; i < 160; ++i) {
    auto short_job = make_job(job_id(i), JobKind::job_array, 1, 0.25, "blue").spec;
    short_job.priority = wire::Priority::best_effort;
    cluster.add_user(short_job);
    cluster.run(0.5);
  }
  EXPECT_TRUE(cluster.deleted_machines.empty());
  const int first_half_minute = starts_of_broken_jobs();
  EXPECT_GE(first_half_minute, 10);
  const int old = cluster.leader();
  cluster.crash_node(old);
  cluster.run(8);
  cluster.start_node(old);
  cluster.run(22);
  EXPECT_LE(starts_of_broken_jobs(), 2 * first_half_minute);
  const auto faulty = cluster.workers.begin()->first;
  cluster.faulty_machines = {faulty};
  for (int i = 200; i < 212; ++i)
    cluster.add_user(make_job(job_id(i), JobKind::job_array, 4, 1, "red").spec);
  EXPECT_TRUE(wait_for(cluster, 60, [&] { return is_deleted(cluster, faulty); }));
  EXPECT_EQ(cluster.deleted_machines, std::vector<std::string>{faulty});
  for (int i = 1; i <= 3; ++i) {
    const double requested_at = cluster.reactor.now();
    cluster.cancel(cluster.leader(), job_id(i));
    EXPECT_LT(cluster.reactor.now() - requested_at, 1);
  }
  EXPECT_TRUE(wait_for(cluster, 120, [&] { return all_jobs_ended(cluster); }));
}

// Machines boot late during a burst of jobs. All jobs complete, and at most twice the necessary
// number of machines is requested.
TEST(OperationalFailures, LateMachinesLimitScaleOutDuringABurst) {
  TestCluster cluster(3, {"a", "a", "a"}, with_best_effort_team());
  cluster.run_s = 20;
  cluster.boot_s = 1.8 * machine_type().ready_s;
  cluster.run(1);
  for (int i = 0; i < 12; ++i)
    cluster.add_user(make_job(job_id(i), JobKind::job_array, 2, 2, "red").spec);
  EXPECT_TRUE(wait_for(cluster, 400, [&] { return all_jobs_ended(cluster); }));
  EXPECT_LE(cluster.machines_created, 2 * 5);
}

}  // namespace
}  // namespace cranklock::testing
