// Scenarios of whole controllers in a small cluster, each with a rule it guards.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>

#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

wire::JobSpec spec(const std::string& id, std::uint32_t tasks = 2,
                   wire::JobKind kind = wire::JobKind::job_array) {
  return make_job(id, kind, tasks, 4).spec;
}

std::string text(const wire::JobSpec& spec) {
  wire::JsonWriter writer;
  wire::write_job(writer, spec);
  return writer.take();
}

/// Lets tasks of the cluster run for long, and a service of it run before the test goes on.
void run_service(TestCluster& cluster, std::uint32_t replicas, double seconds) {
  cluster.run_s = 1000;
  cluster.run(1);
  cluster.submit(0, spec("j-000001", replicas, wire::JobKind::service));
  cluster.run(seconds);
  ASSERT_EQ(cluster.running("j-000001"), static_cast<int>(replicas));
}

TEST(Scenario, AJobIsTakenOnAnyNodeRunsAndStaysDone) {
  TestCluster cluster;
  cluster.run(1);
  const int other = (cluster.leader() + 1) % 3;
  cluster.submit(other, spec("j-000001"));
  cluster.run(30);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(cluster.state_of(i, "j-000001"), "done");
  EXPECT_EQ(cluster.starts["j-000001/0"], 1);
  // A late repeat, even one that has changed or is wrong by now, gets the state it is in.
  auto again = spec("j-000001", 5);
  EXPECT_EQ(cluster.ask(other, "POST", "/v1/jobs", text(again)).status, 200);
  again.team = "nobody";
  EXPECT_EQ(cluster.ask(other, "POST", "/v1/jobs", text(again)).status, 200);
  EXPECT_EQ(cluster.ask(other, "POST", "/v1/jobs", R"({"Id":"j-000001"})").status, 200);
}

TEST(Scenario, AJobIsCalledDoneOnlyWhenAllItsTasksAre) {
  TestCluster cluster;
  cluster.run(1);
  cluster.submit(0, spec("j-000001", 6));  // 24 of the team's 16: in two waves
  bool some = false;
  for (int i = 0; i < 120 && cluster.state_of(0, "j-000001") != "done"; ++i) {
    cluster.run(0.5);
    some = some || (!cluster.starts.empty() && cluster.starts.size() < 6);
  }
  EXPECT_TRUE(some);
  EXPECT_EQ(cluster.starts.size(), 6u);
  EXPECT_EQ(cluster.state_of(0, "j-000001"), "done");
}

TEST(Scenario, BadRequestsGetTheirStatus) {
  TestCluster cluster;
  cluster.run(1);
  EXPECT_EQ(cluster.ask(0, "POST", "/v1/jobs", "nonsense").status, 400);
  EXPECT_EQ(cluster.ask(0, "POST", "/v1/jobs", "[1]").status, 400);
  EXPECT_EQ(cluster.ask(0, "POST", "/v1/jobs", R"({"Id":"j-000009"})").status, 400);
  auto bad = spec("j-000009");
  bad.team = "nobody";
  EXPECT_EQ(cluster.ask(0, "POST", "/v1/jobs", text(bad)).status, 422);
  bad = spec("j-000009");
  bad.resources.gpus = 9;
  EXPECT_EQ(cluster.ask(0, "POST", "/v1/jobs", text(bad)).status, 422);
  bad = spec("j-000009", 5, wire::JobKind::service);  // 20 of 16
  EXPECT_EQ(cluster.ask(0, "POST", "/v1/jobs", text(bad)).status, 422);
  EXPECT_EQ(cluster.ask(0, "GET", "/v1/jobs/j-000009").status, 404);
  EXPECT_EQ(cluster.ask(0, "POST", "/v1/jobs/j-000009/withdraw").status, 404);
  EXPECT_EQ(cluster.ask(0, "GET", "/elsewhere").status, 404);
  const auto wrong = cluster.ask(0, "DELETE", "/v1/jobs/j-000009");
  EXPECT_EQ(wrong.status, 405);
  EXPECT_EQ(wrong.allow, "GET");
  EXPECT_EQ(cluster.ask(0, "POST", "/checkin", "{}").status, 400);
}

TEST(Scenario, ACrashedLeadersTasksGoOnUnderTheNext) {
  TestCluster cluster;
  cluster.run_s = 20;
  cluster.run(1);
  cluster.submit(0, spec("j-000001"));
  cluster.run(12);
  ASSERT_EQ(cluster.running("j-000001"), 2);
  const int old = cluster.leader();
  cluster.crash_node(old);
  cluster.run(6);
  ASSERT_GE(cluster.leader(), 0);
  EXPECT_NE(cluster.leader(), old);
  cluster.run(20);
  EXPECT_EQ(cluster.state_of(cluster.leader(), "j-000001"), "done");
  EXPECT_EQ(cluster.starts["j-000001/0"], 1);
  EXPECT_EQ(cluster.ran_twice, 0);
}

TEST(Scenario, EveryNodeKilledAtOnceLosesNoJob) {
  TestCluster cluster;
  cluster.run(1);
  cluster.submit(1, spec("j-000001"));
  for (int i = 0; i < 3; ++i) cluster.crash_node(i);
  cluster.run(3);
  for (int i = 0; i < 3; ++i) cluster.start_node(i);
  cluster.run(40);
  EXPECT_EQ(cluster.state_of(0, "j-000001"), "done");
  EXPECT_EQ(cluster.ran_twice, 0);
}

TEST(Scenario, ACancellationOnAnyNodeStopsTheTasksInTime) {
  TestCluster cluster;
  ASSERT_NO_FATAL_FAILURE(run_service(cluster, 2, 12));
  const int other = (cluster.leader() + 1) % 3;
  EXPECT_EQ(cluster.ask(other, "POST", "/v1/jobs/j-000001/withdraw").status, 200);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(cluster.state_of(i, "j-000001"), "withdrawn");
  cluster.run(3);
  EXPECT_EQ(cluster.running("j-000001"), 0);
  EXPECT_EQ(cluster.state_of(other, "j-000001"), "withdrawn");
}

// Without the bound on answering, a leader cut off from the state service would prolong its
// workers' leases for ever, and a task cancelled elsewhere would outlive cancel_s.
TEST(Scenario, ACutOffLeaderCannotKeepACancelledTaskAlive) {
  TestCluster cluster;
  ASSERT_NO_FATAL_FAILURE(run_service(cluster, 1, 12));
  const int old = cluster.leader();
  cluster.cut_from_state.insert(old);
  for (int i = 0; i < 3; ++i) {
    if (i != old) cluster.cut_from_workers.insert(i);
  }
  cluster.run(1);
  ASSERT_EQ(cluster.ask((old + 1) % 3, "POST", "/v1/jobs/j-000001/withdraw").status, 200);
  cluster.run(cluster.base_settings.cancel_s);
  EXPECT_EQ(cluster.running("j-000001"), 0);
}

TEST(Scenario, AStateOutageIsAnsweredAtOnceAndSurvived) {
  TestCluster cluster;
  cluster.run_s = 10;
  cluster.run(1);
  cluster.submit(0, spec("j-000001"));
  cluster.run(10);
  cluster.state_down = true;
  cluster.run(5);
  const double before = cluster.reactor.now();
  const auto refused = cluster.ask(1, "POST", "/v1/jobs", text(spec("j-000002")));
  EXPECT_EQ(refused.status, 503);
  EXPECT_GT(refused.retry_after_s, 0);
  EXPECT_LT(cluster.reactor.now() - before, 0.5);
  EXPECT_EQ(cluster.ask(1, "GET", "/v1/jobs/j-000001").status, 503);
  cluster.run(10);
  cluster.state_down = false;
  cluster.run(30);
  EXPECT_EQ(cluster.state_of(0, "j-000001"), "done");
  EXPECT_EQ(cluster.ran_twice, 0);
}

TEST(Scenario, AnUnansweredTransactionIsSettledByReading) {
  TestCluster cluster;
  cluster.run(1);
  // The acceptance was applied though its answer got lost.
  cluster.lost_write_responses = 1;
  const auto response = cluster.ask(0, "POST", "/v1/jobs", text(spec("j-000001")));
  EXPECT_EQ(response.status, 200);
  // So are the leader's next writes.
  cluster.lost_write_responses = 3;
  cluster.run(60);
  EXPECT_EQ(cluster.state_of(0, "j-000001"), "done");
  EXPECT_EQ(cluster.ran_twice, 0);
}

TEST(Scenario, AnUnansweredScaleOutIsRequestedAgainUnderItsName) {
  TestCluster cluster;
  cluster.lost_scale_out_responses = 1;
  cluster.run(1);
  cluster.submit(0, spec("j-000001", 1));
  cluster.run(30);
  EXPECT_EQ(cluster.scale_out_responses.size(), 1u);
  EXPECT_EQ(cluster.state_of(0, "j-000001"), "done");
}

// A name that was answered 200 rents nothing when it is used again, by whichever leader.
TEST(Scenario, EveryScaleOutRequestHasANameOfItsOwnAcrossLeaders) {
  TestCluster cluster;
  ASSERT_NO_FATAL_FAILURE(run_service(cluster, 2, 15));
  cluster.submit(0, spec("j-000002", 2, wire::JobKind::service));
  cluster.run(15);
  EXPECT_EQ(cluster.running("j-000002"), 2);
  const auto before = cluster.scale_out_responses.size();
  EXPECT_GE(before, 1u);
  cluster.crash_node(cluster.leader());
  cluster.run(5);
  auto other = make_job("j-000003", wire::JobKind::service, 2, 8, "blue").spec;
  cluster.submit(cluster.leader(), other);
  cluster.run(60);
  EXPECT_EQ(cluster.running("j-000003"), 2);
  EXPECT_GT(cluster.scale_out_responses.size(), before);
}

TEST(Scenario, AStartWhoseAnswerIsLostRunsOnceAndIsNotForgotten) {
  TestCluster cluster;
  cluster.add_worker();
  cluster.run(3);
  cluster.workers["n-1"]->lost_command_responses = 1;
  cluster.submit(0, spec("j-000001", 1));
  cluster.run(15);
  EXPECT_EQ(cluster.state_of(0, "j-000001"), "done");
  EXPECT_EQ(cluster.starts["j-000001/0"], 1);
  EXPECT_EQ(cluster.workers["n-1"]->lost_command_responses, 0);
  // A copy of that command may still come: the worker must go on knowing the attempt.
  EXPECT_TRUE(cluster.workers["n-1"]->tasks.contains("j-000001/0"));
}

TEST(Scenario, WorkOfAHungMachineMovesOnlyWhenItsLeaseIsOver) {
  TestCluster cluster;
  cluster.run_s = 1000;
  cluster.add_worker();
  cluster.add_worker();
  cluster.run(3);
  cluster.submit(0, spec("j-000001", 1, wire::JobKind::service));
  cluster.run(3);
  ASSERT_EQ(cluster.running("j-000001"), 1);
  std::string first;
  for (auto& [id, worker] : cluster.workers) {
    if (!worker->tasks.empty()) first = id;
  }
  cluster.workers[first]->is_hung = true;
  cluster.run(cluster.base_settings.lease_s - 2);
  EXPECT_EQ(cluster.starts["j-000001/0"], 1);
  cluster.run(8);
  EXPECT_EQ(cluster.starts["j-000001/0"], 2);
}

TEST(Scenario, AnotherNodeNamesTheLeaderAndNeverItself) {
  TestCluster cluster;
  cluster.run(2);
  const int other = (cluster.leader() + 1) % 3;
  wire::Heartbeat r = heartbeat("n-77", 1, 1);
  const std::string body =
      R"({"Rig":"n-77","Address":"x","Frame":"g8","Yard":"a","Loaners":false,"Shift":1,"Tick":1,"KeyTurn":0})";
  const auto answer = cluster.ask(other, "POST", "/checkin", body);
  EXPECT_EQ(answer.status, 421);
  EXPECT_NE(answer.body.find("n" + std::to_string(cluster.leader())), std::string::npos);
  cluster.crash_node(cluster.leader());
  cluster.run(0.1);
}

TEST(Scenario, ALeaderThatMeetsAHigherFencingTokenStepsDown) {
  TestCluster cluster(1);
  cluster.run(2);
  ASSERT_EQ(cluster.leader(), 0);
  const std::string body =
      R"({"Rig":"n-77","Address":"x","Frame":"g8","Yard":"a","Loaners":false,"Shift":1,"Tick":1,"KeyTurn":999999})";
  EXPECT_EQ(cluster.ask(0, "POST", "/checkin", body).status, 421);
}

// A fleet many times as large, with a third of it and the leader lost at once. Guards against
// deletions that wait for each other, a new leader that makes itself known to a few workers at a
// time, and hung machines that use up the sockets.
TEST(Scenario, ALargeFleetOutlivesTheLossOfAThirdOfItTogetherWithTheLeader) {
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
    cluster.submit(i % 3, spec(id(i), kTasks, wire::JobKind::service));
  cluster.run(20);
  const auto running = [&] {
    int n = 0;
    for (const auto& [name, worker] : cluster.workers) {
      if (!worker->is_hung) n += static_cast<int>(worker->tasks.size());
    }
    return n;
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
  EXPECT_EQ(cluster.ran_twice, 0);
  EXPECT_LE(cluster.max_calls_in_flight, settings.fd_limit / 8);
  cluster.run(180);
  bool in_a_row = false;  // four requests, of a hundred machines each
  for (std::size_t i = 3; i < cluster.deletion_requests_at.size(); ++i) {
    in_a_row = in_a_row || cluster.deletion_requests_at[i] - cluster.deletion_requests_at[i - 3] <
                               settings.heartbeat_interval_s;
  }
  EXPECT_TRUE(in_a_row);
  EXPECT_EQ(running(), kJobs * kTasks);
  EXPECT_EQ(cluster.ran_twice, 0);
  for (const auto& name : lost) {
    EXPECT_NE(std::find(cluster.deleted.begin(), cluster.deleted.end(), name),
              cluster.deleted.end())
        << name;
  }
}

// One name that the cloud does not take must not keep other machines from being returned.
TEST(Scenario, AMachineThatTheCloudRefusesToDeleteHoldsUpNoOther) {
  auto settings = small_settings();
  settings.cloud_rps = 20;
  TestCluster cluster(3, {}, settings);
  cluster.run(1);
  constexpr int kMachines = 70, kStay = 20;  // fewer are due than one request may name
  for (int i = 0; i < kMachines; ++i) cluster.add_worker();
  cluster.run(3);
  cluster.undeletable = {cluster.workers.begin()->first};
  int hung = 0;
  for (auto& [name, worker] : cluster.workers) worker->is_hung = hung++ < kMachines - kStay;
  cluster.cloud_down = true;  // until all are due
  cluster.run(4 * settings.lease_s);
  cluster.cloud_down = false;
  cluster.run(2 * settings.lease_s);
  EXPECT_GE(cluster.deleted.size(), static_cast<std::size_t>(kMachines - kStay - 1));
}

// The list of a large fleet has many pages: it leaves half of the calls for deletions and types.
TEST(Scenario, ReadingTheListOfALargeFleetLeavesCallsToTheCloudForOthers) {
  constexpr int kMachines = 4200;
  constexpr double kSpan = 30;
  auto settings = small_settings();
  settings.operator_settings.scaler.min_machines = kMachines;
  TestCluster cluster(1, {}, settings);
  cluster.run(2);
  for (int i = 0; i < kMachines; ++i) cluster.add_worker();
  cluster.run(10);
  cluster.list_requests = 0;
  cluster.run(kSpan);
  const double calls = kSpan * settings.cloud_rps / 2;
  EXPECT_LE(cluster.list_requests, 0.5 * calls + 1);
  EXPECT_GE(cluster.list_requests,
            kMachines / cloud::kMaxMachinesPerPage);  // it is read all the same
}

// 4,200 workers, half of them in a zone without a controller, and five nodes that have connections
// for three quarters of them. All come to a new leader at once: nobody is refused, no connection
// breaks, no lease ends, and the leader hands most of them on.
TEST(Scenario, FourThousandWorkersComeToANewLeaderWithFewerSocketsThanWorkers) {
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
    cluster.workers.at("n-" + std::to_string(i + 1))->target = i % kNodes;
  }
  cluster.run(20);
  cluster.crash_node(cluster.leader());
  for (int node = 0; node < kNodes; ++node) cluster.cut_from_workers.insert(node);
  while (cluster.leader() < 0) cluster.run(0.1);
  cluster.cut_from_workers.clear();
  cluster.refused_connections = cluster.broken_connections = 0;
  const auto at_leader = [&cluster] {
    return std::count_if(cluster.workers.begin(), cluster.workers.end(), [&](const auto& entry) {
      return entry.second->target == cluster.leader();
    });
  };
  cluster.run(5);
  const auto came = at_leader();
  for (int i = 0; i < 40; ++i) {
    cluster.run(1);
    for (int node = 0; node < kNodes; ++node) EXPECT_LE(cluster.connections(node), limit) << node;
  }
  EXPECT_EQ(cluster.refused_connections, 0);
  EXPECT_EQ(cluster.broken_connections, 0);
  EXPECT_LT(at_leader(), came / 2);
  for (const auto& [id, worker] : cluster.workers) EXPECT_EQ(worker->agent_epoch, 1U) << id;
}

// A zone that is cut off works on inside: what runs there outlives its workers' lease, is started
// nowhere else meanwhile, and goes on when the cut ends.
TEST(Scenario, ReplicasInAZoneThatIsCutOffRunOnAndRunOnce) {
  TestCluster cluster(3, {"a", "a", "b"});
  cluster.run_s = 1000;
  cluster.run(1);
  ASSERT_NE(cluster.leader(), 2);
  auto s = spec("j-000001", 2, wire::JobKind::service);
  s.zone = "b";
  cluster.submit(0, s);
  cluster.run(20);
  ASSERT_EQ(cluster.running("j-000001"), 2);
  cluster.cut_zones = {"b"};
  cluster.run(25);  // the lease is 10
  EXPECT_EQ(cluster.running("j-000001"), 2);
  EXPECT_EQ(cluster.starts["j-000001/0"], 1);
  cluster.cut_zones.clear();
  cluster.run(15);
  EXPECT_EQ(cluster.running("j-000001"), 2);
  EXPECT_EQ(cluster.starts["j-000001/0"] + cluster.starts["j-000001/1"], 2);
  EXPECT_EQ(cluster.ran_twice, 0);
}

// Guards against workers sent to and fro between a leader that they can't reach and nodes that can:
// as long as other workers' heartbeats are carried to it, it does not know that these are lost.
TEST(Scenario, WorkersThatCannotReachTheLeaderUseAForwarder) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 1000;
  cluster.run(1);
  for (const char* zone : {"a", "b"}) {
    cluster.add_worker(zone);
    auto s = spec(zone[0] == 'a' ? "j-000001" : "j-000002", 2, wire::JobKind::service);
    s.zone = zone;
    cluster.submit(0, s);
  }
  cluster.run(10);
  ASSERT_EQ(cluster.running("j-000001") + cluster.running("j-000002"), 4);
  cluster.cut_from_workers = {cluster.leader()};
  cluster.run(3 * cluster.base_settings.lease_s);
  EXPECT_EQ(cluster.running("j-000001"), 2);
  EXPECT_EQ(cluster.running("j-000002"), 2);
  EXPECT_EQ(cluster.starts["j-000002/0"] + cluster.starts["j-000002/1"], 2);
  EXPECT_EQ(cluster.ran_twice, 0);
}

// A small node that leads is charged most for the heartbeats that come straight to it. Those of its
// own zone are carried by a second node there, until few enough are left.
TEST(Scenario, AZonesSecondNodeRelievesALeaderThatIsOverloadedByHeartbeats) {
  auto settings = small_settings();
  constexpr int kWorkers = 30;
  const double max_per_second = 0.1 * settings.core_share / (2 * base::kCpuSecondsPerPacket);
  settings.core_share *= kWorkers / 3.0 / max_per_second;  // a third of them would not crowd it
  TestCluster cluster(3, {"a", "a", "a"}, settings);
  cluster.run(1);
  for (int i = 0; i < kWorkers; ++i) cluster.add_worker("a");
  const auto at_leader = [&] {
    return std::count_if(cluster.workers.begin(), cluster.workers.end(), [&](const auto& entry) {
      return entry.second->target == cluster.leader();
    });
  };
  cluster.run(3);
  EXPECT_GT(at_leader(), kWorkers / 2);
  cluster.run(20);
  EXPECT_LE(at_leader(), kWorkers / 3);
  EXPECT_GE(at_leader(), 1);
  for (const auto& [id, worker] : cluster.workers) EXPECT_EQ(worker->agent_epoch, 1U) << id;
}

// A parsed body of 60 KB may take half a megabyte: were it kept while the state service is waited
// for, a few dozen such submissions would end a process of 27 MB. (Sanitizers replace the allocator
// that is asked here, and then nothing is measured.)
TEST(Scenario, SubmissionsThatWaitHoldNoParsedBody) {
  constexpr int kSubmissions = 20;
  constexpr std::size_t kNumbers = 30'000;
  TestCluster cluster(1);
  cluster.run(2);
  const auto before = ::mallinfo2().uordblks;
  net::Scope scope;
  std::size_t sent = 0;
  cluster.state_slow_s = 1000;
  for (int i = 0; i < kSubmissions; ++i) {
    std::string body = text(spec("j-00001" + std::to_string(i)));
    body.pop_back();
    body += ",\"unknown\":[0";
    for (std::size_t n = 1; n < kNumbers; ++n) body += ",0";
    body += "]}";
    sent += body.size();
    const auto asks = [](TestCluster& target, std::string text) -> net::Task<void> {
      auto asking = target.user_asks(0, "POST", "/v1/jobs", std::move(text));
      co_await asking;
    };
    scope.spawn(asks(cluster, std::move(body)));
  }
  cluster.run(0.5);
  constexpr std::size_t kCopies = 3;  // two are the test doubles' own; a parsed body is eight more
  EXPECT_LT(::mallinfo2().uordblks, before + kCopies * sent);
}

// When the cut lasts, they are gone before they start elsewhere, and nothing that was cancelled
// meanwhile is left after cancel_s.
TEST(Scenario, ACutThatLastsEndsTheTasksInTime) {
  TestCluster cluster(3, {"a", "a", "b"});
  cluster.run_s = 1000;
  cluster.run(1);
  ASSERT_NE(cluster.leader(), 2);
  auto stays = spec("j-000001", 2, wire::JobKind::service);
  stays.spread = true;
  cluster.submit(0, stays);
  auto goes = spec("j-000002", 1, wire::JobKind::service);
  goes.zone = "b";
  cluster.submit(0, goes);
  cluster.run(20);
  ASSERT_EQ(cluster.running("j-000001"), 2);
  ASSERT_EQ(cluster.running("j-000002"), 1);
  cluster.cut_zones = {"b"};
  EXPECT_EQ(cluster.ask(0, "POST", "/v1/jobs/j-000002/withdraw").status, 200);
  cluster.run(cluster.base_settings.cancel_s);
  EXPECT_EQ(cluster.running("j-000002"), 0);
  cluster.run(20);
  EXPECT_EQ(cluster.running("j-000001"), 1);  // the other may only be in b
  cluster.cut_zones.clear();
  cluster.run(30);
  EXPECT_EQ(cluster.running("j-000001"), 2);
  EXPECT_EQ(cluster.ran_twice, 0);
}

}  // namespace
}  // namespace cranklock::testing
