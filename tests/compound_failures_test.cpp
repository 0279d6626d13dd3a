// Scenarios of two troubles that meet. The rule checker of each cluster watches all rules; what a
// scenario asserts itself is that the trouble came about and that work is served afterwards.
#include <gtest/gtest.h>

#include <algorithm>

#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

wire::JobSpec spec(const std::string& id, std::uint32_t tasks = 2, JobKind kind = JobKind::service,
                   double gpus = 4, const std::string& team = "red") {
  return make_job(id, kind, tasks, gpus, team).spec;
}

/// Figures of a deployment, by ratio: reports, leases and cancellations are what the bounds hang
/// on.
base::Settings figures(double heartbeat_interval_s, double lease_s, double cancel_s) {
  auto s = small_settings();
  s.heartbeat_interval_s = heartbeat_interval_s;
  s.lease_s = lease_s;
  s.cancel_s = cancel_s;
  s.state_rps = 250;
  return s;
}
base::Settings long_reports() {
  return figures(3, 29, 49);
}
base::Settings long_cancels() {
  return figures(1, 10, 40);
}

std::vector<std::string> holders(const TestCluster& w, const std::string& job) {
  std::vector<std::string> out;
  for (const auto& [id, worker] : w.workers) {
    for (const auto& [task, t] : worker->tasks) {
      if (task.starts_with(job + "/") && t.state != wire::TaskState::exited) out.push_back(id);
    }
  }
  return out;
}

/// Crashes the leader, and starts it again after a while.
void change_leader(TestCluster& w, double back_s = 8) {
  const int old = w.leader();
  ASSERT_GE(old, 0);
  w.crash_node(old);
  w.run(back_s);
  w.start_node(old);
  w.run(0.2);
}

int other_than(const TestCluster& w, int node) {
  return (node + 1) % w.nodes();
}

// ---- the gap ----

enum class Refusal { ends_inside, ends_after, with_a_moment_of_service };

void play_gap(const base::Settings& settings, Refusal refusal) {
  TestCluster w(3, {"a", "a", "a"}, settings);
  w.run_s = 10'000;
  w.run(1);
  w.submit(0, spec("j-000001"));
  ASSERT_TRUE(wait_for(w, 60, [&] { return w.running("j-000001") == 2; }));
  w.run(10);
  const int leader = w.leader();
  w.refused_by_state = {leader};
  w.hanging_watches = {leader};
  w.run(0.5);
  w.cancel(other_than(w, leader), "j-000001");
  w.run(0.5);
  w.state_down = true;
  w.run(2);
  if (refusal != Refusal::ends_after) w.refused_by_state.clear();
  w.run(1);
  if (refusal == Refusal::with_a_moment_of_service) {
    // Renewals come through before the changes do.
    w.state_down = false;
    w.run(0.6 * control::LeaderLease::lease_life(settings));
    w.state_down = true;
  }
  w.run(settings.cancel_s);
  EXPECT_EQ(w.held("j-000001"), 0);
  w.run(5);
  w.state_down = false;
  w.hanging_watches.clear();
  w.run(5);
  w.refused_by_state.clear();
  w.run(0.5);  // a node that was refused notices
  w.submit(0, spec("j-000002", 1));
  EXPECT_TRUE(wait_for(w, 90, [&] { return w.running("j-000002") == 1; }));
  EXPECT_EQ(w.state_of(1, "j-000001"), "withdrawn");
}

// Guards against a leader whose leader lease is confirmed before its changes are: it would keep
// alive, through an outage longer than cancel_s, what was cancelled while it alone was refused.
TEST(TwoTroubles, TheGapWhoseRefusalEndsInsideTheOutage) {
  play_gap(long_reports(), Refusal::ends_inside);
  play_gap(long_cancels(), Refusal::ends_inside);
}
TEST(TwoTroubles, TheGapWhoseRefusalOutlastsTheOutage) {
  play_gap(long_reports(), Refusal::ends_after);
  play_gap(long_cancels(), Refusal::ends_after);
}
TEST(TwoTroubles, TheGapWithAMomentOfServiceInBetween) {
  play_gap(long_reports(), Refusal::with_a_moment_of_service);
  play_gap(long_cancels(), Refusal::with_a_moment_of_service);
}

// The bound itself, on the figures of both deployments and with every clock as far off as may be.
TEST(TwoTroubles, NoLeaseThatMayStillBeProlongedOutlastsACancellation) {
  for (const auto& s : {long_reports(), long_cancels(), figures(5, 29, 49), figures(4, 22, 52)}) {
    control::LeaderLease lease(s, 7, 100);
    EXPECT_FALSE(lease.may_respond(101));  // leading alone is not knowledge
    lease.caught_up(90);
    // A cancellation may have been confirmed from 90 on. A heartbeat that is answered at the last
    // moment was sent no later, and its lease is counted from there.
    const double last_answer = lease.may_respond_until() * (1 + 2 * base::kClockDrift);
    EXPECT_LT(last_answer + s.lease_s * (1 + 2 * base::kClockDrift), 90 + s.cancel_s);
    EXPECT_FALSE(lease.may_respond(lease.may_respond_until()));
    EXPECT_FALSE(lease.may_start(90 + control::LeaderLease::lease_life(s)));
    EXPECT_TRUE(lease.valid(101));
    lease.caught_up(100.5);
    EXPECT_TRUE(lease.may_start(101));
    lease.fell_behind();
    EXPECT_FALSE(lease.may_start(101));  // others may be cancelling
    EXPECT_TRUE(lease.may_respond(101));
    lease.caught_up(95);  // an answer that comes after a later one proves no less
    EXPECT_TRUE(lease.may_start(101));
  }
}

// ---- cancellations ----

// Guards against stops that wait until a transaction of the leader's is settled.
TEST(TwoTroubles, ACancellationIsActedOnWhileAWriteIsUnsettled) {
  TestCluster w;
  w.run_s = 1000;
  w.run(1);
  w.submit(0, spec("j-000001"));
  ASSERT_TRUE(wait_for(w, 20, [&] { return w.running("j-000001") == 2; }));
  const int other = other_than(w, w.leader());
  w.submit(other, spec("j-000002", 1));
  w.late_txns = 1;  // the leader's placement of it hangs
  w.run(0.2);
  w.late_txns = 0;
  w.cancel(other, "j-000001");
  w.run(0.5);
  EXPECT_EQ(w.held("j-000001"), 0);
}

TEST(TwoTroubles, JobsAreCancelledWhileTheirWorkChangesHands) {
  TestCluster w(3, {"a", "a", "a"});
  w.run_s = 1000;
  w.run(1);
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 4; ++i) w.submit(i % 3, spec(name(10 * round + i), 1));
    w.run(12);
    const int old = w.leader();
    ASSERT_GE(old, 0);
    w.crash_node(old);
    for (int i = 0; i < 4; ++i) {
      w.cancel(other_than(w, old), name(10 * round + i));
      w.run(1.1);  // before, while and after another takes over
    }
    w.start_node(old);
    ASSERT_TRUE(wait_for(w, 20, [&] { return w.leader() >= 0; }));
    w.run(4);
    for (int i = 0; i < 4; ++i) EXPECT_EQ(w.held(name(10 * round + i)), 0);
  }
}

/// A long lease, and a machine that hangs at the moment at which its job is cancelled.
struct HungWithCancelled : TestCluster {
  std::string on;
  HungWithCancelled() : TestCluster(3, {"a", "a", "a"}, figures(3, 44, 49)) {
    run_s = 1000;
    run(1);
    submit(0, spec("j-000001", 1));
    EXPECT_TRUE(wait_for(*this, 30, [&] { return running("j-000001") == 1; }));
    run(5);
    on = holders(*this, "j-000001").at(0);
    workers.at(on)->hangs = true;
    cancel(1, "j-000001");
  }
};

// Guards against a deletion that every change of leader puts off: the machine goes on before its
// lease ends, with a task that was cancelled long ago.
TEST(TwoTroubles, LeadersChangeWhileAHungMachineHoldsACancelledTask) {
  HungWithCancelled w;
  const double at = w.reactor.now();
  while (w.reactor.now() - at < w.base_settings.cancel_s * 0.85) {
    change_leader(w, 1);
    wait_for(w, 15, [&] { return w.leader() >= 0; });
    w.run(6);
  }
  EXPECT_TRUE(w.workers.at(w.on)->gone);
}

// Guards against a deletion that waits for a leader in an outage of the state service.
TEST(TwoTroubles, AHungMachineWithACancelledTaskIsDeletedInAStateOutageToo) {
  HungWithCancelled w;
  w.run(1);
  w.state_down = true;
  w.cloud_down = true;
  w.run(w.base_settings.cancel_s * 0.6);
  w.cloud_down = false;
  w.run(w.base_settings.cancel_s * 0.3);
  EXPECT_TRUE(w.workers.at(w.on)->gone);
}

// A start that is held up on its way comes after the cancellation, in the same agent epoch.
TEST(TwoTroubles, AStartHeldUpUntilAfterTheCancellationIsEndedInTime) {
  for (const bool leader_ends : {false, true}) {
    TestCluster w(3, {"a", "a", "a"});
    w.run_s = 1000;
    w.add_worker();
    w.run(3);
    auto& worker = *w.workers.at("n-1");
    worker.commands_late_s = 8;
    worker.cannot_send = true;
    w.submit(0, spec("j-000001", 1));
    w.run(1);
    w.cancel(1, "j-000001");
    worker.cannot_send = false;
    if (leader_ends) change_leader(w, 1);
    worker.commands_late_s = 0;
    w.run(w.base_settings.cancel_s - 2);
    EXPECT_EQ(w.held("j-000001"), 0);
    w.run(5);
  }
}

// The same, where the machine hangs with the command in hand and then goes on within its lease.
TEST(TwoTroubles, ACommandThatAHungMachineExecutesLateIsUndoneInTime) {
  for (const bool leader_ends : {false, true}) {
    TestCluster w(3, {"a", "a", "a"}, figures(3, 29, 49));
    w.run_s = 1000;
    w.add_worker();
    w.run(8);
    auto& worker = *w.workers.at("n-1");
    worker.hangs = true;
    w.submit(0, spec("j-000001", 1));
    w.run(1);
    EXPECT_EQ(worker.held.size(), 1u);
    w.cancel(1, "j-000001");
    if (leader_ends) change_leader(w, 1);
    w.run(15);
    w.wake(worker);
    w.run(w.base_settings.cancel_s - 18);
    EXPECT_EQ(w.held("j-000001"), 0);
    w.run(5);
  }
}

// ---- writes without answers ----

// Guards against an attempt number that is given to two machines: the record names one, the cluster
// state the other, and the task runs on both.
TEST(TwoTroubles, APlacementIsCarriedOutLateAfterANewerOne) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    TestCluster w;
    w.random.seed(seed);
    w.run(1);
    w.add_worker("a");
    w.add_worker("b");
    w.run(3);
    w.late_txns = 0.6;
    for (int i = 0; i < 4; ++i) w.add_user(spec(name(i), 2, JobKind::job_array, 2));
    w.run(40);
    w.late_txns = 0;
    EXPECT_TRUE(wait_for(w, 90, [&] { return all_over(w); })) << "seed " << seed;
  }
}

TEST(TwoTroubles, TransactionsAreCarriedOutAtOnceAndOnlyTheirAnswersAreLost) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    TestCluster w;
    w.random.seed(seed);
    w.run(1);
    w.lost_txns = 0.5;
    for (int i = 0; i < 8; ++i) {
      w.add_user(spec(name(i), 2, JobKind::job_array, 2),
                 {i % 3 == 0 ? 4.0 + i : -1, i % 3 == 1, true});
    }
    w.run(40);
    w.lost_txns = 0;
    EXPECT_TRUE(wait_for(w, 90, [&] { return all_over(w); })) << "seed " << seed;
  }
}

// Guards against room that is given away while a write that takes it may still be carried out: a
// team would be beyond its limit as soon as it is.
TEST(TwoTroubles, AnUnansweredPlacementKeepsItsRoomUntilItIsDecided) {
  TestCluster w;
  w.run_s = 1000;
  for (int i = 0; i < 5; ++i) w.add_worker();
  w.run(3);
  for (int round = 0; round < 3; ++round) {
    const auto first = name(2 * round), second = name(2 * round + 1);
    w.submit(0, spec(first, 4));  // all that the team may use
    w.late_txns = 1;
    w.run(0.2);
    w.late_txns = 0;
    auto urgent = spec(second, 4);  // placed first in the next pass
    urgent.priority = wire::Priority::production;
    w.add_user(urgent);
    w.run(14);  // by now it has been carried out, or can't be any more
    EXPECT_EQ(w.running(first) + w.running(second), 4);
    w.cancel(1, first);
    w.cancel(1, second);
    w.run(5);
  }
}

// Guards against ends told late, and against a budget of writes that one-task jobs use up.
TEST(TwoTroubles, OneTaskJobsComeFourASecondAndAQuarterIsCancelled) {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 200, 400}};
  settings.state_write_rps = 30;
  TestCluster w(5, {}, settings);
  w.state_service.limits_writes = true;
  w.run_s = 4;
  w.run(1);
  for (int i = 0; i < 8; ++i) w.add_worker();
  w.run(3);
  const int jobs = 4 * 90;
  std::map<std::string, double> ended;  // their tasks
  double latest = 0;
  for (int i = 0; i < jobs; ++i) {
    w.add_user(spec(name(i), 1, JobKind::job_array, 1),
               {i % 4 == 3 ? 2.0 + i % 3 : -1, false, false});
    w.run(0.25);
    for (int j = std::max(0, i - 200); j <= i; ++j) {
      const bool runs = w.starts.contains(name(j) + "/0") && w.running(name(j)) == 0;
      if (!runs || j % 4 == 3) continue;
      const auto at = ended.try_emplace(name(j), w.reactor.now()).first->second;
      if (w.state_service.values.contains("jobs/" + name(j)))
        latest = std::max(latest, w.reactor.now() - at);
    }
  }
  EXPECT_LT(latest, 3) << "a job is called done so late";
  EXPECT_TRUE(wait_for(w, 30, [&] { return all_over(w); }));
  EXPECT_EQ(w.state_service.refused_writes, 0);
  EXPECT_EQ(w.rules.accepted().size(), static_cast<std::size_t>(jobs));
}

// Guards against a cancelled job whose parts no leader can read: nobody would ever lead again.
TEST(TwoTroubles, AJobOfThousandsOfScatteredTasksIsCancelledAndTheLeaderEnds) {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 1000, 2000}};
  settings.state_write_rps = 400;
  settings.value_kb = 2;
  settings.txn_ops = 48;
  TestCluster w(3, {"a", "a", "a"}, settings);
  w.run(1);
  for (int i = 0; i < 40; ++i) w.add_worker();
  w.run(3);
  for (int i = 0; i < 4000; ++i) w.run_s_of["j-000001/" + std::to_string(i)] = i % 2 == 0 ? 3 : 60;
  w.submit(0, spec("j-000001", 4000, JobKind::job_array, 1));
  w.submit(1, spec("j-000002", 1, JobKind::job_array, 1));
  ASSERT_TRUE(wait_for(w, 60, [&] { return w.state_service.values.contains("parts/j-000001/0"); }));
  w.run(2);
  const int old = w.leader();
  w.crash_node(old);
  w.cancel(other_than(w, old), "j-000001");
  w.run(0.2);
  EXPECT_TRUE(w.state_service.values.contains("parts/j-000001/0"));
  EXPECT_TRUE(wait_for(w, 30, [&] { return w.leader() >= 0; }));
  w.run(10);
  EXPECT_EQ(w.held("j-000001"), 0);
  EXPECT_TRUE(wait_for(w, 60, [&] { return w.state_service.values.contains("ended/j-000001"); }));
  for (const auto& [key, value] : w.state_service.values)
    EXPECT_FALSE(key.starts_with("parts/j-000001/")) << key;
  w.submit(other_than(w, old), spec("j-000003", 1, JobKind::job_array, 1));
  EXPECT_TRUE(wait_for(w, 30, [&] {
    return w.state_of(1, "j-000003") == "done" || w.state_of(2, "j-000003") == "done";
  }));
}

// The same changes to a leader that stays: it reads the parts anew.
TEST(TwoTroubles, ALongJobIsCancelledUnderItsLeader) {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 1000, 2000}};
  settings.state_write_rps = 400;
  settings.value_kb = 2;
  settings.txn_ops = 48;
  TestCluster w(3, {}, settings);
  w.run_s = 60;
  w.run(1);
  for (int i = 0; i < 40; ++i) w.add_worker();
  w.run(3);
  w.submit(0, spec("j-000001", 4000, JobKind::job_array, 1));
  ASSERT_TRUE(wait_for(w, 60, [&] { return w.state_service.values.contains("parts/j-000001/0"); }));
  w.run(5);
  w.cancel(1, "j-000001");
  w.run(3);
  EXPECT_EQ(w.held("j-000001"), 0);
  EXPECT_TRUE(wait_for(w, 30, [&] { return w.state_service.values.contains("ended/j-000001"); }));
}

// ---- changes of leader ----

TEST(TwoTroubles, ControllersHandOverAndBackAllEndAndOneReturnsWithinASecond) {
  TestCluster w(3, {"a", "a", "a"});
  w.run_s = 8;
  w.run(1);
  for (int i = 0; i < 5; ++i)
    w.add_user(spec(name(i), 2, JobKind::job_array, 2), {-1, i == 2, true});
  w.run(6);
  for (int round = 0; round < 4; ++round) {
    const int old = std::max(w.leader(), 0);
    w.crash_node(old);
    w.run(0.3);
    w.start_node(old);
    w.run(0.7);
    for (int i = 0; i < 3; ++i) w.crash_node(i);
    w.run(0.2);
    w.start_node(round % 3);
    w.run(4);
    for (int i = 0; i < 3; ++i) {
      if (!w.is_up(i)) w.start_node(i);
    }
    w.run(1);
  }
  EXPECT_TRUE(wait_for(w, 90, [&] { return all_over(w); }));
}

TEST(TwoTroubles, LeadersChangeTenTimesInTwoMinutesAlsoInsideAnOutage) {
  for (const bool outage : {false, true}) {
    TestCluster w(3, {"a", "a", "a"});
    w.run_s = 30;
    w.run(1);
    for (int i = 0; i < 4; ++i) {
      w.add_user(spec(name(i), 2, JobKind::job_array, 2), {i == 1 ? 60.0 : -1, false, false});
    }
    for (int change = 0; change < 10; ++change) {
      w.run(9);
      w.state_down = outage && (change == 3 || change == 4);
      const int old = w.leader() >= 0 ? w.leader() : change % 3;
      w.crash_node(old);
      w.run(1 + change % 3);
      w.start_node(old);
    }
    w.state_down = false;
    EXPECT_TRUE(wait_for(w, 150, [&] { return all_over(w); }));
  }
}

TEST(TwoTroubles, JobsOfFewTasksThatEndFarApartKeepWhatIsDone) {
  TestCluster w(3, {"a", "a", "a"});
  w.run(1);
  w.run_s_of = {{"j-000001/0", 3}, {"j-000001/1", 25}, {"j-000001/2", 50}};
  w.submit(0, spec("j-000001", 3, JobKind::job_array, 4));
  ASSERT_TRUE(wait_for(w, 20, [&] { return w.running("j-000001") == 3; }));
  w.run(3.2);
  change_leader(w, 4);  // just as the first has ended
  w.run(15);
  change_leader(w, 4);
  EXPECT_TRUE(wait_for(w, 60, [&] { return w.state_of(0, "j-000001") == "done"; }));
  for (int i = 0; i < 3; ++i) EXPECT_EQ(w.starts["j-000001/" + std::to_string(i)], 1);
}

TEST(TwoTroubles, AllControllersAreAwayForLongerThanALease) {
  TestCluster w(3, {"a", "a", "a"});
  w.run_s = 40;
  w.run(1);
  w.submit(0, spec("j-000001"));
  w.submit(0, spec("j-000002", 1));
  w.run(10);
  w.cancel(1, "j-000002");
  for (int i = 0; i < 3; ++i) w.crash_node(i);
  w.run(w.base_settings.lease_s * 1.5);
  EXPECT_EQ(w.held("j-000001"), 0);
  for (int i = 0; i < 3; ++i) w.start_node(i);
  EXPECT_TRUE(wait_for(w, 30, [&] { return w.running("j-000001") == 2; }));
  EXPECT_EQ(w.held("j-000002"), 0);
}

TEST(TwoTroubles, TheLeaderEndsWhileMachinesWithLongTasksAreCutOffOrDeaf) {
  for (const bool cannot_receive : {false, true}) {
    TestCluster w(3, {"a", "a", "a"});
    w.run_s = 100;
    w.run(1);
    w.submit(0, spec("j-000001", 2));
    w.submit(0, spec("j-000002", 2));
    ASSERT_TRUE(
        wait_for(w, 20, [&] { return w.running("j-000001") + w.running("j-000002") == 4; }));
    const auto on = holders(w, "j-000001").at(0);
    auto& worker = *w.workers.at(on);
    (cannot_receive ? worker.cannot_receive : worker.hangs) = true;
    w.run(1);
    change_leader(w, 4);
    w.cancel(0, "j-000002");
    w.run(w.base_settings.lease_s * 0.3);
    worker.cannot_receive = false;
    if (!cannot_receive) w.wake(worker);
    EXPECT_TRUE(wait_for(w, 90, [&] { return w.running("j-000001") == 2; }));
  }
}

// ---- reports ----

// Guards against what a heartbeat from before the leadership would say of machines that are gone,
// or of an earlier agent epoch or attempt.
TEST(TwoTroubles, OldReportsReachEveryControllerJustAsANewLeaderBegins) {
  for (const double kept_s : {0.0, 3.0}) {
    TestCluster w(3, {"a", "a", "a"});
    w.run_s = 1000;
    w.keeps_heartbeats = true;
    w.kept_s = kept_s;
    w.run(1);
    w.submit(0, spec("j-000001"));
    w.add_worker("a");  // there is room that is not needed, and is returned
    w.add_worker("b");
    w.run(8);
    for (int round = 0; round < 3; ++round) {
      // Sessions end, and the same attempts begin again in the next.
      for (auto& [id, worker] : w.workers) worker->cannot_send = worker->cannot_send || round == 1;
      w.run(round == 1 ? w.base_settings.lease_s + 2 : 1);
      for (auto& [id, worker] : w.workers) worker->cannot_send = false;
      w.run(4);
      change_leader(w, 5);
      w.submit(0, spec(name(round), 1, JobKind::service, 2, "blue"));
      EXPECT_TRUE(wait_for(w, 30, [&] { return w.running(name(round)) == 1; })) << round;
    }
    EXPECT_TRUE(wait_for(w, 60, [&] { return w.running("j-000001") == 2; }));
  }
}

TEST(TwoTroubles, NothingIsPlacedOnAMachineThatOnlyAnOldReportShows) {
  TestCluster w(3, {"a", "a", "a"});
  w.run_s = 1000;
  w.add_worker("a");
  w.keeps_heartbeats = true;
  w.run(3);
  w.workers.at("n-1")->hangs = w.workers.at("n-1")->gone = true;  // given back by the former leader
  change_leader(w, 5);
  w.submit(0, spec("j-000001"));
  EXPECT_TRUE(wait_for(w, 12, [&] { return w.running("j-000001") == 2; }));
}

TEST(TwoTroubles, OldReportsArriveAfterNewerOnesAndFromEarlierSessions) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    TestCluster w(3, {"a", "a", "a"});
    w.random.seed(seed);
    w.late_heartbeats = 0.5;
    w.run_s = 12;
    w.run(1);
    for (int i = 0; i < 4; ++i)
      w.add_user(spec(name(i), 2, JobKind::job_array, 4), {-1, i == 0, false});
    w.run(10);
    for (auto& [id, worker] : w.workers) worker->cannot_send = true;
    w.run(w.base_settings.lease_s + 1);
    for (auto& [id, worker] : w.workers) worker->cannot_send = false;
    w.run(6);
    change_leader(w, 3);
    EXPECT_TRUE(wait_for(w, 120, [&] { return all_over(w); })) << "seed " << seed;
  }
}

TEST(TwoTroubles, WorkersReachNoControllerWhileCommandsReachThem) {
  TestCluster w(3, {"a", "a", "a"});
  w.run_s = 1000;
  w.run(1);
  w.submit(0, spec("j-000001"));
  w.submit(0, spec("j-000002"));
  ASSERT_TRUE(wait_for(w, 20, [&] { return w.running("j-000001") + w.running("j-000002") == 4; }));
  for (auto& [id, worker] : w.workers) worker->cannot_send = true;
  w.cancel(1, "j-000001");
  w.run(1);
  EXPECT_EQ(w.held("j-000001"), 0);  // told directly
  w.run(w.base_settings.lease_s + 5);
  for (auto& [id, worker] : w.workers) worker->cannot_send = false;
  EXPECT_TRUE(wait_for(w, 60, [&] { return w.running("j-000002") == 2; }));
}

// ---- limits and zones ----

TEST(TwoTroubles, EveryTeamIsAtItsLimitWhileJobsOnLostMachinesAreCancelledAndTheLeaderChanges) {
  for (const bool hang : {true, false}) {
    TestCluster w(3, {"a", "a", "b"});
    w.run_s = 1000;
    w.run(1);
    int next = 0;
    for (const char* team : {"red", "blue"}) {
      for (int i = 0; i < 2; ++i) w.submit(0, spec(name(next++), 2, JobKind::service, 4, team));
    }
    ASSERT_TRUE(wait_for(w, 30, [&] {
      int n = 0;
      for (int i = 0; i < 4; ++i) n += w.running(name(i));
      return n == 8;
    }));
    for (const char* team : {"red", "blue"})
      w.submit(0, spec(name(next++), 2, JobKind::service, 4, team));
    // Cancelled on machines that can't be asked; their room is waited for.
    std::vector<std::string> lost = holders(w, name(0));
    for (const auto& id : holders(w, name(2))) lost.push_back(id);
    for (const auto& id : lost)
      (hang ? w.workers.at(id)->hangs : w.workers.at(id)->cannot_receive) = true;
    w.cancel(0, name(0));
    w.cancel(1, name(2));
    w.run(2);
    change_leader(w, 4);
    w.run(6);
    if (w.leader() >= 0) change_leader(w, 1);
    w.run(4);
    for (const auto& id : lost) {
      w.workers.at(id)->cannot_receive = false;
      if (hang) w.wake(*w.workers.at(id));
    }
    EXPECT_TRUE(wait_for(w, 90, [&] { return w.running(name(4)) + w.running(name(5)) == 4; }));
  }
}

TEST(TwoTroubles, NewMachinesGetWorkAtOnceWhileWritesLagAndTheLeaderEnds) {
  for (unsigned seed = 1; seed <= 8; ++seed) {
    TestCluster w(3, {"a", "a", "a"});
    w.random.seed(seed);
    w.unlisted_s = 8;
    w.run_s = 15;
    w.run(1);
    w.late_txns = 0.3;
    for (int i = 0; i < 6; ++i) {
      w.add_user(spec(name(i), 2, JobKind::job_array, 4, i % 2 == 0 ? "red" : "blue"),
                 {i == 3 ? 10.0 : -1, false, false});
    }
    w.run(6 + seed % 4);
    if (w.leader() >= 0) change_leader(w, 2);
    w.run(10);
    w.late_txns = 0;
    EXPECT_TRUE(wait_for(w, 150, [&] { return all_over(w); })) << "seed " << seed;
  }
}

TEST(TwoTroubles, JobsBoundToOneZoneLoseMachinesThatComeBack) {
  for (const auto kind : {JobKind::job_array, JobKind::service}) {
    TestCluster w(3, {"a", "a", "a"});
    w.run_s = kind == JobKind::job_array ? 60 : 1000;
    w.run(1);
    for (const char* zone : {"a", "b"}) w.add_worker(zone);
    w.run(3);
    auto s = spec("j-000001", 4, kind, 4);
    s.one_zone = true;
    w.submit(0, s);
    ASSERT_TRUE(wait_for(w, 20, [&] { return w.running("j-000001") == 4; }));
    w.run(5);
    const auto on = holders(w, "j-000001");
    auto& lost = *w.workers.at(on.at(0));
    const std::string zone = lost.kind.zone;
    for (auto& [id, worker] : w.workers) {
      if (worker->kind.zone == zone && (kind == JobKind::service || id == lost.id))
        worker->hangs = true;
    }
    w.run(3);
    change_leader(w, 3);
    w.run(w.base_settings.lease_s * 2.5);
    for (auto& [id, worker] : w.workers) {
      if (worker->hangs) w.wake(*worker);
    }
    EXPECT_TRUE(wait_for(w, 120, [&] {
      return kind == JobKind::job_array ? w.state_of(0, "j-000001") == "done"
                                        : w.running("j-000001") == 4;
    }));
  }
}

// ---- cuts ----

TEST(TwoTroubles, ALeaderWithoutStateServiceAndPeersIsStillReachedByWorkersAndUsers) {
  for (const auto& settings : {long_reports(), long_cancels()}) {
    TestCluster w(3, {"a", "a", "a"}, settings);
    w.run_s = 1000;
    w.run(1);
    for (int i = 0; i < 3; ++i) w.submit(i, spec(name(i), 1));
    ASSERT_TRUE(wait_for(
        w, 40, [&] { return w.running(name(0)) + w.running(name(1)) + w.running(name(2)) == 3; }));
    const int old = w.leader();
    w.cut_from_state = {old};
    w.cut_from_peers = {old};
    w.run(1);
    w.cancel(other_than(w, old), name(0));  // as soon as it is cut
    ASSERT_TRUE(wait_for(w, 30, [&] { return w.leader() >= 0 && w.leader() != old; }));
    w.run(1);
    w.cancel(w.leader(), name(1));
    const double asked = w.reactor.now();
    EXPECT_EQ(w.ask(old, "GET", "/v1/jobs/" + name(1)).status, 503);
    EXPECT_EQ(w.ask(old, "POST", "/v1/jobs/" + name(1) + "/withdraw").status, 503);
    EXPECT_LT(w.reactor.now() - asked, 0.1);  // at once, though nothing answers it
    w.run(settings.cancel_s + 5);
    EXPECT_EQ(w.held(name(0)) + w.held(name(1)), 0);
    w.cut_from_state.clear();
    w.cut_from_peers.clear();
    w.run(10);
    EXPECT_EQ(w.state_of(old, name(1)), "withdrawn");
    EXPECT_TRUE(wait_for(w, 60, [&] { return w.running(name(2)) == 1; }));
  }
}

TEST(TwoTroubles, AZoneWithWorkersAndAControllerIsCutOffForLongerThanALease) {
  TestCluster w(3, {"a", "a", "b"});
  w.run_s = 1000;
  w.run(1);
  for (int i = 0; i < 2; ++i) {
    auto s = spec(name(i), 2);
    s.zone = "b";
    w.submit(0, s);
  }
  ASSERT_TRUE(wait_for(w, 30, [&] { return w.running(name(0)) + w.running(name(1)) == 4; }));
  w.cut_zones = {"b"};
  w.run(1);
  w.cancel(w.leader() == 0 ? 1 : 0, name(0));
  if (w.leader() < 2) change_leader(w, 3);
  w.run(w.base_settings.cancel_s);
  EXPECT_EQ(w.held(name(0)), 0);
  w.cut_zones.clear();
  EXPECT_TRUE(wait_for(w, 90, [&] { return w.running(name(1)) == 2; }));
}

TEST(TwoTroubles, TheStateServiceIsSlowOrRefusesTheLeaderAndThenEverybodyWhileUsersCancelAndAsk) {
  for (const bool slow : {true, false}) {
    TestCluster w(3, {"a", "a", "a"}, long_reports());
    w.run_s = 200;
    w.run(1);
    for (int i = 0; i < 6; ++i) {
      w.add_user(spec(name(i), 1, JobKind::service, 2), {20.0 + 4 * i, false, i % 2 == 0});
    }
    w.run(20);
    if (slow) w.state_slow_s = 0.6;
    if (!slow && w.leader() >= 0) w.refused_by_state = {w.leader()};
    w.run(8);
    w.state_down = true;
    w.refused_by_state.clear();
    w.run(w.base_settings.cancel_s + 10);
    w.state_down = false;
    w.state_slow_s = 0;
    EXPECT_TRUE(wait_for(w, 90, [&] { return all_over(w); }));
  }
}

// ---- users ----

TEST(TwoTroubles, UsersAskAtAllNodesAndRepeatWithinMillisecondsAfterEachNews) {
  for (const double lost : {0.0, 0.4}) {
    for (const double late : {0.0, 0.3}) {
      TestCluster w;
      w.random.seed(7);
      w.run(1);
      w.lost_txns = lost;
      w.late_txns = late;
      w.state_service.limits_writes = true;
      for (int i = 0; i < 9; ++i) {
        w.add_user(spec(name(i), 1 + i % 2, JobKind::job_array, 2),
                   {i % 3 == 0 ? 0.2 * i : -1, i % 3 == 1, true});
        w.run(0.5);
      }
      w.run(30);
      w.lost_txns = w.late_txns = 0;
      EXPECT_TRUE(wait_for(w, 90, [&] { return all_over(w); }));
    }
  }
}

// Guards against a refusal for good by a node that learns the machine types while it looks the job
// up.
TEST(TwoTroubles, ASubmissionMeetsANodeThatHasJustStarted) {
  TestCluster w;
  w.run(2);
  const int node = other_than(w, w.leader());
  w.crash_node(node);
  w.start_node(node);
  wire::JsonWriter text;
  wire::write_job(text, spec("j-000001"));
  const auto response = w.ask(node, "POST", "/v1/jobs", text.take());
  EXPECT_EQ(response.status, 503);
  EXPECT_GT(response.retry_after_s, 0);
  w.run(0.5);
  w.submit(node, spec("j-000001"));
}

TEST(TwoTroubles, ACancellationMeetsTheEndOfTheLastTask) {
  int done = 0, cancelled = 0;
  for (int moment = 0; moment < 16; ++moment) {
    TestCluster w;
    w.run(1);
    w.submit(0, spec("j-000001", 1, JobKind::job_array));
    ASSERT_TRUE(wait_for(w, 20, [&] { return w.running("j-000001") == 1; }));
    w.run(w.run_s - 0.5 + 0.15 * moment);
    const auto other = other_than(w, w.leader());
    EXPECT_EQ(w.ask(other, "POST", "/v1/jobs/j-000001/withdraw").status, 200);
    for (int node = 0; node < 3; ++node) {
      EXPECT_EQ(w.state_of(node, "j-000001"), w.rules.outcome("j-000001"));
    }
    w.run(5);
    for (int node = 0; node < 3; ++node) {
      EXPECT_EQ(w.state_of(node, "j-000001"), w.rules.outcome("j-000001"));
    }
    (w.rules.outcome("j-000001") == "done" ? done : cancelled) += 1;
  }
  EXPECT_GT(done, 0);
  EXPECT_GT(cancelled, 0);
}

TEST(TwoTroubles, ThereIsMoreWorkThanRoomUrgentAndNotOverSlowLinks) {
  TestCluster w(3, {"a", "a", "a"});
  w.state_slow_s = 0.4;
  w.run_s = 12;
  w.run(1);
  for (int i = 0; i < 10; ++i) {
    auto s = spec(name(i), 2, JobKind::job_array, 4, i % 2 == 0 ? "red" : "blue");
    s.priority = wire::Priority::best_effort;
    w.add_user(s);
  }
  w.run(10);
  auto urgent = spec("j-000001", 2, JobKind::service, 4, "red");
  urgent.priority = wire::Priority::production;
  w.add_user(urgent);
  EXPECT_TRUE(wait_for(w, 25, [&] { return w.running("j-000001") == 2; }));
  EXPECT_TRUE(wait_for(w, 200, [&] {
    int over = 0;
    for (int i = 0; i < 10; ++i) over += w.rules.outcome(name(i)) == "done" ? 1 : 0;
    return over == 10;
  }));
}

}  // namespace
}  // namespace cranklock::testing
