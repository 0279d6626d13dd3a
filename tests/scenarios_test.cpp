// Tests of whole controllers in a small cluster.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>

#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

wire::JobSpec job_spec(const std::string& id, std::uint32_t tasks = 2,
                       wire::JobKind kind = wire::JobKind::job_array) {
  return make_job(id, kind, tasks, 4).spec;
}

std::string text(const wire::JobSpec& spec) {
  wire::JsonWriter writer;
  wire::write_job(writer, spec);
  return writer.take();
}

/// Submits a service with long-running tasks and waits until all replicas run.
void run_service(TestCluster& cluster, std::uint32_t replicas, double seconds) {
  cluster.run_s = 1000;
  cluster.run(1);
  cluster.submit(0, job_spec("j-000001", replicas, wire::JobKind::service));
  cluster.run(seconds);
  ASSERT_EQ(cluster.running_tasks("j-000001"), static_cast<int>(replicas));
}

TEST(Scenario, AJobIsAcceptedByAnyNodeRunsAndStaysDone) {
  TestCluster cluster;
  cluster.run(1);
  const int other = (cluster.leader() + 1) % 3;
  cluster.submit(other, job_spec("j-000001"));
  cluster.run(30);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(cluster.state_of(i, "j-000001"), "done");
  EXPECT_EQ(cluster.start_counts["j-000001/0"], 1);
  // A repeated submission gets the job's state, even if it is changed or invalid.
  auto again = job_spec("j-000001", 5);
  EXPECT_EQ(cluster.send_request(other, "POST", "/v1/jobs", text(again)).status, 200);
  again.team = "nobody";
  EXPECT_EQ(cluster.send_request(other, "POST", "/v1/jobs", text(again)).status, 200);
  EXPECT_EQ(cluster.send_request(other, "POST", "/v1/jobs", R"({"Id":"j-000001"})").status, 200);
}

TEST(Scenario, AJobIsReportedDoneOnlyWhenAllItsTasksAreDone) {
  TestCluster cluster;
  cluster.run(1);
  // The job needs 24 GPUs and the team may use 16: its tasks run in two waves.
  cluster.submit(0, job_spec("j-000001", 6));
  bool partly_started = false;
  for (int i = 0; i < 120 && cluster.state_of(0, "j-000001") != "done"; ++i) {
    cluster.run(0.5);
    partly_started =
        partly_started || (!cluster.start_counts.empty() && cluster.start_counts.size() < 6);
  }
  EXPECT_TRUE(partly_started);
  EXPECT_EQ(cluster.start_counts.size(), 6u);
  EXPECT_EQ(cluster.state_of(0, "j-000001"), "done");
}

TEST(Scenario, InvalidRequestsGetTheSpecifiedStatus) {
  TestCluster cluster;
  cluster.run(1);
  EXPECT_EQ(cluster.send_request(0, "POST", "/v1/jobs", "nonsense").status, 400);
  EXPECT_EQ(cluster.send_request(0, "POST", "/v1/jobs", "[1]").status, 400);
  EXPECT_EQ(cluster.send_request(0, "POST", "/v1/jobs", R"({"Id":"j-000009"})").status, 400);
  auto bad = job_spec("j-000009");
  bad.team = "nobody";
  EXPECT_EQ(cluster.send_request(0, "POST", "/v1/jobs", text(bad)).status, 422);
  bad = job_spec("j-000009");
  bad.resources.gpus = 9;
  EXPECT_EQ(cluster.send_request(0, "POST", "/v1/jobs", text(bad)).status, 422);
  bad = job_spec("j-000009", 5, wire::JobKind::service);  // 20 GPUs; the limit is 16
  EXPECT_EQ(cluster.send_request(0, "POST", "/v1/jobs", text(bad)).status, 422);
  EXPECT_EQ(cluster.send_request(0, "GET", "/v1/jobs/j-000009").status, 404);
  EXPECT_EQ(cluster.send_request(0, "POST", "/v1/jobs/j-000009/withdraw").status, 404);
  EXPECT_EQ(cluster.send_request(0, "GET", "/elsewhere").status, 404);
  const auto wrong_method = cluster.send_request(0, "DELETE", "/v1/jobs/j-000009");
  EXPECT_EQ(wrong_method.status, 405);
  EXPECT_EQ(wrong_method.allow, "GET");
  EXPECT_EQ(cluster.send_request(0, "POST", "/checkin", "{}").status, 400);
}

TEST(Scenario, TasksContinueWhenTheLeaderCrashes) {
  TestCluster cluster;
  cluster.run_s = 20;
  cluster.run(1);
  cluster.submit(0, job_spec("j-000001"));
  cluster.run(12);
  ASSERT_EQ(cluster.running_tasks("j-000001"), 2);
  const int old = cluster.leader();
  cluster.crash_node(old);
  cluster.run(6);
  ASSERT_GE(cluster.leader(), 0);
  EXPECT_NE(cluster.leader(), old);
  cluster.run(20);
  EXPECT_EQ(cluster.state_of(cluster.leader(), "j-000001"), "done");
  EXPECT_EQ(cluster.start_counts["j-000001/0"], 1);
  EXPECT_EQ(cluster.duplicate_starts, 0);
}

TEST(Scenario, CrashingAllNodesAtOnceLosesNoJob) {
  TestCluster cluster;
  cluster.run(1);
  cluster.submit(1, job_spec("j-000001"));
  for (int i = 0; i < 3; ++i) cluster.crash_node(i);
  cluster.run(3);
  for (int i = 0; i < 3; ++i) cluster.start_node(i);
  cluster.run(40);
  EXPECT_EQ(cluster.state_of(0, "j-000001"), "done");
  EXPECT_EQ(cluster.duplicate_starts, 0);
}

TEST(Scenario, ACancellationOnAnyNodeStopsTheTasksInTime) {
  TestCluster cluster;
  ASSERT_NO_FATAL_FAILURE(run_service(cluster, 2, 12));
  const int other = (cluster.leader() + 1) % 3;
  EXPECT_EQ(cluster.send_request(other, "POST", "/v1/jobs/j-000001/withdraw").status, 200);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(cluster.state_of(i, "j-000001"), "withdrawn");
  cluster.run(3);
  EXPECT_EQ(cluster.running_tasks("j-000001"), 0);
  EXPECT_EQ(cluster.state_of(other, "j-000001"), "withdrawn");
}

// Without its deadline for responses to heartbeats, a leader cut off from the state service would
// keep renewing its workers' leases, and a task cancelled at another node would outlive cancel_s.
TEST(Scenario, ALeaderCutOffFromTheStateServiceCannotKeepACancelledTaskRunning) {
  TestCluster cluster;
  ASSERT_NO_FATAL_FAILURE(run_service(cluster, 1, 12));
  const int old = cluster.leader();
  cluster.cut_from_state.insert(old);
  for (int i = 0; i < 3; ++i) {
    if (i != old) cluster.cut_from_workers.insert(i);
  }
  cluster.run(1);
  ASSERT_EQ(cluster.send_request((old + 1) % 3, "POST", "/v1/jobs/j-000001/withdraw").status, 200);
  cluster.run(cluster.base_settings.cancel_s);
  EXPECT_EQ(cluster.running_tasks("j-000001"), 0);
}

TEST(Scenario, RequestsDuringAStateOutageAreRefusedAtOnceAndJobsSurviveIt) {
  TestCluster cluster;
  cluster.run_s = 10;
  cluster.run(1);
  cluster.submit(0, job_spec("j-000001"));
  cluster.run(10);
  cluster.state_down = true;
  cluster.run(5);
  const double before = cluster.reactor.now();
  const auto refused = cluster.send_request(1, "POST", "/v1/jobs", text(job_spec("j-000002")));
  EXPECT_EQ(refused.status, 503);
  EXPECT_GT(refused.retry_after_s, 0);
  EXPECT_LT(cluster.reactor.now() - before, 0.5);
  EXPECT_EQ(cluster.send_request(1, "GET", "/v1/jobs/j-000001").status, 503);
  cluster.run(10);
  cluster.state_down = false;
  cluster.run(30);
  EXPECT_EQ(cluster.state_of(0, "j-000001"), "done");
  EXPECT_EQ(cluster.duplicate_starts, 0);
}

TEST(Scenario, AnUnansweredTransactionIsResolvedByReading) {
  TestCluster cluster;
  cluster.run(1);
  // The submission's transaction is applied and its response is lost.
  cluster.lost_write_responses = 1;
  const auto response = cluster.send_request(0, "POST", "/v1/jobs", text(job_spec("j-000001")));
  EXPECT_EQ(response.status, 200);
  // The same for the leader's next writes.
  cluster.lost_write_responses = 3;
  cluster.run(60);
  EXPECT_EQ(cluster.state_of(0, "j-000001"), "done");
  EXPECT_EQ(cluster.duplicate_starts, 0);
}

TEST(Scenario, AnUnansweredScaleOutIsRepeatedUnderTheSameRequestName) {
  TestCluster cluster;
  cluster.lost_scale_out_responses = 1;
  cluster.run(1);
  cluster.submit(0, job_spec("j-000001", 1));
  cluster.run(30);
  EXPECT_EQ(cluster.scale_out_responses.size(), 1u);
  EXPECT_EQ(cluster.state_of(0, "j-000001"), "done");
}

// The cloud creates no machines for a request name that it has already answered with 200, also if
// another leader uses it.
TEST(Scenario, ScaleOutRequestNamesAreUniqueAcrossLeaders) {
  TestCluster cluster;
  ASSERT_NO_FATAL_FAILURE(run_service(cluster, 2, 15));
  cluster.submit(0, job_spec("j-000002", 2, wire::JobKind::service));
  cluster.run(15);
  EXPECT_EQ(cluster.running_tasks("j-000002"), 2);
  const auto before = cluster.scale_out_responses.size();
  EXPECT_GE(before, 1u);
  cluster.crash_node(cluster.leader());
  cluster.run(5);
  auto other = make_job("j-000003", wire::JobKind::service, 2, 8, "blue").spec;
  cluster.submit(cluster.leader(), other);
  cluster.run(60);
  EXPECT_EQ(cluster.running_tasks("j-000003"), 2);
  EXPECT_GT(cluster.scale_out_responses.size(), before);
}

TEST(Scenario, AStartCommandWithALostResponseRunsOnceAndIsKept) {
  TestCluster cluster;
  cluster.add_worker();
  cluster.run(3);
  cluster.workers["n-1"]->lost_command_responses = 1;
  cluster.submit(0, job_spec("j-000001", 1));
  cluster.run(15);
  EXPECT_EQ(cluster.state_of(0, "j-000001"), "done");
  EXPECT_EQ(cluster.start_counts["j-000001/0"], 1);
  EXPECT_EQ(cluster.workers["n-1"]->lost_command_responses, 0);
  // A copy of that command may still arrive: the worker must keep the attempt.
  EXPECT_TRUE(cluster.workers["n-1"]->tasks.contains("j-000001/0"));
}

TEST(Scenario, TasksOfAHungMachineAreRestartedOnlyAfterItsLeaseExpires) {
  TestCluster cluster;
  cluster.run_s = 1000;
  cluster.add_worker();
  cluster.add_worker();
  cluster.run(3);
  cluster.submit(0, job_spec("j-000001", 1, wire::JobKind::service));
  cluster.run(3);
  ASSERT_EQ(cluster.running_tasks("j-000001"), 1);
  std::string first;
  for (auto& [id, worker] : cluster.workers) {
    if (!worker->tasks.empty()) first = id;
  }
  cluster.workers[first]->is_hung = true;
  cluster.run(cluster.base_settings.lease_s - 2);
  EXPECT_EQ(cluster.start_counts["j-000001/0"], 1);
  cluster.run(8);
  EXPECT_EQ(cluster.start_counts["j-000001/0"], 2);
}

TEST(Scenario, AFollowerRedirectsAgentsToTheLeader) {
  TestCluster cluster;
  cluster.run(2);
  const int other = (cluster.leader() + 1) % 3;
  wire::Heartbeat r = heartbeat("n-77", 1, 1);
  const std::string body =
      R"({"Rig":"n-77","Address":"x","Frame":"g8","Yard":"a","Loaners":false,"Shift":1,"Tick":1,"KeyTurn":0})";
  const auto response = cluster.send_request(other, "POST", "/checkin", body);
  EXPECT_EQ(response.status, 421);
  EXPECT_NE(response.body.find("n" + std::to_string(cluster.leader())), std::string::npos);
  cluster.crash_node(cluster.leader());
  cluster.run(0.1);
}

TEST(Scenario, ALeaderThatReceivesAHigherFencingTokenStepsDown) {
  TestCluster cluster(1);
  cluster.run(2);
  ASSERT_EQ(cluster.leader(), 0);
  const std::string body =
      R"({"Rig":"n-77","Address":"x","Frame":"g8","Yard":"a","Loaners":false,"Shift":1,"Tick":1,"KeyTurn":999999})";
  EXPECT_EQ(cluster.send_request(0, "POST", "/checkin", body).status, 421);
}

// A fleet of 1,300 machines loses a third of them and the leader at once. Guards against deletions
// that wait for each other, a new leader that contacts only a few workers at a time, and hung
// machines that exhaust the sockets.
TEST(Scenario, ALargeFleetRecoversFromLosingAThirdOfItsMachinesAndTheLeader) {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 10'000, 20'000}};
  settings.state_rps = 350;
  settings.state_write_rps = 120;
  settings.cloud_rps = 20;
  settings.fd_limit = 400;
  TestCluster cluster(3, {}, settings);
  cluster.run_s = 10'000;
  cluster.run(1);
  constexpr int kMachines = 1300, kJobs = 60, kTasks = 20;
  for (int i = 0; i < kMachines; ++i) cluster.add_worker();
  cluster.run(3);
  const auto id = [](int i) { return "j-" + std::to_string(100'000 + i); };
  for (int i = 0; i < kJobs; ++i)
    cluster.submit(i % 3, job_spec(id(i), kTasks, wire::JobKind::service));
  cluster.run(20);
  const auto running = [&] {
    int count = 0;
    for (const auto& [name, worker] : cluster.workers) {
      if (!worker->is_hung) count += static_cast<int>(worker->tasks.size());
    }
    return count;
  };
  ASSERT_EQ(running(), kJobs * kTasks);
  std::vector<std::string> lost;
  for (auto& [name, worker] : cluster.workers) {
    if (!worker->tasks.empty() && lost.size() < kMachines / 3) lost.push_back(name);
  }
  for (const auto& name : lost) cluster.workers[name]->is_hung = true;
  const int old = cluster.leader();
  cluster.max_calls_in_flight = 0;
  cluster.crash_node(old);
  cluster.run(2 * settings.lease_s);
  ASSERT_GE(cluster.leader(), 0);
  EXPECT_EQ(cluster.duplicate_starts, 0);
  EXPECT_LE(cluster.max_calls_in_flight, settings.fd_limit / 8);
  cluster.run(180);
  // Four requests of a hundred machines each within one heartbeat interval.
  bool consecutive_requests = false;
  for (std::size_t i = 3; i < cluster.deletion_requests_at.size(); ++i) {
    consecutive_requests = consecutive_requests ||
                           cluster.deletion_requests_at[i] - cluster.deletion_requests_at[i - 3] <
                               settings.heartbeat_interval_s;
  }
  EXPECT_TRUE(consecutive_requests);
  EXPECT_EQ(running(), kJobs * kTasks);
  EXPECT_EQ(cluster.duplicate_starts, 0);
  for (const auto& name : lost) {
    EXPECT_NE(std::find(cluster.deleted_machines.begin(), cluster.deleted_machines.end(), name),
              cluster.deleted_machines.end())
        << name;
  }
}

// The cloud rejects deletion requests that contain one particular machine. The other machines must
// be deleted nevertheless.
TEST(Scenario, AMachineThatTheCloudRefusesToDeleteDelaysNoOtherDeletion) {
  auto settings = small_settings();
  settings.cloud_rps = 20;
  TestCluster cluster(3, {}, settings);
  cluster.run(1);
  constexpr int kMachines = 70, kHealthyMachines = 20;  // fewer are due than fit into one request
  for (int i = 0; i < kMachines; ++i) cluster.add_worker();
  cluster.run(3);
  cluster.undeletable_machines = {cluster.workers.begin()->first};
  int hung = 0;
  for (auto& [name, worker] : cluster.workers)
    worker->is_hung = hung++ < kMachines - kHealthyMachines;
  cluster.cloud_down = true;  // until all deletions are due
  cluster.run(4 * settings.lease_s);
  cluster.cloud_down = false;
  cluster.run(2 * settings.lease_s);
  EXPECT_GE(cluster.deleted_machines.size(),
            static_cast<std::size_t>(kMachines - kHealthyMachines - 1));
}

// The machine list of a large fleet has many pages. Reading it must leave half of the allowed cloud
// calls to deletions and machine types.
TEST(Scenario, ListingALargeFleetLeavesHalfOfTheCloudCallsToOtherRequests) {
  constexpr int kMachines = 4200;
  constexpr double kSpanS = 30;
  auto settings = small_settings();
  settings.operator_settings.scaler.min_machines = kMachines;
  TestCluster cluster(1, {}, settings);
  cluster.run(2);
  for (int i = 0; i < kMachines; ++i) cluster.add_worker();
  cluster.run(10);
  cluster.list_requests = 0;
  cluster.run(kSpanS);
  const double calls = kSpanS * settings.cloud_rps / 2;
  EXPECT_LE(cluster.list_requests, 0.5 * calls + 1);
  // The whole list is read nevertheless.
  EXPECT_GE(cluster.list_requests, kMachines / cloud::kMaxMachinesPerPage);
}

// 4,200 workers, half of them in a zone without a controller, and five nodes with connections for
// three quarters of them. All connect to a new leader at once: none is refused, no connection is
// closed, no lease expires, and the leader redirects most of them to other nodes.
TEST(Scenario, FourThousandWorkersConnectToANewLeaderWithFewerSocketsThanWorkers) {
  constexpr int kWorkers = 4200, kNodes = 5;
  auto settings = small_settings();
  settings.heartbeat_interval_s = 4;
  settings.lease_s = 22;
  settings.cancel_s = 52;
  settings.fd_limit = 1100;
  settings.cloud_rps = 12;
  settings.operator_settings.scaler.min_machines = kWorkers;
  const auto limit = base::max_public_connections(settings);
  TestCluster cluster(kNodes, std::vector<std::string>(kNodes, "a"), settings);
  cluster.heartbeat_spread = 0.25;
  cluster.run(1);
  for (int i = 0; i < kWorkers; ++i) {
    cluster.add_worker(i % 2 == 0 ? "a" : "b");
    cluster.workers.at("n-" + std::to_string(i + 1))->next_node = i % kNodes;
  }
  cluster.run(20);
  cluster.crash_node(cluster.leader());
  for (int node = 0; node < kNodes; ++node) cluster.cut_from_workers.insert(node);
  while (cluster.leader() < 0) cluster.run(0.1);
  cluster.cut_from_workers.clear();
  cluster.refused_connections = cluster.broken_connections = 0;
  const auto at_leader = [&cluster] {
    return std::count_if(cluster.workers.begin(), cluster.workers.end(), [&](const auto& entry) {
      return entry.second->next_node == cluster.leader();
    });
  };
  cluster.run(5);
  const auto connected_to_leader = at_leader();
  for (int i = 0; i < 40; ++i) {
    cluster.run(1);
    for (int node = 0; node < kNodes; ++node) EXPECT_LE(cluster.connections(node), limit) << node;
  }
  EXPECT_EQ(cluster.refused_connections, 0);
  EXPECT_EQ(cluster.broken_connections, 0);
  EXPECT_LT(at_leader(), connected_to_leader / 2);
  for (const auto& [id, worker] : cluster.workers) EXPECT_EQ(worker->agent_epoch, 1U) << id;
}

// In an isolated zone with a controller, tasks run for longer than their workers' lease. They are
// not started elsewhere meanwhile and continue when the partition heals.
TEST(Scenario, ReplicasInAnIsolatedZoneKeepRunningAndRunOnce) {
  TestCluster cluster(3, {"a", "a", "b"});
  cluster.run_s = 1000;
  cluster.run(1);
  ASSERT_NE(cluster.leader(), 2);
  auto service = job_spec("j-000001", 2, wire::JobKind::service);
  service.zone = "b";
  cluster.submit(0, service);
  cluster.run(20);
  ASSERT_EQ(cluster.running_tasks("j-000001"), 2);
  cluster.isolated_zones = {"b"};
  cluster.run(25);  // lease_s is 10
  EXPECT_EQ(cluster.running_tasks("j-000001"), 2);
  EXPECT_EQ(cluster.start_counts["j-000001/0"], 1);
  cluster.isolated_zones.clear();
  cluster.run(15);
  EXPECT_EQ(cluster.running_tasks("j-000001"), 2);
  EXPECT_EQ(cluster.start_counts["j-000001/0"] + cluster.start_counts["j-000001/1"], 2);
  EXPECT_EQ(cluster.duplicate_starts, 0);
}

// Guards against workers that are redirected back and forth between a leader that they can't reach
// and nodes that can reach it: while the heartbeats of other workers are forwarded to it, the
// leader does not notice that those of these workers are lost.
TEST(Scenario, WorkersThatCannotReachTheLeaderUseAForwarder) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 1000;
  cluster.run(1);
  for (const char* zone : {"a", "b"}) {
    cluster.add_worker(zone);
    auto service = job_spec(zone[0] == 'a' ? "j-000001" : "j-000002", 2, wire::JobKind::service);
    service.zone = zone;
    cluster.submit(0, service);
  }
  cluster.run(10);
  ASSERT_EQ(cluster.running_tasks("j-000001") + cluster.running_tasks("j-000002"), 4);
  cluster.cut_from_workers = {cluster.leader()};
  cluster.run(3 * cluster.base_settings.lease_s);
  EXPECT_EQ(cluster.running_tasks("j-000001"), 2);
  EXPECT_EQ(cluster.running_tasks("j-000002"), 2);
  EXPECT_EQ(cluster.start_counts["j-000002/0"] + cluster.start_counts["j-000002/1"], 2);
  EXPECT_EQ(cluster.duplicate_starts, 0);
}

// Heartbeats that arrive at the leader directly cost a small node most of its CPU share. A second
// node of its zone takes over workers until the leader's share is small enough.
TEST(Scenario, AFollowerInItsZoneForwardsHeartbeatsToAnOverloadedLeader) {
  auto settings = small_settings();
  constexpr int kWorkers = 30;
  const double max_per_second = 0.1 * settings.core_share / (2 * base::kCpuSecondsPerPacket);
  // The heartbeats of a third of the workers stay below the limit.
  settings.core_share *= kWorkers / 3.0 / max_per_second;
  TestCluster cluster(3, {"a", "a", "a"}, settings);
  cluster.run(1);
  for (int i = 0; i < kWorkers; ++i) cluster.add_worker("a");
  const auto at_leader = [&] {
    return std::count_if(cluster.workers.begin(), cluster.workers.end(), [&](const auto& entry) {
      return entry.second->next_node == cluster.leader();
    });
  };
  cluster.run(3);
  EXPECT_GT(at_leader(), kWorkers / 2);
  cluster.run(20);
  EXPECT_LE(at_leader(), kWorkers / 3);
  EXPECT_GE(at_leader(), 1);
  for (const auto& [id, worker] : cluster.workers) EXPECT_EQ(worker->agent_epoch, 1U) << id;
}

// A body of 60 KB may take half a megabyte when parsed. If it were kept while the submission waits
// for the state service, a few dozen submissions would exceed the memory of a process of 27 MB.
// (Sanitizers replace the allocator that is queried here; nothing is measured with them.)
TEST(Scenario, PendingSubmissionsKeepNoParsedBody) {
  constexpr int kSubmissions = 20;
  constexpr std::size_t kNumbers = 30'000;
  TestCluster cluster(1);
  cluster.run(2);
  const auto before = ::mallinfo2().uordblks;
  net::Scope scope;
  std::size_t sent = 0;
  cluster.max_state_delay_s = 1000;
  for (int i = 0; i < kSubmissions; ++i) {
    std::string body = text(job_spec("j-00001" + std::to_string(i)));
    body.pop_back();
    body += ",\"unknown\":[0";
    for (std::size_t n = 1; n < kNumbers; ++n) body += ",0";
    body += "]}";
    sent += body.size();
    const auto submit = [](TestCluster& target, std::string text) -> net::Task<void> {
      auto asking = target.send_user_request(0, "POST", "/v1/jobs", std::move(text));
      co_await asking;
    };
    scope.spawn(submit(cluster, std::move(body)));
  }
  cluster.run(0.5);
  constexpr std::size_t kCopies = 3;  // two belong to the stand-ins; a parsed body takes eight more
  EXPECT_LT(::mallinfo2().uordblks, before + kCopies * sent);
}

// If a zone stays isolated, its tasks end before they are started elsewhere, and no task of a job
// cancelled meanwhile runs after cancel_s.
TEST(Scenario, TasksInAZoneIsolatedForLongEndInTime) {
  TestCluster cluster(3, {"a", "a", "b"});
  cluster.run_s = 1000;
  cluster.run(1);
  ASSERT_NE(cluster.leader(), 2);
  auto spread_service = job_spec("j-000001", 2, wire::JobKind::service);
  spread_service.spread = true;
  cluster.submit(0, spread_service);
  auto zone_b_service = job_spec("j-000002", 1, wire::JobKind::service);
  zone_b_service.zone = "b";
  cluster.submit(0, zone_b_service);
  cluster.run(20);
  ASSERT_EQ(cluster.running_tasks("j-000001"), 2);
  ASSERT_EQ(cluster.running_tasks("j-000002"), 1);
  cluster.isolated_zones = {"b"};
  EXPECT_EQ(cluster.send_request(0, "POST", "/v1/jobs/j-000002/withdraw").status, 200);
  cluster.run(cluster.base_settings.cancel_s);
  EXPECT_EQ(cluster.running_tasks("j-000002"), 0);
  cluster.run(20);
  EXPECT_EQ(cluster.running_tasks("j-000001"), 1);  // the other one may only run in zone b
  cluster.isolated_zones.clear();
  cluster.run(30);
  EXPECT_EQ(cluster.running_tasks("j-000001"), 2);
  EXPECT_EQ(cluster.duplicate_starts, 0);
}

}  // namespace
}  // namespace cranklock::testing
