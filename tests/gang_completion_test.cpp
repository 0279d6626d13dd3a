// Gangs whose completion is reported by only some of their machines, and gangs that are broken off.
// PROTOCOL, "Gangs": the tasks of a gang complete together; when one is done, all of them are.
#include <gtest/gtest.h>

#include "control/record_keys.hpp"
#include "test_cluster_internals.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

constexpr const char* kGang = "j-000001";
constexpr double kRunS = 8;  ///< less than an agent's lease
/// PROTOCOL: a user expects `done` from this many seconds after the last task has completed.
constexpr double kMaxDoneLagS = 3;

/// Two machines, each of which one task of a gang fills, and no capacity for others.
struct Scenario {
  TestCluster cluster{3};

  Scenario() {
    cluster.run_s = kRunS;
    cluster.cloud_without_capacity = true;
    for (int i = 0; i < 2; ++i) cluster.add_worker();
    cluster.run(3);
  }

  TestCluster::Worker& machine(const std::string& id) { return *cluster.workers.at(id); }
  TestCluster::Worker& reporting() { return machine("n-1"); }
  TestCluster::Worker& mute() { return machine("n-2"); }

  static wire::JobSpec spec(JobKind kind = JobKind::gang) {
    return make_job(kGang, kind, 2, 8).spec;
  }
  void submit_and_run(JobKind kind = JobKind::gang) {
    cluster.submit(0, spec(kind));
    ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.running_tasks(kGang) == 2; }));
    cluster.run(2);
  }
  bool has_completed() const {
    return cluster.rules.is_completed(kGang, 0) && cluster.rules.is_completed(kGang, 1);
  }
  bool is_done() { return cluster.state_of(follower(), kGang) == "done"; }
  /// A node that is up and does not lead.
  int follower() const {
    int node = 0;
    while (!cluster.is_up(node) || node == cluster.leader()) ++node;
    return node;
  }
  /// Runs until the gang completes, within one run time.
  void run_until_completed() {
    ASSERT_TRUE(wait_for(cluster, kRunS + 1, [&] { return has_completed(); }));
  }
  void expect_done_in_time() {
    EXPECT_TRUE(wait_for(cluster, kMaxDoneLagS, [&] { return is_done(); }));
  }
  int starts(std::uint32_t task) {
    return cluster.start_counts[std::string(kGang) + "/" + std::to_string(task)];
  }
};

// Guards against a gang that waits for ever: one task was noted as done, the other one's exit was
// lost with its agent's lease, and a gang is placed whole or not at all.
TEST(GangCompletion, IsKnownWhenOneMachineCannotReport) {
  Scenario scenario;
  auto& cluster = scenario.cluster;
  scenario.submit_and_run();
  scenario.mute().cannot_send = true;
  scenario.run_until_completed();
  scenario.expect_done_in_time();
  cluster.run(cluster.base_settings.lease_s + 1);
  scenario.mute().cannot_send = false;
  cluster.run(5);
  EXPECT_TRUE(scenario.is_done());
  EXPECT_EQ(scenario.starts(0), 1);
  EXPECT_EQ(scenario.starts(1), 1);
  // Both machines serve the next job.
  cluster.submit(1, make_job("j-000002", JobKind::gang, 2, 8).spec);
  EXPECT_TRUE(wait_for(cluster, 10, [&] { return cluster.running_tasks("j-000002") == 2; }));
}

// The lease of the silent agent expires before the other machine reports the completion.
TEST(GangCompletion, IsKnownWhenTheReportComesAfterTheOtherLeaseHasExpired) {
  Scenario scenario;
  scenario.submit_and_run();
  scenario.mute().cannot_send = true;
  scenario.run_until_completed();
  scenario.mute().agent_epoch += 1;  // its lease is over and its tasks are forgotten
  scenario.mute().tasks.clear();
  scenario.mute().cannot_send = false;
  scenario.expect_done_in_time();
}

// A machine that is gone between the completion and its report.
TEST(GangCompletion, IsKnownWhenAMachineIsTakenBeforeItReports) {
  Scenario scenario;
  scenario.submit_and_run();
  scenario.mute().cannot_send = true;
  scenario.run_until_completed();
  scenario.mute().is_deleted = true;
  scenario.expect_done_in_time();
}

// One machine reports the completion to a leader that cannot store the outcome before it ends; the
// other machine hangs from the completion on.
TEST(GangCompletion, IsKnownToANewLeader) {
  Scenario scenario;
  auto& cluster = scenario.cluster;
  scenario.submit_and_run();
  scenario.run_until_completed();
  scenario.mute().is_hung = true;
  const int leader = cluster.leader();
  cluster.refused_by_state = {leader};
  cluster.run(1.5);
  EXPECT_FALSE(scenario.is_done());
  cluster.crash_node(leader);
  cluster.refused_by_state.clear();
  EXPECT_TRUE(wait_for(cluster, 10, [&] { return scenario.is_done(); }));
  EXPECT_EQ(scenario.starts(0), 1);
  EXPECT_EQ(scenario.starts(1), 1);
}

/// Stores the record of a gang of which one task is noted as done, as the version in production
/// writes it, while no controller runs. The job is known as accepted, and all its tasks completed.
void store_partly_done_gang(TestCluster& cluster, const std::string& record_tail) {
  for (int node = 0; node < cluster.nodes(); ++node) cluster.crash_node(node);
  const std::string text = to_json(Scenario::spec());
  const std::string record = R"({"job":)" + text + R"(,"at":1000,"n":1,"g":0,)" + record_tail;
  const auto body = wire::compare_and_swap_request({}, {{control::job_key(kGang), record, 0}});
  ASSERT_EQ(cluster.state_service.handle({"POST", "/txn", "", body, true}).status, 200);
  const auto submission = cluster.rules.on_request("POST", "/v1/jobs", text);
  cluster.rules.on_response(submission, 201, R"({"Stance":"queued"})", cluster.reactor.now());
  cluster.rules.on_gang_completed(kGang);
  for (int node = 0; node < cluster.nodes(); ++node) cluster.start_node(node);
}

// The version in production notes only the tasks whose exit was reported.
TEST(GangCompletion, IsKnownFromARecordThatNamesOneTaskAsDone) {
  const char* const record_tails[] = {
      R"("w":0,"d":[[0,1]],"p":[],"parts":0})",               // the other machine is gone
      R"("w":0,"d":[[0,1]],"p":[[1,1,"n-2"]],"parts":0})",    // it has not reported
      R"("w":0,"d":[[1,2]],"p":[[0,1,"n-404"]],"parts":0})",  // it is unknown
  };
  for (const char* record_tail : record_tails) {
    SCOPED_TRACE(record_tail);
    TestCluster cluster;
    cluster.run(1);
    store_partly_done_gang(cluster, record_tail);
    EXPECT_TRUE(wait_for(cluster, 10, [&] { return cluster.state_of(0, kGang) == "done"; }));
    EXPECT_TRUE(cluster.start_counts.empty());
  }
}

// A cancellation that was confirmed before stays the outcome.
TEST(GangCompletion, DoesNotReplaceAStoredCancellation) {
  TestCluster cluster;
  cluster.run(1);
  cluster.rules.on_request("POST", std::string("/v1/jobs/") + kGang + "/withdraw", "");
  store_partly_done_gang(cluster, R"("w":2000,"d":[[0,1]],"p":[],"parts":0})");
  for (int seconds = 0; seconds < 10; ++seconds) {
    cluster.run(1);
    EXPECT_EQ(cluster.state_of(seconds % 3, kGang), "withdrawn");
  }
}

// What was broken off is not done: the machine is lost while the gang runs.
TEST(GangCompletion, IsNotAssumedWhenAMachineIsLostDuringTheRun) {
  Scenario scenario;
  auto& cluster = scenario.cluster;
  scenario.submit_and_run();
  scenario.mute().is_deleted = true;
  cluster.add_worker();
  ASSERT_TRUE(
      wait_for(cluster, 60, [&] { return scenario.starts(0) == 2 && scenario.starts(1) == 2; }));
  EXPECT_FALSE(scenario.has_completed());
  EXPECT_FALSE(scenario.is_done());
  ASSERT_TRUE(wait_for(cluster, kRunS + 5, [&] { return scenario.has_completed(); }));
  scenario.expect_done_in_time();
}

// An agent that loses its lease during the run breaks the gang off, also when a completion would
// have been due before the leader knows.
TEST(GangCompletion, IsNotAssumedWhenALeaseExpiresDuringTheRun) {
  Scenario scenario;
  auto& cluster = scenario.cluster;
  cluster.run_s = 2 * cluster.base_settings.lease_s;
  scenario.submit_and_run();
  scenario.mute().cannot_send = true;
  cluster.run(cluster.base_settings.lease_s + 2);
  EXPECT_FALSE(scenario.has_completed());
  scenario.mute().cannot_send = false;
  ASSERT_TRUE(wait_for(cluster, 30, [&] { return cluster.running_tasks(kGang) == 2; }));
  EXPECT_EQ(scenario.starts(0), 2);
  EXPECT_FALSE(scenario.is_done());
  EXPECT_TRUE(wait_for(cluster, 40, [&] { return scenario.is_done(); }));
}

// No machine reports the completion: the gang runs again, and its stored results end it.
TEST(GangCompletion, IsReachedAgainWhenNoMachineReportsIt) {
  Scenario scenario;
  auto& cluster = scenario.cluster;
  scenario.submit_and_run();
  scenario.reporting().cannot_send = true;
  scenario.mute().cannot_send = true;
  scenario.run_until_completed();
  cluster.run(cluster.base_settings.lease_s + 1);
  EXPECT_FALSE(scenario.is_done());
  scenario.reporting().cannot_send = false;
  scenario.mute().cannot_send = false;
  EXPECT_TRUE(wait_for(cluster, 20, [&] { return scenario.is_done(); }));
}

// A cancellation around the completion, of which one machine never reports.
TEST(GangCompletion, HasOneOutcomeWithACancellation) {
  std::set<std::string> outcomes;
  for (int i = 0; i < 12; ++i) {
    Scenario scenario;
    auto& cluster = scenario.cluster;
    scenario.submit_and_run();
    scenario.mute().cannot_send = true;
    cluster.run(kRunS - 3 + 0.25 * i);
    const auto response =
        cluster.send_request(1, "POST", std::string("/v1/jobs/") + kGang + "/withdraw");
    EXPECT_EQ(response.status, 200);
    outcomes.insert(cluster.rules.outcome(kGang));
    for (int seconds = 0; seconds < 20; ++seconds) {
      cluster.run(1);
      EXPECT_EQ(cluster.state_of(seconds % 3, kGang), cluster.rules.outcome(kGang));
    }
    EXPECT_EQ(cluster.live_tasks(kGang), 0);
  }
  EXPECT_EQ(outcomes, (std::set<std::string>{"done", "withdrawn"}));
}

// The tasks of an array complete each by itself.
TEST(GangCompletion, IsNotThatOfAnArray) {
  Scenario scenario;
  auto& cluster = scenario.cluster;
  cluster.run_s_by_task[std::string(kGang) + "/0"] = 5;
  cluster.run_s_by_task[std::string(kGang) + "/1"] = 5 * kRunS;
  scenario.submit_and_run(JobKind::job_array);
  auto& holder = scenario.mute().tasks.contains(std::string(kGang) + "/0") ? scenario.mute()
                                                                           : scenario.reporting();
  holder.cannot_send = true;  // its completion is never reported
  ASSERT_TRUE(wait_for(cluster, 10, [&] { return cluster.rules.is_completed(kGang, 0); }));
  cluster.run(cluster.base_settings.lease_s + 2);
  EXPECT_FALSE(scenario.is_done());
  holder.cannot_send = false;
  EXPECT_TRUE(wait_for(cluster, 7 * kRunS, [&] { return scenario.is_done(); }));
  EXPECT_EQ(scenario.starts(1), 1);
}

// Replicas run until their job is cancelled, whatever becomes of the others.
TEST(GangCompletion, IsNotThatOfAService) {
  Scenario scenario;
  auto& cluster = scenario.cluster;
  cluster.run_s = 1000;
  scenario.submit_and_run(JobKind::service);
  scenario.mute().cannot_send = true;
  cluster.run(cluster.base_settings.lease_s + 2);
  scenario.mute().cannot_send = false;
  EXPECT_TRUE(wait_for(cluster, 20, [&] { return cluster.running_tasks(kGang) == 2; }));
  EXPECT_EQ(cluster.state_of(0, kGang), "running");
}

}  // namespace
}  // namespace cranklock::testing
