// Each test cluster here violates rules on purpose, and the rule checker must detect that.
// Violations of "too_early" and "orphaned" are not tested here.
#include <gtest/gtest.h>

#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

using wire::ExitReason;
using wire::TaskState;

wire::JobSpec spec(const std::string& id, std::uint32_t tasks = 1) {
  return make_job(id, wire::JobKind::service, tasks, 4).spec;
}

/// A cluster with a job that runs on a machine of zone a, and a second machine in zone b. Expects a
/// violation of the given rule.
struct BrokenCluster : TestCluster {
  explicit BrokenCluster(const std::string& rule) : TestCluster(3) {
    expected_violations = {rule};
    run_s = 1000;
    add_worker("a");
    add_worker("b");
    run(3);
    auto job_spec = spec("j-000001");
    job_spec.zone = "a";
    submit(0, job_spec);
    job_spec = spec("j-000009");
    job_spec.zone = "b";  // keeps the second machine in use, so that it isn't deleted
    submit(0, job_spec);
    run(4);
  }
  Worker& second_machine() { return *workers.at("n-2"); }
  void plant_task(Worker& to, const std::string& task) {
    to.tasks[task] = {99, TaskState::fetching, ExitReason::none, reactor.now() - 1};
  }
};

TEST(RuleChecker, DetectsATaskThatRunsOnTwoMachines) {
  BrokenCluster cluster("ran_twice");
  cluster.expected_violations.insert("wrong_place");  // the other machine is in another zone
  cluster.plant_task(cluster.second_machine(), "j-000001/0");
  cluster.run(0.5);
}

TEST(RuleChecker, DetectsAStartInAZoneThatTheJobDoesNotAllow) {
  BrokenCluster cluster("wrong_place");
  auto job_spec = spec("j-000002");
  job_spec.zone = "a";
  cluster.workers.at("n-1")->is_hung = true;
  cluster.submit(0, job_spec);
  cluster.plant_task(cluster.second_machine(), "j-000002/0");
  cluster.run(0.5);
}

TEST(RuleChecker, DetectsViolatedOneZoneAndSpreadConstraints) {
  for (const bool one_zone : {true, false}) {
    BrokenCluster cluster("wrong_place");
    auto job_spec = spec("j-000002", 2);
    job_spec.resources = {1, 1, 8};
    job_spec.one_zone = one_zone;
    job_spec.spread = !one_zone;
    cluster.submit(0, job_spec);
    cluster.run(5);
    ASSERT_GE(cluster.running_tasks("j-000002"), 1);
    // For one_zone, plants the second task on the machines of the other zone; for spread, on those
    // of the first task's zone.
    std::string zone_of_first, first, second;
    for (auto& [id, worker] : cluster.workers) {
      for (const char* task : {"j-000002/0", "j-000002/1"}) {
        if (!worker->tasks.contains(task) || !first.empty()) continue;
        first = task;
        zone_of_first = worker->kind.zone;
      }
    }
    second = first.ends_with("0") ? "j-000002/1" : "j-000002/0";
    for (auto& [id, worker] : cluster.workers) {
      if ((worker->kind.zone == zone_of_first) != one_zone) cluster.plant_task(*worker, second);
    }
    if (cluster.running_tasks("j-000002") == 2) cluster.expected_violations.insert("ran_twice");
    cluster.run(0.5);
  }
}

TEST(RuleChecker, DetectsATeamAboveItsQuota) {
  BrokenCluster cluster("quota");
  cluster.run(1);
  cluster.submit(0, spec("j-000002", 4));
  for (int i = 0; i < 4; ++i)
    cluster.plant_task(cluster.second_machine(), "j-000002/" + std::to_string(i));
  cluster.run(0.5);
}

TEST(RuleChecker, DetectsACancelledTaskThatStillRuns) {
  BrokenCluster cluster("ran_cancelled");
  cluster.cancel(1, "j-000001");
  cluster.run(cluster.base_settings.cancel_s + 1);
  cluster.second_machine().cannot_send = true;  // otherwise the leader would stop the task
  cluster.plant_task(cluster.second_machine(), "j-000001/0");
  cluster.expected_violations.insert("wrong_place");
  cluster.run(1);
  EXPECT_EQ(cluster.rules.late_starts, 0);
  cluster.rules.on_start_command("j-000001", cluster.reactor.now());
  EXPECT_EQ(cluster.rules.late_starts, 1);
}

TEST(RuleChecker, DetectsAnAcceptedJobThatIsForgottenOrRefused) {
  for (const bool queries : {true, false}) {
    BrokenCluster cluster("forgotten");
    cluster.state_service.values.erase("jobs/j-000001");
    if (queries) {
      EXPECT_EQ(cluster.send_request(1, "GET", "/v1/jobs/j-000001").status, 404);
    } else {
      EXPECT_EQ(cluster.send_request(1, "POST", "/v1/jobs", R"({"Id":"j-000001"})").status, 400);
    }
  }
}

TEST(RuleChecker, DetectsAJobThatWasNeverSubmitted) {
  BrokenCluster cluster("invented");
  cluster.state_service.values["ended/j-000777"] = {R"({"s":"done","n":1})", 1, 0};
  EXPECT_EQ(cluster.send_request(1, "GET", "/v1/jobs/j-000777").status, 200);
}

TEST(RuleChecker, DetectsAJobReportedDoneTooEarly) {
  BrokenCluster cluster("not_done");
  cluster.state_service.values.erase("jobs/j-000001");
  cluster.state_service.values["ended/j-000001"] = {R"({"s":"done","n":1})", 1, 0};
  EXPECT_EQ(cluster.state_of(1, "j-000001"), "done");
}

TEST(RuleChecker, DetectsStatesThatGoBack) {
  BrokenCluster cluster("went_back");
  const auto record = cluster.state_service.values.at("jobs/j-000001");
  cluster.cancel(1, "j-000001");
  cluster.run(5);
  ASSERT_TRUE(cluster.state_service.values.contains("ended/j-000001"));
  cluster.state_service.values.erase("ended/j-000001");
  cluster.state_service.values["jobs/j-000001"] = record;
  EXPECT_EQ(cluster.state_of(2, "j-000001"), "running");
}

TEST(RuleChecker, DetectsACancellationWithoutARequest) {
  BrokenCluster cluster("went_back");
  cluster.state_service.values.erase("jobs/j-000001");
  cluster.state_service.values["ended/j-000001"] = {R"({"s":"withdrawn","n":0})", 1, 0};
  EXPECT_EQ(cluster.state_of(1, "j-000001"), "withdrawn");
}

}  // namespace
}  // namespace cranklock::testing
