// Scenarios of what operators met beyond the troubles that they had named. The rule checker of each
// cluster watches all rules; what a scenario asserts itself is that the trouble came about and that
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

std::uint64_t max_epochs(const TestCluster& w) {
  std::uint64_t most = 0;
  for (const auto& [id, worker] : w.workers) most = std::max(most, worker->agent_epoch);
  return most;
}

/// A cluster of five nodes in two zones, with services that run in both.
struct TwoZones {
  TestCluster w{5, {"a", "b", "b", "a", "b"}};

  void serve() {
    w.run_s = 10'000;
    for (const char* zone : {"a", "a", "b", "b"}) w.add_worker(zone);
    w.run(1);
    w.submit(0, service_in("j-000001", "a", 4));
    w.submit(0, service_in("j-000002", "b", 4));
    w.run(15);
    ASSERT_EQ(w.running("j-000001"), 4);
    ASSERT_EQ(w.running("j-000002"), 4);
  }
  void expect_undisturbed() {
    EXPECT_EQ(max_epochs(w), 1U);
    EXPECT_EQ(w.running("j-000001"), 4);
    EXPECT_EQ(w.running("j-000002"), 4);
    for (const auto& [task, starts] : w.starts) EXPECT_EQ(starts, 1) << task;
  }
};

// Guards against leases that end on the way between nodes: a worker whose node holds its heartbeats
// comes to the next one with half of its lease gone, and must not be sent back.
TEST(OpsTroubles, ALeaderThatHoldsAllReportsCostsNoLease) {
  TwoZones zones;
  auto& w = zones.w;
  zones.serve();
  w.held_from_workers = {w.leader()};
  w.run(4 * w.base_settings.lease_s);
  zones.expect_undisturbed();
}

TEST(OpsTroubles, AForwarderThatHoldsAllReportsCostsNoLease) {
  TwoZones zones;
  auto& w = zones.w;
  zones.serve();
  for (int node = 0; node < w.nodes(); ++node) {
    if (node == w.leader()) continue;
    w.held_from_workers = {node};
    w.run(2 * w.base_settings.lease_s);
  }
  zones.expect_undisturbed();
}

// The cut of the workers heals and opens again, each time for longer than they wait for an answer.
TEST(OpsTroubles, ACutFromWorkersThatHealsAndOpensAgainCostsNoLease) {
  TwoZones zones;
  auto& w = zones.w;
  zones.serve();
  for (int times = 0; times < 6; ++times) {
    w.held_from_workers = {w.leader()};
    w.run(12);
    w.held_from_workers.clear();
    w.run(12);
  }
  zones.expect_undisturbed();
}

// ---- a controller that stands still ----

constexpr double kStill = 70;  ///< longer than cancel_s, and than any lease

bool is_deleted(const TestCluster& w, const std::string& machine) {
  return std::find(w.deleted.begin(), w.deleted.end(), machine) != w.deleted.end();
}

std::string holder_of(const TestCluster& w, const std::string& job) {
  for (const auto& [id, worker] : w.workers) {
    for (const auto& [task, held] : worker->tasks) {
      if (task.starts_with(job + "/") && held.state != wire::TaskState::exited) return id;
    }
  }
  return "";
}

// A leader that stood still wakes with a leader lease, timers and news of more than a minute ago.
// Whatever it believes of silent workers and missing machines, nothing may come of it.
TEST(OpsTroubles, ALeaderThatStoodStillDisturbsNothingWhenItWakes) {
  TwoZones zones;
  auto& w = zones.w;
  zones.serve();
  const int old = w.leader();
  w.stop_node(old);
  ASSERT_TRUE(wait_for(w, 10, [&] { return w.leader() >= 0; }));
  w.run(kStill);
  const auto deleted = w.deleted.size();
  const auto rented = w.rented;
  const int successor = w.leader();
  w.wake_node(old);
  w.run(15);
  EXPECT_EQ(w.leader(), successor);
  EXPECT_EQ(w.deleted.size(), deleted);
  EXPECT_EQ(w.rented, rented);
  zones.expect_undisturbed();
}

// The same for a node that does not lead, the only one of its zone that is up, while another fails.
TEST(OpsTroubles, AZonesOnlyNodeThatStandsStillCostsNoLease) {
  TestCluster w(4, {"a", "b", "a", "a"});
  w.run_s = 10'000;
  for (const char* zone : {"a", "b"}) w.add_worker(zone);
  w.run(1);
  ASSERT_NE(w.leader(), 1);
  w.submit(0, service_in("j-000001", "a", 4));
  w.submit(0, service_in("j-000002", "b", 4));
  w.run(15);
  ASSERT_EQ(w.running("j-000002"), 4);
  w.stop_node(1);
  w.run(20);
  const int other = w.leader() == 2 ? 3 : 2;
  w.crash_node(other);
  w.run(kStill);
  w.wake_node(1);
  w.start_node(other);
  w.run(15);
  EXPECT_EQ(max_epochs(w), 1U);
  EXPECT_EQ(w.running("j-000001"), 4);
  EXPECT_EQ(w.running("j-000002"), 4);
}

// Guards against workers sent from their zone's node to a leader that stands still, and on from
// there to nodes that are down: their node waits for the successor, and forwards to it.
TEST(OpsTroubles, WorkersWaitForTheSuccessorOfALeaderThatStandsStill) {
  auto settings = small_settings();
  settings.nodes = 5;
  for (const double moment : {0.0, 0.3, 0.6, 0.9}) {
    TestCluster w(5, {"a", "b", "c", "a", "b"}, settings);
    w.run_s = 10'000;
    w.heartbeat_spread = 0.25;
    for (int i = 0; i < 4; ++i) w.add_worker("b");
    w.run(1);
    ASSERT_EQ(w.leader(), 0);
    w.submit(0, service_in("j-000001", "b", 8));
    w.run(15 + moment);
    ASSERT_EQ(w.running("j-000001"), 8);
    w.crash_node(1);
    w.crash_node(2);
    w.run(3);
    w.stop_node(0);
    w.run(30);
    EXPECT_GE(w.leader(), 3);
    EXPECT_EQ(max_epochs(w), 1U) << moment;
    EXPECT_EQ(w.running("j-000001"), 8);
    for (const auto& [task, starts] : w.starts) EXPECT_EQ(starts, 1) << task;
  }
}

// Guards against a machine deleted on the word of a leader that stood still: it knows of a
// cancelled task there and not of its end, and not of the work that its successor put there since.
TEST(OpsTroubles, ALeaderThatStoodStillDeletesNoMachineForWhatIsLongOver) {
  auto settings = small_settings();
  settings.heartbeat_interval_s = 3;
  settings.lease_s = 29;
  settings.cancel_s = 49;
  settings.cloud_rps = 20;  // a deletion waits for nothing
  TestCluster w(3, {"a", "a", "a"}, settings);
  w.run_s = 10'000;
  w.add_worker("a");
  w.run(1);
  w.submit(0, service_in("j-000001", "a", 4));
  w.run(15);
  const auto machine = holder_of(w, "j-000001");
  ASSERT_FALSE(machine.empty());
  auto& worker = *w.workers.at(machine);
  const int old = w.leader();
  worker.hangs = true;
  w.cancel((old + 1) % 3, "j-000001");
  w.run(1);
  w.stop_node(old);
  w.wake(worker);
  const double stopped = w.reactor.now();
  ASSERT_TRUE(wait_for(w, 10, [&] { return w.leader() >= 0; }));
  ASSERT_TRUE(wait_for(w, 5, [&] { return w.held("j-000001") == 0; }));
  w.submit(w.leader(), service_in("j-000002", "a", 8));
  ASSERT_TRUE(wait_for(w, 10, [&] { return w.running("j-000002") == 8; }));
  ASSERT_FALSE(is_deleted(w, machine));
  ASSERT_EQ(holder_of(w, "j-000002"), machine);
  // The cancellation is overdue as the former leader knows it, and no lease is over yet.
  w.run(stopped + 0.85 * w.base_settings.lease_s - w.reactor.now());
  w.state_slow_s = 0.5;
  w.wake_node(old);
  w.run(15);
  EXPECT_FALSE(is_deleted(w, machine));
  EXPECT_EQ(w.running("j-000002"), 8);
}

// Who asks a node that has just woken hears nothing older than was told meanwhile, be the question
// from before it woke.
TEST(OpsTroubles, ANodeThatStoodStillTellsNothingOlder) {
  TestCluster w(3, {"a", "a", "a"});
  w.run_s = 10'000;
  w.run(1);
  for (int i = 1; i <= 3; ++i) w.submit(0, service_in("j-00000" + std::to_string(i), "a", 1));
  w.run(15);
  for (const int node : {w.leader(), (w.leader() + 1) % 3}) {
    const auto job = "j-00000" + std::to_string(node == w.leader() ? 1 : 2);
    const int other = (node + 2) % 3;
    w.state_of(node, job);
    w.stop_node(node);
    std::vector<net::Task<std::optional<net::Response>>> asked;
    for (int i = 0; i < 5; ++i) {
      asked.push_back(w.user_asks(node, "GET", "/v1/jobs/" + job, ""));
      asked.back().start();
    }
    w.run(kStill);
    w.cancel(other, job);
    w.wake_node(node);
    const auto told = w.state_of(node, job);
    EXPECT_TRUE(told == "withdrawn" || told == "503") << told;
    w.run(5);
    EXPECT_EQ(w.state_of(node, job), "withdrawn");
  }
}

// Its scale-out request and its transactions were under way, their answers lost to it: the
// scale-out request's name is asked for again, or its machines are found, and nothing runs twice.
TEST(OpsTroubles, ALeaderStandsStillWithRequestsInDoubt) {
  for (const double moment : {2.2, 3.1, 4.3, 6.5}) {
    TestCluster w(3, {"a", "a", "a"});
    w.run_s = 10'000;
    w.swallow_rental_answers = 1;
    w.run(1);
    w.submit(0, service_in("j-000001", "a", 8));
    w.run(moment);
    const int old = w.leader();
    w.submit((old + 1) % 3, service_in("j-000002", "a", 4));
    w.swallow_txn_answers = 1;
    w.run(0.1);
    w.stop_node(old);
    w.run(kStill);
    EXPECT_EQ(w.running("j-000001"), 8);
    EXPECT_EQ(w.running("j-000002"), 4);
    w.wake_node(old);
    w.run(15);
    EXPECT_EQ(w.running("j-000001"), 8);
    EXPECT_EQ(w.running("j-000002"), 4);
    EXPECT_EQ(w.ran_twice, 0);
  }
}

// ---- machines that come late, much too early, or never ----

int there(const TestCluster& w) {
  return static_cast<int>(std::count_if(w.workers.begin(), w.workers.end(),
                                        [](const auto& entry) { return !entry.second->gone; }));
}

// Every machine of a zone fails to come up. Work that may go elsewhere is served elsewhere, and
// what never came is paid no longer, though the leader changes meanwhile.
TEST(OpsTroubles, MachinesThatNeverComeAreGivenUpAndWorkGoesElsewhere) {
  TestCluster w(3, {"a", "a", "a"});
  w.run_s = 10'000;
  w.boot_s = 4;
  w.barren_zones = {"a"};
  w.run(1);
  for (int i = 1; i <= 4; ++i) {
    auto spec = service_in("j-00000" + std::to_string(i), "", 2);
    spec.resources.gpus = 4;
    w.submit(0, spec);
  }
  w.run(20);
  const int old = w.leader();
  w.crash_node(old);
  w.run(10);
  w.start_node(old);
  const double ready_s = machine_type().ready_s;
  w.run(w.base_settings.operators.boot_patience * ready_s + 4 * w.base_settings.lease_s);
  for (int i = 1; i <= 2; ++i) EXPECT_EQ(w.running("j-00000" + std::to_string(i)), 2) << i;
  const auto booting = std::count_if(w.workers.begin(), w.workers.end(), [&](const auto& entry) {
    return !entry.second->gone && entry.second->up_at > w.reactor.now() &&
           w.reactor.now() - entry.second->began >
               w.base_settings.operators.boot_patience * ready_s + 10;
  });
  EXPECT_EQ(booting, 0);
}

// All machines come after two and a half times as long as they should. What was rented instead of
// them is given back, and nothing runs twice.
TEST(OpsTroubles, LateMachinesThatComeAfterAllAreNotKeptTwice) {
  TestCluster w(3, {"a", "a", "a"});
  w.run_s = 10'000;
  w.boot_s = 2.5 * machine_type().ready_s;
  w.run(1);
  auto spec = service_in("j-000001", "", 2);
  spec.resources.gpus = 8;
  w.submit(0, spec);
  w.run(1.02 * w.boot_s + 10);
  EXPECT_EQ(w.running("j-000001"), 2);
  // Two for the work and one for headroom, and once more as many when they were late.
  constexpr int kAsked = 3;
  EXPECT_LE(w.rented, 2 * kAsked);
  w.run(8 * w.base_settings.operators.scaler.down_window_s);
  EXPECT_LE(there(w), kAsked);
  EXPECT_EQ(w.running("j-000001"), 2);
  EXPECT_EQ(w.ran_twice, 0);
}

// A machine that is up within a second gets work before any list shows it.
TEST(OpsTroubles, AMachineThatIsUpAtOnceIsUsedBeforeItIsListed) {
  TestCluster w(3, {"a", "a", "a"});
  w.run_s = 10'000;
  w.unlisted_s = 60;
  w.boot_s = 0.5;
  w.run(1);
  w.submit(0, service_in("j-000001", "a", 4));
  EXPECT_TRUE(wait_for(w, 20, [&] { return w.running("j-000001") == 4; }));
}

// The list lags by a changing time while machines boot, are used and the leader changes: nothing
// that it does not show yet, or shows as gone again, is lost or rented twice.
TEST(OpsTroubles, ACloudListOfChangingLagLosesNoMachine) {
  TestCluster w(3, {"a", "a", "a"});
  w.run_s = 10'000;
  w.boot_s = 2;
  w.unlisted_s = 15;
  w.run(1);
  w.submit(0, service_in("j-000001", "a", 8));
  ASSERT_TRUE(wait_for(w, 20, [&] { return w.running("j-000001") == 8; }));
  const auto rented = w.rented;
  for (const double lag : {30.0, 0.0, 60.0, 5.0}) {
    w.unlisted_s = lag;
    const int old = w.leader();
    w.crash_node(old);
    w.run(9);
    w.start_node(old);
    w.run(9);
  }
  EXPECT_EQ(w.running("j-000001"), 8);
  EXPECT_LE(w.rented, rented + 1);
  EXPECT_EQ(max_epochs(w), 1U);
  for (const auto& [task, starts] : w.starts) EXPECT_EQ(starts, 1) << task;
}

// ---- questions many times as often ----

/// Users who ask about jobs at one node, each job so many times a second, until told to stop.
struct Storm {
  TestCluster& w;
  int node;
  int answered = 0, refused_with_retry = 0, refused = 0;
  bool over = false;
  net::Scope scope;

  Storm(TestCluster& cluster, int at) : w(cluster), node(at) {}
  void ask_about(const std::string& job, double a_second) { scope.spawn(ask(job, 1 / a_second)); }
  net::Task<void> ask(std::string job, double every) {
    net::Sleep begin(w.reactor, every * w.chance());
    co_await begin;
    while (!over) {
      scope.spawn(ask_once(job));
      net::Sleep pause(w.reactor, every);
      co_await pause;
    }
  }
  net::Task<void> ask_once(std::string job) {
    auto asking = w.user_asks(node, "GET", "/v1/jobs/" + job, "");
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
struct Questions {
  static constexpr int kJobs = 40;
  static base::Settings settings() {
    auto s = small_settings();
    s.state_rps = 100;
    s.teams = {{"red", 0, 0, 16, 64}};
    return s;
  }
  TestCluster w{3, {"a", "a", "a"}, settings()};

  void serve() {
    w.run_s = 10'000;
    w.run(1);
    for (int i = 0; i < kJobs; ++i) w.submit(i % 3, service_in(name(i), "a", 1));
    ASSERT_TRUE(wait_for(w, 60, [&] {
      for (int i = 0; i < kJobs; ++i) {
        if (w.running(name(i)) != 1) return false;
      }
      return true;
    }));
  }
};

// 160 questions a second at one node, of a state service that takes 100 requests from all: nearly
// all are answered, those refused are told when to come back, and reports and cancellations go on.
TEST(OpsTroubles, AStormOfQuestionsAtOneNodeIsAnswered) {
  for (const bool at_leader : {true, false}) {
    Questions questions;
    auto& w = questions.w;
    questions.serve();
    Storm storm(w, at_leader ? w.leader() : (w.leader() + 1) % 3);
    for (int i = 0; i < Questions::kJobs; ++i) storm.ask_about(name(i), 4);
    w.run(10);
    const int before = w.state_requests;
    const int answered = storm.answered;
    w.run(10);
    EXPECT_LT(w.state_requests - before, 0.5 * 10 * w.base_settings.state_rps);
    EXPECT_GT(storm.answered - answered, 0.95 * 10 * 4 * Questions::kJobs);
    EXPECT_EQ(storm.refused, 0);
    const double asked = w.reactor.now();
    w.cancel(storm.node, name(0));
    EXPECT_LT(w.reactor.now() - asked, 1);
    EXPECT_EQ(w.state_of(storm.node, name(0)), "withdrawn");
    EXPECT_TRUE(wait_for(w, 5, [&] { return w.held(name(0)) == 0; }));
    EXPECT_EQ(max_epochs(w), 1U);
    storm.over = true;
    w.run(5);
  }
}

// The same at a node that has just begun, while the leader stands still and the state service is
// slow: no lease ends for it, and afterwards every job is known.
TEST(OpsTroubles, AStormOfQuestionsMeetsASilentLeaderAndASlowStateService) {
  Questions questions;
  auto& w = questions.w;
  questions.serve();
  const int old = w.leader(), fresh = (old + 1) % 3;
  w.crash_node(fresh);
  w.run(8);
  w.start_node(fresh);
  Storm storm(w, fresh);
  for (int i = 0; i < Questions::kJobs; ++i) storm.ask_about(name(i), 4);
  w.state_slow_s = 0.3;
  w.run(5);
  w.stop_node(old);
  w.run(30);
  w.cancel((old + 2) % 3, name(1));
  w.wake_node(old);
  w.run(20);
  w.state_slow_s = 0;
  EXPECT_EQ(storm.refused, 0);
  EXPECT_GT(storm.answered, 0.5 * 55 * 4 * Questions::kJobs);
  storm.over = true;
  w.run(5);
  for (int node = 0; node < 3; ++node) {
    for (int i = 0; i < Questions::kJobs; ++i) {
      EXPECT_EQ(w.state_of(node, name(i)), i == 1 ? "withdrawn" : "running");
    }
  }
}

// ---- guests, a great array, a swarm ----

/// A home team with a guarantee, and a guest team without.
base::Settings with_guests() {
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

// Guest work fills the fleet; guaranteed work that comes then stops it and starts at once, and the
// guests are served all the same.
TEST(OpsTroubles, GuestsMakeRoomForAGuaranteeAndAreServedAfterwards) {
  TestCluster w(3, {"a", "a", "a"}, with_guests());
  for (int i = 0; i < 2; ++i) w.add_worker("a");
  w.run_s = 20;
  w.run(3);
  auto guest = make_job("j-000001", JobKind::job_array, 24, 1, "blue").spec;
  guest.priority = wire::Priority::best_effort;
  w.add_user(guest);
  w.run(8);
  ASSERT_GE(w.running("j-000001"), 12);
  auto home = make_job("j-000002", JobKind::job_array, 12, 1, "red").spec;
  w.add_user(home);
  EXPECT_TRUE(wait_for(w, 8, [&] { return w.running("j-000002") == 12; }));
  EXPECT_TRUE(wait_for(w, 240, [&] { return all_over(w); }));
  EXPECT_EQ(w.rules.outcome("j-000001"), "done");
}

/// An array of thousands of short tasks, a quarter of a processor each, among other teams' work.
struct GreatArray {
  TestCluster w{3, {"a", "a", "a"}, with_guests()};

  explicit GreatArray(std::uint32_t tasks = 4'000) {
    w.run_s = 4;
    w.heartbeat_spread = 0.25;
    for (int i = 0; i < 4; ++i) w.add_worker("a");
    w.run(3);
    w.add_user(array_of("j-000001", tasks, "blue"));
    w.run(10);
  }
  int done() {
    const auto response = w.ask(w.leader() >= 0 ? w.leader() : 0, "GET", "/v1/jobs/j-000001");
    const wire::JsonDocument document(response.body);
    return static_cast<int>(wire::read_amount(document.root(), "done").value_or(0));
  }
};

TEST(OpsTroubles, AGreatArrayIsServedThroughTwoChangesOfLeader) {
  GreatArray array(25'000);
  auto& w = array.w;
  for (int times = 0; times < 2; ++times) {
    const int old = w.leader();
    ASSERT_GE(old, 0);
    w.crash_node(old);
    w.run(8);
    w.start_node(old);
    w.run(8);
  }
  w.add_user(make_job("j-000002", JobKind::job_array, 4, 1, "red").spec);
  EXPECT_TRUE(wait_for(
      w, 8, [&] { return w.rules.is_completed("j-000002", 3) || w.running("j-000002") == 4; }));
  EXPECT_TRUE(wait_for(w, 800, [&] { return all_over(w); }));
  EXPECT_EQ(w.rules.outcome("j-000001"), "done");
}

TEST(OpsTroubles, AGreatArrayIsCancelledAtHalf) {
  GreatArray array;
  auto& w = array.w;
  ASSERT_TRUE(wait_for(w, 200, [&] { return array.done() > 1'500; }));
  ASSERT_GT(w.held("j-000001"), 50);
  w.cancel((w.leader() + 1) % 3, "j-000001");
  EXPECT_TRUE(wait_for(w, w.base_settings.cancel_s, [&] { return w.held("j-000001") == 0; }));
  EXPECT_TRUE(w.deleted.empty());
}

// The state service is slow, and then takes half of what it took without notice.
TEST(OpsTroubles, AGreatArrayMeetsASlowStateServiceThatLowersItsLimits) {
  GreatArray array;
  auto& w = array.w;
  w.state_slow_s = 0.3;
  w.run(20);
  w.state_service.limits.value_bytes = 4096;
  w.state_service.limits.txn_changes = 6;
  w.run(20);
  w.state_slow_s = 0;
  EXPECT_TRUE(wait_for(w, 600, [&] { return all_over(w); }));
  EXPECT_EQ(w.rules.outcome("j-000001"), "done");
}

// Four jobs of one task a second for a minute, a quarter of them cancelled, the leader killed: none
// is lost, and another team's submission is accepted and started as if they were not there.
TEST(OpsTroubles, ASwarmHoldsUpNobodysAcceptance) {
  auto settings = with_guests();
  settings.state_write_rps = 30;
  TestCluster w(5, {"a", "a", "a", "a", "a"}, settings);
  w.state_service.limits_writes = true;
  w.run_s = 6;
  for (int i = 0; i < 4; ++i) w.add_worker("a");
  w.run(3);
  for (int i = 0; i < 240; ++i) {
    UserHabits habits;
    if (i % 4 == 0) habits.cancels_after = 3;
    auto one = make_job(name(i), JobKind::job_array, 1, 0.25, "blue").spec;
    one.priority = wire::Priority::best_effort;
    w.add_user(one, habits);
    w.run(0.25);
    if (i == 80) {
      const int old = w.leader();
      w.crash_node(old);
      w.run(8);
      w.start_node(old);
    }
    if (i % 40 == 39) {
      const double asked = w.reactor.now();
      const auto home = make_job(name(1000 + i), JobKind::job_array, 1, 1, "red").spec;
      w.submit((w.leader() + 1) % 5, home);
      EXPECT_LT(w.reactor.now() - asked, 1) << i;
      EXPECT_TRUE(wait_for(w, 8, [&] { return w.starts[name(1000 + i) + "/0"] > 0; })) << i;
    }
  }
  for (int i = 0; i < 240; i += 40)
    w.add_user(make_job(name(1039 + i), JobKind::job_array, 1, 1, "red").spec);
  EXPECT_TRUE(wait_for(w, 200, [&] { return all_over(w); }));
}

// ---- jobs with a mistake ----

// An array, a gang and a service that fail on every machine, beside a swarm of guests and sound
// work, through a change of leader: no machine is lost to them, they are started ever more rarely,
// and a cancellation is answered at once. A machine that really is faulty is found all the same.
TEST(OpsTroubles, BrokenJobsMeetAGuestSwarm) {
  auto settings = with_guests();
  settings.operators.scaler.min_machines = 5;  // none is given back for want of work
  TestCluster w(3, {"a", "a", "a"}, settings);
  w.run_s = 6;
  for (int i = 0; i < 5; ++i) w.add_worker("a");
  w.run(3);
  w.broken_jobs = {name(1), name(2), name(3)};
  w.submit(0, make_job(name(1), JobKind::job_array, 6, 1, "red").spec);
  w.submit(1, make_job(name(2), JobKind::gang, 2, 1, "red").spec);
  w.submit(2, make_job(name(3), JobKind::service, 2, 1, "red").spec);
  const auto tries = [&] {
    int sum = 0;
    for (const auto& [task, starts] : w.starts) {
      sum += w.broken_jobs.contains(task.substr(0, task.find('/'))) ? starts : 0;
    }
    return sum;
  };
  for (int i = 100; i < 160; ++i) {
    auto one = make_job(name(i), JobKind::job_array, 1, 0.25, "blue").spec;
    one.priority = wire::Priority::best_effort;
    w.add_user(one);
    w.run(0.5);
  }
  EXPECT_TRUE(w.deleted.empty());
  const int first_half_minute = tries();
  EXPECT_GE(first_half_minute, 10);
  const int old = w.leader();
  w.crash_node(old);
  w.run(8);
  w.start_node(old);
  w.run(22);
  EXPECT_LE(tries(), 2 * first_half_minute);
  const auto faulty = w.workers.begin()->first;
  w.faulty_machines = {faulty};
  for (int i = 200; i < 212; ++i)
    w.add_user(make_job(name(i), JobKind::job_array, 4, 1, "red").spec);
  EXPECT_TRUE(wait_for(w, 60, [&] { return is_deleted(w, faulty); }));
  EXPECT_EQ(w.deleted, std::vector<std::string>{faulty});
  for (int i = 1; i <= 3; ++i) {
    const double asked = w.reactor.now();
    w.cancel(w.leader(), name(i));
    EXPECT_LT(w.reactor.now() - asked, 1);
  }
  EXPECT_TRUE(wait_for(w, 120, [&] { return all_over(w); }));
}

// Late machines meet a burst: everybody is served, and no more is rented than twice what it takes.
TEST(OpsTroubles, LateMachinesMeetABurst) {
  TestCluster w(3, {"a", "a", "a"}, with_guests());
  w.run_s = 20;
  w.boot_s = 1.8 * machine_type().ready_s;
  w.run(1);
  for (int i = 0; i < 12; ++i) w.add_user(make_job(name(i), JobKind::job_array, 2, 2, "red").spec);
  EXPECT_TRUE(wait_for(w, 400, [&] { return all_over(w); }));
  EXPECT_LE(w.rented, 2 * 5);
}

}  // namespace
}  // namespace cranklock::testing
