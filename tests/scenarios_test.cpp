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

std::string text(const wire::JobSpec& s) {
  wire::JsonWriter w;
  wire::write_job(w, s);
  return w.take();
}

TEST(Scenario, AJobIsTakenOnAnyNodeRunsAndStaysDone) {
  TestCluster w;
  w.run(1);
  const int other = (w.leader() + 1) % 3;
  w.submit(other, spec("j-000001"));
  w.run(30);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(w.state_of(i, "j-000001"), "done");
  EXPECT_EQ(w.starts["j-000001/0"], 1);
  // A late repeat, even one that has changed or is wrong by now, gets the state it is in.
  auto again = spec("j-000001", 5);
  EXPECT_EQ(w.ask(other, "POST", "/v1/jobs", text(again)).status, 200);
  again.team = "nobody";
  EXPECT_EQ(w.ask(other, "POST", "/v1/jobs", text(again)).status, 200);
  EXPECT_EQ(w.ask(other, "POST", "/v1/jobs", R"({"Id":"j-000001"})").status, 200);
}

TEST(Scenario, AJobIsCalledDoneOnlyWhenAllItsTasksAre) {
  TestCluster w;
  w.run(1);
  w.submit(0, spec("j-000001", 6));  // 24 of the team's 16: in two waves
  bool some = false;
  for (int i = 0; i < 120 && w.state_of(0, "j-000001") != "done"; ++i) {
    w.run(0.5);
    some = some || (!w.starts.empty() && w.starts.size() < 6);
  }
  EXPECT_TRUE(some);
  EXPECT_EQ(w.starts.size(), 6u);
  EXPECT_EQ(w.state_of(0, "j-000001"), "done");
}

TEST(Scenario, BadRequestsGetTheirStatus) {
  TestCluster w;
  w.run(1);
  EXPECT_EQ(w.ask(0, "POST", "/v1/jobs", "nonsense").status, 400);
  EXPECT_EQ(w.ask(0, "POST", "/v1/jobs", "[1]").status, 400);
  EXPECT_EQ(w.ask(0, "POST", "/v1/jobs", R"({"Id":"j-000009"})").status, 400);
  auto s = spec("j-000009");
  s.team = "nobody";
  EXPECT_EQ(w.ask(0, "POST", "/v1/jobs", text(s)).status, 422);
  s = spec("j-000009");
  s.resources.gpus = 9;
  EXPECT_EQ(w.ask(0, "POST", "/v1/jobs", text(s)).status, 422);
  s = spec("j-000009", 5, wire::JobKind::service);  // 20 of 16
  EXPECT_EQ(w.ask(0, "POST", "/v1/jobs", text(s)).status, 422);
  EXPECT_EQ(w.ask(0, "GET", "/v1/jobs/j-000009").status, 404);
  EXPECT_EQ(w.ask(0, "POST", "/v1/jobs/j-000009/withdraw").status, 404);
  EXPECT_EQ(w.ask(0, "GET", "/elsewhere").status, 404);
  const auto wrong = w.ask(0, "DELETE", "/v1/jobs/j-000009");
  EXPECT_EQ(wrong.status, 405);
  EXPECT_EQ(wrong.allow, "GET");
  EXPECT_EQ(w.ask(0, "POST", "/checkin", "{}").status, 400);
}

TEST(Scenario, ACrashedLeadersTasksGoOnUnderTheNext) {
  TestCluster w;
  w.run_s = 20;
  w.run(1);
  w.submit(0, spec("j-000001"));
  w.run(12);
  ASSERT_EQ(w.running("j-000001"), 2);
  const int old = w.leader();
  w.crash_node(old);
  w.run(6);
  ASSERT_GE(w.leader(), 0);
  EXPECT_NE(w.leader(), old);
  w.run(20);
  EXPECT_EQ(w.state_of(w.leader(), "j-000001"), "done");
  EXPECT_EQ(w.starts["j-000001/0"], 1);
  EXPECT_EQ(w.ran_twice, 0);
}

TEST(Scenario, EveryNodeKilledAtOnceLosesNoJob) {
  TestCluster w;
  w.run(1);
  w.submit(1, spec("j-000001"));
  for (int i = 0; i < 3; ++i) w.crash_node(i);
  w.run(3);
  for (int i = 0; i < 3; ++i) w.start_node(i);
  w.run(40);
  EXPECT_EQ(w.state_of(0, "j-000001"), "done");
  EXPECT_EQ(w.ran_twice, 0);
}

TEST(Scenario, ACancellationOnAnyNodeStopsTheTasksInTime) {
  TestCluster w;
  w.run_s = 1000;
  w.run(1);
  w.submit(0, spec("j-000001", 2, wire::JobKind::service));
  w.run(12);
  ASSERT_EQ(w.running("j-000001"), 2);
  const int other = (w.leader() + 1) % 3;
  EXPECT_EQ(w.ask(other, "POST", "/v1/jobs/j-000001/withdraw").status, 200);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(w.state_of(i, "j-000001"), "withdrawn");
  w.run(3);
  EXPECT_EQ(w.running("j-000001"), 0);
  EXPECT_EQ(w.state_of(other, "j-000001"), "withdrawn");
}

// Without the bound on answering, a leader cut off from the state service would prolong its
// workers' leases for ever, and a task cancelled elsewhere would outlive cancel_s.
TEST(Scenario, ACutOffLeaderCannotKeepACancelledTaskAlive) {
  TestCluster w;
  w.run_s = 1000;
  w.run(1);
  w.submit(0, spec("j-000001", 1, wire::JobKind::service));
  w.run(12);
  ASSERT_EQ(w.running("j-000001"), 1);
  const int old = w.leader();
  w.cut_from_state.insert(old);
  for (int i = 0; i < 3; ++i) {
    if (i != old) w.cut_from_workers.insert(i);
  }
  w.run(1);
  ASSERT_EQ(w.ask((old + 1) % 3, "POST", "/v1/jobs/j-000001/withdraw").status, 200);
  w.run(w.base_settings.cancel_s);
  EXPECT_EQ(w.running("j-000001"), 0);
}

TEST(Scenario, AStateOutageIsAnsweredAtOnceAndSurvived) {
  TestCluster w;
  w.run_s = 10;
  w.run(1);
  w.submit(0, spec("j-000001"));
  w.run(10);
  w.state_down = true;
  w.run(5);
  const double before = w.reactor.now();
  const auto refused = w.ask(1, "POST", "/v1/jobs", text(spec("j-000002")));
  EXPECT_EQ(refused.status, 503);
  EXPECT_GT(refused.retry_after_s, 0);
  EXPECT_LT(w.reactor.now() - before, 0.5);
  EXPECT_EQ(w.ask(1, "GET", "/v1/jobs/j-000001").status, 503);
  w.run(10);
  w.state_down = false;
  w.run(30);
  EXPECT_EQ(w.state_of(0, "j-000001"), "done");
  EXPECT_EQ(w.ran_twice, 0);
}

TEST(Scenario, AnUnansweredTransactionIsSettledByReading) {
  TestCluster w;
  w.run(1);
  // The acceptance was applied though its answer got lost.
  w.swallow_txn_answers = 1;
  const auto response = w.ask(0, "POST", "/v1/jobs", text(spec("j-000001")));
  EXPECT_EQ(response.status, 200);
  // So are the leader's next writes.
  w.swallow_txn_answers = 3;
  w.run(60);
  EXPECT_EQ(w.state_of(0, "j-000001"), "done");
  EXPECT_EQ(w.ran_twice, 0);
}

TEST(Scenario, AnUnansweredRentalIsAskedAgainUnderItsName) {
  TestCluster w;
  w.swallow_rental_answers = 1;
  w.run(1);
  w.submit(0, spec("j-000001", 1));
  w.run(30);
  EXPECT_EQ(w.rentals.size(), 1u);
  EXPECT_EQ(w.state_of(0, "j-000001"), "done");
}

// A name that was answered 200 rents nothing when it is used again, by whichever leader.
TEST(Scenario, EveryRentalHasANameOfItsOwnAcrossLeaders) {
  TestCluster w;
  w.run_s = 1000;
  w.run(1);
  w.submit(0, spec("j-000001", 2, wire::JobKind::service));
  w.run(15);
  w.submit(0, spec("j-000002", 2, wire::JobKind::service));
  w.run(15);
  EXPECT_EQ(w.running("j-000002"), 2);
  const auto before = w.rentals.size();
  EXPECT_GE(before, 1u);
  w.crash_node(w.leader());
  w.run(5);
  auto other = make_job("j-000003", wire::JobKind::service, 2, 8, "blue").spec;
  w.submit(w.leader(), other);
  w.run(60);
  EXPECT_EQ(w.running("j-000003"), 2);
  EXPECT_GT(w.rentals.size(), before);
}

TEST(Scenario, AStartWhoseAnswerIsLostRunsOnceAndIsNotForgotten) {
  TestCluster w;
  w.add_worker();
  w.run(3);
  w.workers["n-1"]->swallow_commands = 1;
  w.submit(0, spec("j-000001", 1));
  w.run(15);
  EXPECT_EQ(w.state_of(0, "j-000001"), "done");
  EXPECT_EQ(w.starts["j-000001/0"], 1);
  EXPECT_EQ(w.workers["n-1"]->swallow_commands, 0);
  // A copy of that command may still come: the worker must go on knowing the attempt.
  EXPECT_TRUE(w.workers["n-1"]->tasks.contains("j-000001/0"));
}

TEST(Scenario, ASilentMachinesWorkMovesOnlyWhenItsLeaseIsOver) {
  TestCluster w;
  w.run_s = 1000;
  w.add_worker();
  w.add_worker();
  w.run(3);
  w.submit(0, spec("j-000001", 1, wire::JobKind::service));
  w.run(3);
  ASSERT_EQ(w.running("j-000001"), 1);
  std::string first;
  for (auto& [id, worker] : w.workers) {
    if (!worker->tasks.empty()) first = id;
  }
  w.workers[first]->hangs = true;
  w.run(w.base_settings.lease_s - 2);
  EXPECT_EQ(w.starts["j-000001/0"], 1);
  w.run(8);
  EXPECT_EQ(w.starts["j-000001/0"], 2);
}

TEST(Scenario, AnotherNodeNamesTheLeaderAndNeverItself) {
  TestCluster w;
  w.run(2);
  const int other = (w.leader() + 1) % 3;
  wire::Heartbeat r = heartbeat("n-77", 1, 1);
  const std::string body =
      R"({"Rig":"n-77","Address":"x","Frame":"g8","Yard":"a","Loaners":false,"Shift":1,"Tick":1,"KeyTurn":0})";
  const auto answer = w.ask(other, "POST", "/checkin", body);
  EXPECT_EQ(answer.status, 421);
  EXPECT_NE(answer.body.find("n" + std::to_string(w.leader())), std::string::npos);
  w.crash_node(w.leader());
  w.run(0.1);
}

TEST(Scenario, ALeaderThatMeetsAHigherTokenStepsDown) {
  TestCluster w(1);
  w.run(2);
  ASSERT_EQ(w.leader(), 0);
  const std::string body =
      R"({"Rig":"n-77","Address":"x","Frame":"g8","Yard":"a","Loaners":false,"Shift":1,"Tick":1,"KeyTurn":999999})";
  EXPECT_EQ(w.ask(0, "POST", "/checkin", body).status, 421);
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
  TestCluster w(3, {}, settings);
  w.run_s = 10'000;
  w.run(1);
  constexpr int kMachines = 1300, kJobs = 60, kTasks = 20;
  for (int i = 0; i < kMachines; ++i) w.add_worker();
  w.run(3);
  const auto id = [](int i) { return "j-" + std::to_string(100'000 + i); };
  for (int i = 0; i < kJobs; ++i) w.submit(i % 3, spec(id(i), kTasks, wire::JobKind::service));
  w.run(20);
  const auto running = [&] {
    int n = 0;
    for (const auto& [name, worker] : w.workers) {
      if (!worker->hangs) n += static_cast<int>(worker->tasks.size());
    }
    return n;
  };
  ASSERT_EQ(running(), kJobs * kTasks);
  std::vector<std::string> lost;
  for (auto& [name, worker] : w.workers) {
    if (!worker->tasks.empty() && lost.size() < kMachines / 3) lost.push_back(name);
  }
  for (const auto& name : lost) w.workers[name]->hangs = true;
  const int old = w.leader();
  w.max_calls_in_flight = 0;
  w.crash_node(old);
  w.run(2 * settings.lease_s);
  ASSERT_GE(w.leader(), 0);
  EXPECT_EQ(w.ran_twice, 0);
  EXPECT_LE(w.max_calls_in_flight, settings.fd_limit / 8);
  w.run(180);
  bool in_a_row = false;  // four requests, of a hundred machines each
  for (std::size_t i = 3; i < w.deletions.size(); ++i) {
    in_a_row = in_a_row || w.deletions[i] - w.deletions[i - 3] < settings.heartbeat_interval_s;
  }
  EXPECT_TRUE(in_a_row);
  EXPECT_EQ(running(), kJobs * kTasks);
  EXPECT_EQ(w.ran_twice, 0);
  for (const auto& name : lost) {
    EXPECT_NE(std::find(w.deleted.begin(), w.deleted.end(), name), w.deleted.end()) << name;
  }
}

// One name that the cloud does not take must not keep other machines from being returned.
TEST(Scenario, AMachineThatTheCloudRefusesToDeleteHoldsUpNoOther) {
  auto settings = small_settings();
  settings.cloud_rps = 20;
  TestCluster w(3, {}, settings);
  w.run(1);
  constexpr int kMachines = 70, kStay = 20;  // fewer are due than one request may name
  for (int i = 0; i < kMachines; ++i) w.add_worker();
  w.run(3);
  w.undeletable = {w.workers.begin()->first};
  int hung = 0;
  for (auto& [name, worker] : w.workers) worker->hangs = hung++ < kMachines - kStay;
  w.cloud_down = true;  // until all are due
  w.run(4 * settings.lease_s);
  w.cloud_down = false;
  w.run(2 * settings.lease_s);
  EXPECT_GE(w.deleted.size(), static_cast<std::size_t>(kMachines - kStay - 1));
}

// The list of a large fleet has many pages: it leaves half of the calls for deletions and types.
TEST(Scenario, ReadingTheListOfALargeFleetLeavesCallsToTheCloudForOthers) {
  constexpr int kMachines = 4200;
  constexpr double kSpan = 30;
  auto settings = small_settings();
  settings.operators.scaler.min_machines = kMachines;
  TestCluster w(1, {}, settings);
  w.run(2);
  for (int i = 0; i < kMachines; ++i) w.add_worker();
  w.run(10);
  w.list_requests = 0;
  w.run(kSpan);
  const double calls = kSpan * settings.cloud_rps / 2;
  EXPECT_LE(w.list_requests, 0.5 * calls + 1);
  EXPECT_GE(w.list_requests, kMachines / cloud::kMaxListed);  // it is read all the same
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
  settings.operators.scaler.min_machines = kWorkers;
  const auto limit = base::public_connections(settings);
  TestCluster w(kNodes, std::vector<std::string>(kNodes, "a"), settings);
  w.heartbeat_spread = 0.25;
  w.run(1);
  for (int i = 0; i < kWorkers; ++i) {
    w.add_worker(i % 2 == 0 ? "a" : "b");
    w.workers.at("n-" + std::to_string(i + 1))->target = i % kNodes;
  }
  w.run(20);
  w.crash_node(w.leader());
  for (int node = 0; node < kNodes; ++node) w.cut_from_workers.insert(node);
  while (w.leader() < 0) w.run(0.1);
  w.cut_from_workers.clear();
  w.refused_connections = w.broken_connections = 0;
  const auto at_leader = [&w] {
    return std::count_if(w.workers.begin(), w.workers.end(),
                         [&](const auto& entry) { return entry.second->target == w.leader(); });
  };
  w.run(5);
  const auto came = at_leader();
  for (int i = 0; i < 40; ++i) {
    w.run(1);
    for (int node = 0; node < kNodes; ++node) EXPECT_LE(w.connections(node), limit) << node;
  }
  EXPECT_EQ(w.refused_connections, 0);
  EXPECT_EQ(w.broken_connections, 0);
  EXPECT_LT(at_leader(), came / 2);
  for (const auto& [id, worker] : w.workers) EXPECT_EQ(worker->agent_epoch, 1U) << id;
}

// A zone that is cut off works on inside: what runs there outlives its workers' lease, is started
// nowhere else meanwhile, and goes on when the cut ends.
TEST(Scenario, ReplicasInAZoneThatIsCutOffRunOnAndRunOnce) {
  TestCluster w(3, {"a", "a", "b"});
  w.run_s = 1000;
  w.run(1);
  ASSERT_NE(w.leader(), 2);
  auto s = spec("j-000001", 2, wire::JobKind::service);
  s.zone = "b";
  w.submit(0, s);
  w.run(20);
  ASSERT_EQ(w.running("j-000001"), 2);
  w.cut_zones = {"b"};
  w.run(25);  // the lease is 10
  EXPECT_EQ(w.running("j-000001"), 2);
  EXPECT_EQ(w.starts["j-000001/0"], 1);
  w.cut_zones.clear();
  w.run(15);
  EXPECT_EQ(w.running("j-000001"), 2);
  EXPECT_EQ(w.starts["j-000001/0"] + w.starts["j-000001/1"], 2);
  EXPECT_EQ(w.ran_twice, 0);
}

// Guards against workers sent to and fro between a leader that they can't reach and nodes that can:
// as long as other workers' heartbeats are carried to it, it does not know that these are lost.
TEST(Scenario, WorkersThatCannotReachTheLeaderAreCarriedByWhomTheyReach) {
  TestCluster w(3, {"a", "a", "a"});
  w.run_s = 1000;
  w.run(1);
  for (const char* zone : {"a", "b"}) {
    w.add_worker(zone);
    auto s = spec(zone[0] == 'a' ? "j-000001" : "j-000002", 2, wire::JobKind::service);
    s.zone = zone;
    w.submit(0, s);
  }
  w.run(10);
  ASSERT_EQ(w.running("j-000001") + w.running("j-000002"), 4);
  w.cut_from_workers = {w.leader()};
  w.run(3 * w.base_settings.lease_s);
  EXPECT_EQ(w.running("j-000001"), 2);
  EXPECT_EQ(w.running("j-000002"), 2);
  EXPECT_EQ(w.starts["j-000002/0"] + w.starts["j-000002/1"], 2);
  EXPECT_EQ(w.ran_twice, 0);
}

// A small node that leads is charged most for the heartbeats that come straight to it. Those of its
// own zone are carried by a second node there, until few enough are left.
TEST(Scenario, AZonesSecondNodeRelievesALeaderThatReportsCrowd) {
  auto settings = small_settings();
  constexpr int kWorkers = 30;
  const double max_per_second = 0.1 * settings.core_share / (2 * base::kPacketCost);
  settings.core_share *= kWorkers / 3.0 / max_per_second;  // a third of them would not crowd it
  TestCluster w(3, {"a", "a", "a"}, settings);
  w.run(1);
  for (int i = 0; i < kWorkers; ++i) w.add_worker("a");
  const auto at_leader = [&] {
    return std::count_if(w.workers.begin(), w.workers.end(),
                         [&](const auto& entry) { return entry.second->target == w.leader(); });
  };
  w.run(3);
  EXPECT_GT(at_leader(), kWorkers / 2);
  w.run(20);
  EXPECT_LE(at_leader(), kWorkers / 3);
  EXPECT_GE(at_leader(), 1);
  for (const auto& [id, worker] : w.workers) EXPECT_EQ(worker->agent_epoch, 1U) << id;
}

// A parsed body of 60 KB may take half a megabyte: were it kept while the state service is waited
// for, a few dozen such submissions would end a process of 27 MB. (Sanitizers replace the allocator
// that is asked here, and then nothing is measured.)
TEST(Scenario, SubmissionsThatWaitHoldNoParsedBody) {
  constexpr int kSubmissions = 20;
  constexpr std::size_t kNumbers = 30'000;
  TestCluster w(1);
  w.run(2);
  const auto before = ::mallinfo2().uordblks;
  net::Scope scope;
  std::size_t sent = 0;
  w.state_slow_s = 1000;
  for (int i = 0; i < kSubmissions; ++i) {
    std::string body = text(spec("j-00001" + std::to_string(i)));
    body.pop_back();
    body += ",\"unknown\":[0";
    for (std::size_t n = 1; n < kNumbers; ++n) body += ",0";
    body += "]}";
    sent += body.size();
    const auto asks = [](TestCluster& cluster, std::string text) -> net::Task<void> {
      auto asking = cluster.user_asks(0, "POST", "/v1/jobs", std::move(text));
      co_await asking;
    };
    scope.spawn(asks(w, std::move(body)));
  }
  w.run(0.5);
  constexpr std::size_t kCopies = 3;  // two are the test doubles' own; a parsed body is eight more
  EXPECT_LT(::mallinfo2().uordblks, before + kCopies * sent);
}

// When the cut lasts, they are gone before they start elsewhere, and nothing that was cancelled
// meanwhile is left after cancel_s.
TEST(Scenario, ACutThatLastsEndsTheTasksInTime) {
  TestCluster w(3, {"a", "a", "b"});
  w.run_s = 1000;
  w.run(1);
  ASSERT_NE(w.leader(), 2);
  auto stays = spec("j-000001", 2, wire::JobKind::service);
  stays.spread = true;
  w.submit(0, stays);
  auto goes = spec("j-000002", 1, wire::JobKind::service);
  goes.zone = "b";
  w.submit(0, goes);
  w.run(20);
  ASSERT_EQ(w.running("j-000001"), 2);
  ASSERT_EQ(w.running("j-000002"), 1);
  w.cut_zones = {"b"};
  EXPECT_EQ(w.ask(0, "POST", "/v1/jobs/j-000002/withdraw").status, 200);
  w.run(w.base_settings.cancel_s);
  EXPECT_EQ(w.running("j-000002"), 0);
  w.run(20);
  EXPECT_EQ(w.running("j-000001"), 1);  // the other may only be in b
  w.cut_zones.clear();
  w.run(30);
  EXPECT_EQ(w.running("j-000001"), 2);
  EXPECT_EQ(w.ran_twice, 0);
}

}  // namespace
}  // namespace cranklock::testing
