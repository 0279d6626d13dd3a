// Proves that the rule checker of every cluster notices each broken rule: each of these clusters
// breaks one.
#include <gtest/gtest.h>

#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

using wire::ExitReason;
using wire::TaskState;

wire::JobSpec spec(const std::string& id, std::uint32_t tasks = 1) {
  return make_job(id, wire::JobKind::service, tasks, 4).spec;
}

/// A cluster with one job that runs on a machine of zone a, and another machine beside it.
struct Broken : TestCluster {
  explicit Broken(const std::string& rule) : TestCluster(3) {
    expected_broken = {rule};
    run_s = 1000;
    add_worker("a");
    add_worker("b");
    run(3);
    auto s = spec("j-000001");
    s.zone = "a";
    submit(0, s);
    s = spec("j-000009");
    s.zone = "b";  // so that both machines are kept
    submit(0, s);
    run(4);
  }
  Worker& beside() { return *workers.at("n-2"); }
  void smuggle(Worker& to, const std::string& task) {
    to.tasks[task] = {99, TaskState::fetching, ExitReason::none, reactor.now() - 1};
  }
};

TEST(RuleChecker, NoticesATaskThatStartsWhileItIsElsewhere) {
  Broken w("ran_twice");
  w.expected_broken.insert("wrong_place");  // the other machine is in another zone
  w.smuggle(w.beside(), "j-000001/0");
  w.run(0.5);
}

TEST(RuleChecker, NoticesAStartInAZoneThatTheJobDoesNotAllow) {
  Broken w("wrong_place");
  auto s = spec("j-000002");
  s.zone = "a";
  w.workers.at("n-1")->is_hung = true;
  w.submit(0, s);
  w.smuggle(w.beside(), "j-000002/0");
  w.run(0.5);
}

TEST(RuleChecker, NoticesOneZoneAndApartBroken) {
  for (const bool one_zone : {true, false}) {
    Broken w("wrong_place");
    auto s = spec("j-000002", 2);
    s.resources = {1, 1, 8};
    s.one_zone = one_zone;
    s.spread = !one_zone;
    w.submit(0, s);
    w.run(5);
    ASSERT_GE(w.running("j-000002"), 1);
    // The task that is in the other zone, or in none yet, comes to be where the first one is not,
    // or is.
    std::string here, first, second;
    for (auto& [id, worker] : w.workers) {
      for (const char* task : {"j-000002/0", "j-000002/1"}) {
        if (!worker->tasks.contains(task) || !first.empty()) continue;
        first = task;
        here = worker->kind.zone;
      }
    }
    second = first.ends_with("0") ? "j-000002/1" : "j-000002/0";
    for (auto& [id, worker] : w.workers) {
      if ((worker->kind.zone == here) != one_zone) w.smuggle(*worker, second);
    }
    if (w.running("j-000002") == 2) w.expected_broken.insert("ran_twice");
    w.run(0.5);
  }
}

TEST(RuleChecker, NoticesATeamBeyondItsLimit) {
  Broken w("quota");
  w.run(1);
  w.submit(0, spec("j-000002", 4));
  for (int i = 0; i < 4; ++i) w.smuggle(w.beside(), "j-000002/" + std::to_string(i));
  w.run(0.5);
}

TEST(RuleChecker, NoticesACancelledTaskThatIsStillThere) {
  Broken w("ran_cancelled");
  w.cancel(1, "j-000001");
  w.run(w.base_settings.cancel_s + 1);
  w.beside().cannot_send = true;  // or it would be told to stop
  w.smuggle(w.beside(), "j-000001/0");
  w.expected_broken.insert("wrong_place");
  w.run(1);
  EXPECT_EQ(w.rules.late_starts, 0);
  w.rules.on_start_command("j-000001", w.reactor.now());
  EXPECT_EQ(w.rules.late_starts, 1);
}

TEST(RuleChecker, NoticesAnAcceptedJobThatIsForgottenOrRefused) {
  for (const bool asks : {true, false}) {
    Broken w("forgotten");
    w.state_service.values.erase("jobs/j-000001");
    if (asks) {
      EXPECT_EQ(w.ask(1, "GET", "/v1/jobs/j-000001").status, 404);
    } else {
      EXPECT_EQ(w.ask(1, "POST", "/v1/jobs", R"({"Id":"j-000001"})").status, 400);
    }
  }
}

TEST(RuleChecker, NoticesAJobThatNobodySubmitted) {
  Broken w("invented");
  w.state_service.values["ended/j-000777"] = {R"({"s":"done","n":1})", 1, 0};
  EXPECT_EQ(w.ask(1, "GET", "/v1/jobs/j-000777").status, 200);
}

TEST(RuleChecker, NoticesAJobThatIsCalledDoneTooEarly) {
  Broken w("not_done");
  w.state_service.values.erase("jobs/j-000001");
  w.state_service.values["ended/j-000001"] = {R"({"s":"done","n":1})", 1, 0};
  EXPECT_EQ(w.state_of(1, "j-000001"), "done");
}

TEST(RuleChecker, NoticesAnswersThatGoBack) {
  Broken w("went_back");
  const auto record = w.state_service.values.at("jobs/j-000001");
  w.cancel(1, "j-000001");
  w.run(5);
  ASSERT_TRUE(w.state_service.values.contains("ended/j-000001"));
  w.state_service.values.erase("ended/j-000001");
  w.state_service.values["jobs/j-000001"] = record;
  EXPECT_EQ(w.state_of(2, "j-000001"), "running");
}

TEST(RuleChecker, NoticesACancellationThatNobodyAskedFor) {
  Broken w("went_back");
  w.state_service.values.erase("jobs/j-000001");
  w.state_service.values["ended/j-000001"] = {R"({"s":"withdrawn","n":0})", 1, 0};
  EXPECT_EQ(w.state_of(1, "j-000001"), "withdrawn");
}

}  // namespace
}  // namespace cranklock::testing
