// Scenarios of what operators met beyond the failures that they had named. The rule checker of each
// cluster watches all rules; what a scenario asserts itself is that the failure occurred and that
// work goes on.
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

std::uint64_t max_epochs(const TestCluster& cluster) {
  std::uint64_t most = 0;
  for (const auto& [id, worker] : cluster.workers) most = std::max(most, worker->agent_epoch);
  return most;
}

/// A cluster of five nodes in two zones, with services that run in both.
struct TwoZones {
  TestCluster cluster{5, {"a", "b", "b", "a", "b"}};

  void serve() {
    cluster.run_s = 10'000;
    for (const char* zone : {"a", "a", "b", "b"}) cluster.add_worker(zone);
    cluster.run(1);
    cluster.submit(0, service_in("j-000001", "a", 4));
    cluster.submit(0, service_in("j-000002", "b", 4));
    cluster.run(15);
    ASSERT_EQ(cluster.running("j-000001"), 4);
    ASSERT_EQ(cluster.running("j-000002"), 4);
  }
  void expect_undisturbed() {
    EXPECT_EQ(max_epochs(cluster), 1U);
    EXPECT_EQ(cluster.running("j-000001"), 4);
    EXPECT_EQ(cluster.running("j-000002"), 4);
    for (const auto& [task, starts] : cluster.starts) EXPECT_EQ(starts, 1) << task;
  }
};

// Guards against leases that end on the way between nodes: a worker whose node holds its heartbeats
// comes to the next one with half of its lease gone, and must not be sent back.
TEST(OperationalFailures, ALeaderThatDelaysAllHeartbeatsCostsNoLease) {
  TwoZones zones;
  auto& cluster = zones.cluster;
  zones.serve();
  cluster.unresponsive_to_workers = {cluster.leader()};
  cluster.run(4 * cluster.base_settings.lease_s);
  zones.expect_undisturbed();
}

TEST(OperationalFailures, AForwarderThatDelaysAllHeartbeatsCostsNoLease) {
  TwoZones zones;
  auto& cluster = zones.cluster;
  zones.serve();
  for (int node = 0; node < cluster.nodes(); ++node) {
    if (node == cluster.leader()) continue;
    cluster.unresponsive_to_workers = {node};
    cluster.run(2 * cluster.base_settings.lease_s);
  }
  zones.expect_undisturbed();
}

// The cut of the workers heals and opens again, each time for longer than they wait for an answer.
TEST(OperationalFailures, ACutFromWorkersThatHealsAndOpensAgainCostsNoLease) {
  TwoZones zones;
  auto& cluster = zones.cluster;
  zones.serve();
  for (int times = 0; times < 6; ++times) {
    cluster.unresponsive_to_workers = {cluster.leader()};
    cluster.run(12);
    cluster.unresponsive_to_workers.clear();
    cluster.run(12);
  }
  zones.expect_undisturbed();
}

// ---- a paused controller ----

constexpr double kPause = 70;  ///< longer than cancel_s, and than any lease

bool is_deleted(const TestCluster& cluster, const std::string& machine) {
  return std::find(cluster.deleted.begin(), cluster.deleted.end(), machine) !=
         cluster.deleted.end();
}

std::string machine_of(const TestCluster& cluster, const std::string& job) {
  for (const auto& [id, worker] : cluster.workers) {
    for (const auto& [task, held] : worker->tasks) {
      if (task.starts_with(job + "/") && held.state != wire::TaskState::exited) return id;
    }
  }
  return "";
}

// A paused leader resumes with a leader lease, timers and messages of more than a minute ago.
// Whatever it believes of silent workers and missing machines, nothing may come of it.
TEST(OperationalFailures, APausedLeaderDisturbsNothingWhenItResumes) {
  TwoZones zones;
  auto& cluster = zones.cluster;
  zones.serve();
  const int old = cluster.leader();
  cluster.pause_node(old);
  ASSERT_TRUE(wait_for(cluster, 10, [&] { return cluster.leader() >= 0; }));
  cluster.run(kPause);
  const auto deleted = cluster.deleted.size();
  const auto rented = cluster.machines_created;
  const int successor = cluster.leader();
  cluster.resume_node(old);
  cluster.run(15);
  EXPECT_EQ(cluster.leader(), successor);
  EXPECT_EQ(cluster.deleted.size(), deleted);
  EXPECT_EQ(cluster.machines_created, rented);
  zones.expect_undisturbed();
}

// The same for a node that does not lead, the only one of its zone that is up, while another fails.
TEST(OperationalFailures, PausingTheOnlyNodeOfAZoneCostsNoLease) {
  TestCluster cluster(4, {"a", "b", "a", "a"});
  cluster.run_s = 10'000;
  for (const char* zone : {"a", "b"}) cluster.add_worker(zone);
  cluster.run(1);
  ASSERT_NE(cluster.leader(), 1);
  cluster.submit(0, service_in("j-000001", "a", 4));
  cluster.submit(0, service_in("j-000002", "b", 4));
  cluster.run(15);
  ASSERT_EQ(cluster.running("j-000002"), 4);
  cluster.pause_node(1);
  cluster.run(20);
  const int other = cluster.leader() == 2 ? 3 : 2;
  cluster.crash_node(other);
  cluster.run(kPause);
  cluster.resume_node(1);
  cluster.start_node(other);
  cluster.run(15);
  EXPECT_EQ(max_epochs(cluster), 1U);
  EXPECT_EQ(cluster.running("j-000001"), 4);
  EXPECT_EQ(cluster.running("j-000002"), 4);
}

// Guards against workers sent from their zone's node to a paused leader, and on from
// there to nodes that are down: their node waits for the successor, and forwards to it.
TEST(OperationalFailures, WorkersWaitForTheSuccessorOfAPausedLeader) {
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
    ASSERT_EQ(cluster.running("j-000001"), 8);
    cluster.crash_node(1);
    cluster.crash_node(2);
    cluster.run(3);
    cluster.pause_node(0);
    cluster.run(30);
    EXPECT_GE(cluster.leader(), 3);
    EXPECT_EQ(max_epochs(cluster), 1U) << moment;
    EXPECT_EQ(cluster.running("j-000001"), 8);
    for (const auto& [task, starts] : cluster.starts) EXPECT_EQ(starts, 1) << task;
  }
}

// Guards against a machine deleted by a leader that was paused: it knows of a
// cancelled task there and not of its end, and not of the work that its successor put there since.
TEST(OperationalFailures, AResumedLeaderDeletesNoMachineForAnOldCancellation) {
  auto settings = small_settings();
  settings.heartbeat_interval_s = 3;
  settings.lease_s = 29;
  settings.cancel_s = 49;
  settings.cloud_rps = 20;  // a deletion waits for nothing
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
  const double stopped = cluster.reactor.now();
  ASSERT_TRUE(wait_for(cluster, 10, [&] { return cluster.leader() >= 0; }));
  ASSERT_TRUE(wait_for(cluster, 5, [&] { return cluster.live_tasks("j-000001") == 0; }));
  cluster.submit(cluster.leader(), service_in("j-000002", "a", 8));
  ASSERT_TRUE(wait_for(cluster, 10, [&] { return cluster.running("j-000002") == 8; }));
  ASSERT_FALSE(is_deleted(cluster, machine));
  ASSERT_EQ(machine_of(cluster, "j-000002"), machine);
  // The cancellation is overdue as the former leader knows it, and no lease is over yet.
  cluster.run(stopped + 0.85 * cluster.base_settings.lease_s - cluster.reactor.now());
  cluster.state_slow_s = 0.5;
  cluster.resume_node(old);
  cluster.run(15);
  EXPECT_FALSE(is_deleted(cluster, machine));
  EXPECT_EQ(cluster.running("j-000002"), 8);
}

// A node that has just resumed answers with no older state than others told meanwhile, also to a
// request from before it resumed.
TEST(OperationalFailures, AResumedNodeTellsNoOlderState) {
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
    std::vector<net::Task<std::optional<net::Response>>> asked;
    for (int i = 0; i < 5; ++i) {
      asked.push_back(cluster.user_asks(node, "GET", "/v1/jobs/" + job, ""));
      asked.back().start();
    }
    cluster.run(kPause);
    cluster.cancel(other, job);
    cluster.resume_node(node);
    const auto told = cluster.state_of(node, job);
    EXPECT_TRUE(told == "withdrawn" || told == "503") << told;
    cluster.run(5);
    EXPECT_EQ(cluster.state_of(node, job), "withdrawn");
  }
}

// Its scale-out request and its transactions were under way, their answers lost to it: the
// scale-out request's name is asked for again, or its machines are found, and nothing runs twice.
TEST(OperationalFailures, ALeaderIsPausedWithIndeterminateRequests) {
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
    cluster.run(kPause);
    EXPECT_EQ(cluster.running("j-000001"), 8);
    EXPECT_EQ(cluster.running("j-000002"), 4);
    cluster.resume_node(old);
    cluster.run(15);
    EXPECT_EQ(cluster.running("j-000001"), 8);
    EXPECT_EQ(cluster.running("j-000002"), 4);
    EXPECT_EQ(cluster.ran_twice, 0);
  }
}

// ---- machines that boot late, at once, or never ----

int machines_present(const TestCluster& cluster) {
  return static_cast<int>(std::count_if(cluster.workers.begin(), cluster.workers.end(),
                                        [](const auto& entry) { return !entry.second->gone; }));
}

// Every machine of a zone fails to come up. Work that may go elsewhere is served elsewhere, and
// what never came is paid no longer, though the leader changes meanwhile.
TEST(OperationalFailures, MachinesThatNeverBootAreGivenUpAndWorkGoesElsewhere) {
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
  for (int i = 1; i <= 2; ++i) EXPECT_EQ(cluster.running("j-00000" + std::to_string(i)), 2) << i;
  const auto booting =
      std::count_if(cluster.workers.begin(), cluster.workers.end(), [&](const auto& entry) {
        return !entry.second->gone && entry.second->up_at > cluster.reactor.now() &&
               cluster.reactor.now() - entry.second->began >
                   cluster.base_settings.operator_settings.boot_timeout_factor * ready_s + 10;
      });
  EXPECT_EQ(booting, 0);
}

// All machines come after two and a half times as long as they should. What was requested instead
// of them is given back, and nothing runs twice.
TEST(OperationalFailures, MachinesThatBootLateAreNotKeptTwice) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 10'000;
  cluster.boot_s = 2.5 * machine_type().ready_s;
  cluster.run(1);
  auto spec = service_in("j-000001", "", 2);
  spec.resources.gpus = 8;
  cluster.submit(0, spec);
  cluster.run(1.02 * cluster.boot_s + 10);
  EXPECT_EQ(cluster.running("j-000001"), 2);
  // Two for the work and one for headroom, and once more as many when they were late.
  constexpr int kAsked = 3;
  EXPECT_LE(cluster.machines_created, 2 * kAsked);
  cluster.run(8 * cluster.base_settings.operator_settings.scaler.scale_in_window_s);
  EXPECT_LE(machines_present(cluster), kAsked);
  EXPECT_EQ(cluster.running("j-000001"), 2);
  EXPECT_EQ(cluster.ran_twice, 0);
}

// A machine that is up within a second gets work before any list shows it.
TEST(OperationalFailures, AMachineThatIsUpAtOnceIsUsedBeforeItIsListed) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 10'000;
  cluster.list_delay_s = 60;
  cluster.boot_s = 0.5;
  cluster.run(1);
  cluster.submit(0, service_in("j-000001", "a", 4));
  EXPECT_TRUE(wait_for(cluster, 20, [&] { return cluster.running("j-000001") == 4; }));
}

// The list lags by a changing time while machines boot, are used and the leader changes: nothing
// that it does not show yet, or shows as gone again, is lost or requested twice.
TEST(OperationalFailures, ACloudListOfChangingLagLosesNoMachine) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 10'000;
  cluster.boot_s = 2;
  cluster.list_delay_s = 15;
  cluster.run(1);
  cluster.submit(0, service_in("j-000001", "a", 8));
  ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.running("j-000001") == 8; }));
  const auto rented = cluster.machines_created;
  for (const double lag : {30.0, 0.0, 60.0, 5.0}) {
    cluster.list_delay_s = lag;
    const int old = cluster.leader();
    cluster.crash_node(old);
    cluster.run(9);
    cluster.start_node(old);
    cluster.run(9);
  }
  EXPECT_EQ(cluster.running("j-000001"), 8);
  EXPECT_LE(cluster.machines_created, rented + 1);
  EXPECT_EQ(max_epochs(cluster), 1U);
  for (const auto& [task, starts] : cluster.starts) EXPECT_EQ(starts, 1) << task;
}

// ---- status queries many times as often ----

/// Users who ask about jobs at one node, each job so many times a second, until told to stop.
struct QueryLoad {
  TestCluster& cluster;
  int node;
  int answered = 0, refused_with_retry = 0, refused = 0;
  bool stopped = false;
  net::Scope scope;

  QueryLoad(TestCluster& owner, int at) : cluster(owner), node(at) {}
  void ask_about(const std::string& job, double queries_per_s) {
    scope.spawn(ask(job, 1 / queries_per_s));
  }
  net::Task<void> ask(std::string job, double every) {
    net::Sleep begin(cluster.reactor, every * cluster.random_fraction());
    co_await begin;
    while (!stopped) {
      scope.spawn(ask_once(job));
      net::Sleep pause(cluster.reactor, every);
      co_await pause;
    }
  }
  net::Task<void> ask_once(std::string job) {
    auto asking = cluster.user_asks(node, "GET", "/v1/jobs/" + job, "");
    const auto response = co_await asking;
    if (!response) co_return;
    if (response->status == 200) {
      ++answered;
    } else {
      ++(response->retry_after_s > 0 ? refused_with_retry : refused);
    }
  }
};

/// A small state service, and forty jobs that run and are asked about four times a second each.
struct RunningJobs {
  static constexpr int kJobs = 40;
  static base::Settings settings() {
    auto s = small_settings();
    s.state_rps = 100;
    s.teams = {{"red", 0, 0, 16, 64}};
    return s;
  }
  TestCluster cluster{3, {"a", "a", "a"}, settings()};

  void serve() {
    cluster.run_s = 10'000;
    cluster.run(1);
    for (int i = 0; i < kJobs; ++i) cluster.submit(i % 3, service_in(name(i), "a", 1));
    ASSERT_TRUE(wait_for(cluster, 60, [&] {
      for (int i = 0; i < kJobs; ++i) {
        if (cluster.running(name(i)) != 1) return false;
      }
      return true;
    }));
  }
};

// 160 questions a second at one node, of a state service that takes 100 requests from all: nearly
// all are answered, those refused are told when to retry, and heartbeats and cancellations go on.
TEST(OperationalFailures, ABurstOfStatusQueriesAtOneNodeIsAnswered) {
  for (const bool at_leader : {true, false}) {
    RunningJobs jobs;
    auto& cluster = jobs.cluster;
    jobs.serve();
    QueryLoad load(cluster, at_leader ? cluster.leader() : (cluster.leader() + 1) % 3);
    for (int i = 0; i < RunningJobs::kJobs; ++i) load.ask_about(name(i), 4);
    cluster.run(10);
    const int before = cluster.state_requests;
    const int answered = load.answered;
    cluster.run(10);
    EXPECT_LT(cluster.state_requests - before, 0.5 * 10 * cluster.base_settings.state_rps);
    EXPECT_GT(load.answered - answered, 0.95 * 10 * 4 * RunningJobs::kJobs);
    EXPECT_EQ(load.refused, 0);
    const double asked = cluster.reactor.now();
    cluster.cancel(load.node, name(0));
    EXPECT_LT(cluster.reactor.now() - asked, 1);
    EXPECT_EQ(cluster.state_of(load.node, name(0)), "withdrawn");
    EXPECT_TRUE(wait_for(cluster, 5, [&] { return cluster.live_tasks(name(0)) == 0; }));
    EXPECT_EQ(max_epochs(cluster), 1U);
    load.stopped = true;
    cluster.run(5);
  }
}

// The same at a node that has just started, while the leader is paused and the state service is
// slow: no lease ends for it, and afterwards every job is known.
TEST(OperationalFailures, ABurstOfStatusQueriesMeetsAPausedLeaderAndASlowStateService) {
  RunningJobs jobs;
  auto& cluster = jobs.cluster;
  jobs.serve();
  const int old = cluster.leader(), fresh = (old + 1) % 3;
  cluster.crash_node(fresh);
  cluster.run(8);
  cluster.start_node(fresh);
  QueryLoad load(cluster, fresh);
  for (int i = 0; i < RunningJobs::kJobs; ++i) load.ask_about(name(i), 4);
  cluster.state_slow_s = 0.3;
  cluster.run(5);
  cluster.pause_node(old);
  cluster.run(30);
  cluster.cancel((old + 2) % 3, name(1));
  cluster.resume_node(old);
  cluster.run(20);
  cluster.state_slow_s = 0;
  EXPECT_EQ(load.refused, 0);
  EXPECT_GT(load.answered, 0.5 * 55 * 4 * RunningJobs::kJobs);
  load.stopped = true;
  cluster.run(5);
  for (int node = 0; node < 3; ++node) {
    for (int i = 0; i < RunningJobs::kJobs; ++i) {
      EXPECT_EQ(cluster.state_of(node, name(i)), i == 1 ? "withdrawn" : "running");
    }
  }
}

// ---- best-effort work, a large array, many short jobs ----

/// A team with a guarantee, and one without whose work is best effort.
base::Settings with_best_effort_team() {
  auto s = small_settings();
  s.teams = {{"red", 0, 16, 0, 32}, {"blue", 0, 0, 0, 64}};
  s.state_rps = 250;
  return s;
}

wire::JobSpec array_of(const std::string& id, std::uint32_t tasks, const std::string& team) {
  auto spec = make_job(id, JobKind::job_array, tasks, 0, team).spec;
  spec.resources = {0.25, 0, 1};
  spec.priority = wire::Priority::best_effort;
  return spec;
}

// Best-effort work fills the fleet; guaranteed work that comes then preempts it and starts at once,
// and the best-effort work is served afterwards.
TEST(OperationalFailures, BestEffortWorkYieldsToAGuaranteeAndIsServedAfterwards) {
  TestCluster cluster(3, {"a", "a", "a"}, with_best_effort_team());
  for (int i = 0; i < 2; ++i) cluster.add_worker("a");
  cluster.run_s = 20;
  cluster.run(3);
  auto best_effort = make_job("j-000001", JobKind::job_array, 24, 1, "blue").spec;
  best_effort.priority = wire::Priority::best_effort;
  cluster.add_user(best_effort);
  cluster.run(8);
  ASSERT_GE(cluster.running("j-000001"), 12);
  auto guaranteed = make_job("j-000002", JobKind::job_array, 12, 1, "red").spec;
  cluster.add_user(guaranteed);
  EXPECT_TRUE(wait_for(cluster, 8, [&] { return cluster.running("j-000002") == 12; }));
  EXPECT_TRUE(wait_for(cluster, 240, [&] { return all_jobs_ended(cluster); }));
  EXPECT_EQ(cluster.rules.outcome("j-000001"), "done");
}

/// An array of thousands of short tasks, a quarter of a processor each, among other teams' work.
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
    const auto response =
        cluster.ask(cluster.leader() >= 0 ? cluster.leader() : 0, "GET", "/v1/jobs/j-000001");
    const wire::JsonDocument document(response.body);
    return static_cast<int>(wire::read_amount(document.root(), "done").value_or(0));
  }
};

TEST(OperationalFailures, ALargeArrayIsServedThroughTwoFailovers) {
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
    return cluster.rules.is_completed("j-000002", 3) || cluster.running("j-000002") == 4;
  }));
  EXPECT_TRUE(wait_for(cluster, 800, [&] { return all_jobs_ended(cluster); }));
  EXPECT_EQ(cluster.rules.outcome("j-000001"), "done");
}

TEST(OperationalFailures, ALargeArrayIsCancelledAtHalf) {
  LargeArray array;
  auto& cluster = array.cluster;
  ASSERT_TRUE(wait_for(cluster, 200, [&] { return array.done() > 1'500; }));
  ASSERT_GT(cluster.live_tasks("j-000001"), 50);
  cluster.cancel((cluster.leader() + 1) % 3, "j-000001");
  EXPECT_TRUE(wait_for(cluster, cluster.base_settings.cancel_s,
                       [&] { return cluster.live_tasks("j-000001") == 0; }));
  EXPECT_TRUE(cluster.deleted.empty());
}

// The state service is slow, and then takes half of what it took without notice.
TEST(OperationalFailures, ALargeArrayMeetsASlowStateServiceThatLowersItsLimits) {
  LargeArray array;
  auto& cluster = array.cluster;
  cluster.state_slow_s = 0.3;
  cluster.run(20);
  cluster.state_service.limits.value_bytes = 4096;
  cluster.state_service.limits.txn_changes = 6;
  cluster.run(20);
  cluster.state_slow_s = 0;
  EXPECT_TRUE(wait_for(cluster, 600, [&] { return all_jobs_ended(cluster); }));
  EXPECT_EQ(cluster.rules.outcome("j-000001"), "done");
}

// Four jobs of one task a second for a minute, a quarter of them cancelled, the leader killed: none
// is lost, and another team's submission is accepted and started as if they were not there.
TEST(OperationalFailures, ManyShortJobsDelayNoOtherSubmission) {
  auto settings = with_best_effort_team();
  settings.state_write_rps = 30;
  TestCluster cluster(5, {"a", "a", "a", "a", "a"}, settings);
  cluster.state_service.limits_writes = true;
  cluster.run_s = 6;
  for (int i = 0; i < 4; ++i) cluster.add_worker("a");
  cluster.run(3);
  for (int i = 0; i < 240; ++i) {
    UserBehavior habits;
    if (i % 4 == 0) habits.cancel_after_s = 3;
    auto one = make_job(name(i), JobKind::job_array, 1, 0.25, "blue").spec;
    one.priority = wire::Priority::best_effort;
    cluster.add_user(one, habits);
    cluster.run(0.25);
    if (i == 80) {
      const int old = cluster.leader();
      cluster.crash_node(old);
      cluster.run(8);
      cluster.start_node(old);
    }
    if (i % 40 == 39) {
      const double asked = cluster.reactor.now();
      const auto guaranteed = make_job(name(1000 + i), JobKind::job_array, 1, 1, "red").spec;
      cluster.submit((cluster.leader() + 1) % 5, guaranteed);
      EXPECT_LT(cluster.reactor.now() - asked, 1) << i;
      EXPECT_TRUE(wait_for(cluster, 8, [&] { return cluster.starts[name(1000 + i) + "/0"] > 0; }))
          << i;
    }
  }
  for (int i = 0; i < 240; i += 40)
    cluster.add_user(make_job(name(1039 + i), JobKind::job_array, 1, 1, "red").spec);
  EXPECT_TRUE(wait_for(cluster, 200, [&] { return all_jobs_ended(cluster); }));
}

// ---- jobs with a mistake ----

// An array, a gang and a service that fail on every machine, beside many best-effort jobs and sound
// work, through a change of leader: no machine is lost to them, they are started ever more rarely,
// and a cancellation is answered at once. A machine that really is faulty is found all the same.
TEST(OperationalFailures, BrokenJobsMeetManyBestEffortJobs) {
  auto settings = with_best_effort_team();
  settings.operator_settings.scaler.min_machines = 5;  // none is given back for want of work
  TestCluster cluster(3, {"a", "a", "a"}, settings);
  cluster.run_s = 6;
  for (int i = 0; i < 5; ++i) cluster.add_worker("a");
  cluster.run(3);
  cluster.broken_jobs = {name(1), name(2), name(3)};
  cluster.submit(0, make_job(name(1), JobKind::job_array, 6, 1, "red").spec);
  cluster.submit(1, make_job(name(2), JobKind::gang, 2, 1, "red").spec);
  cluster.submit(2, make_job(name(3), JobKind::service, 2, 1, "red").spec);
  const auto tries = [&] {
    int sum = 0;
    for (const auto& [task, starts] : cluster.starts) {
      sum += cluster.broken_jobs.contains(task.substr(0, task.find('/'))) ? starts : 0;
    }
    return sum;
  };
  for (int i = 100; i < 160; ++i) {
    auto one = make_job(name(i), JobKind::job_array, 1, 0.25, "blue").spec;
    one.priority = wire::Priority::best_effort;
    cluster.add_user(one);
    cluster.run(0.5);
  }
  EXPECT_TRUE(cluster.deleted.empty());
  const int first_half_minute = tries();
  EXPECT_GE(first_half_minute, 10);
  const int old = cluster.leader();
  cluster.crash_node(old);
  cluster.run(8);
  cluster.start_node(old);
  cluster.run(22);
  EXPECT_LE(tries(), 2 * first_half_minute);
  const auto faulty = cluster.workers.begin()->first;
  cluster.faulty_machines = {faulty};
  for (int i = 200; i < 212; ++i)
    cluster.add_user(make_job(name(i), JobKind::job_array, 4, 1, "red").spec);
  EXPECT_TRUE(wait_for(cluster, 60, [&] { return is_deleted(cluster, faulty); }));
  EXPECT_EQ(cluster.deleted, std::vector<std::string>{faulty});
  for (int i = 1; i <= 3; ++i) {
    const double asked = cluster.reactor.now();
    cluster.cancel(cluster.leader(), name(i));
    EXPECT_LT(cluster.reactor.now() - asked, 1);
  }
  EXPECT_TRUE(wait_for(cluster, 120, [&] { return all_jobs_ended(cluster); }));
}

// Late machines meet a burst: everybody is served, and no more is requested than twice what it
// takes.
TEST(OperationalFailures, LateMachinesMeetABurst) {
  TestCluster cluster(3, {"a", "a", "a"}, with_best_effort_team());
  cluster.run_s = 20;
  cluster.boot_s = 1.8 * machine_type().ready_s;
  cluster.run(1);
  for (int i = 0; i < 12; ++i)
    cluster.add_user(make_job(name(i), JobKind::job_array, 2, 2, "red").spec);
  EXPECT_TRUE(wait_for(cluster, 400, [&] { return all_jobs_ended(cluster); }));
  EXPECT_LE(cluster.machines_created, 2 * 5);
}

}  // namespace
}  // namespace cranklock::testing
