// Scenarios of two failures that meet. The rule checker of each cluster watches all rules; what a
// scenario asserts itself is that the failure came about and that work is served afterwards.
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

/// Figures of a deployment, by ratio: heartbeats, leases and cancellations are what the bounds hang
/// on.
base::Settings settings_with_intervals(double heartbeat_interval_s, double lease_s,
                                       double cancel_s) {
  auto s = small_settings();
  s.heartbeat_interval_s = heartbeat_interval_s;
  s.lease_s = lease_s;
  s.cancel_s = cancel_s;
  s.state_rps = 250;
  return s;
}
base::Settings long_heartbeat_interval() {
  return settings_with_intervals(3, 29, 49);
}
base::Settings long_cancellation() {
  return settings_with_intervals(1, 10, 40);
}

std::vector<std::string> holders(const TestCluster& cluster, const std::string& job) {
  std::vector<std::string> machines;
  for (const auto& [id, worker] : cluster.workers) {
    for (const auto& [task, t] : worker->tasks) {
      if (task.starts_with(job + "/") && t.state != wire::TaskState::exited) machines.push_back(id);
    }
  }
  return machines;
}

/// Crashes the leader, and starts it again after a while.
void change_leader(TestCluster& cluster, double back_s = 8) {
  const int old = cluster.leader();
  ASSERT_GE(old, 0);
  cluster.crash_node(old);
  cluster.run(back_s);
  cluster.start_node(old);
  cluster.run(0.2);
}

int other_than(const TestCluster& cluster, int node) {
  return (node + 1) % cluster.nodes();
}

// ---- the gap ----

enum class Refusal { ends_inside, ends_after, with_a_moment_of_service };

void play_gap(const base::Settings& settings, Refusal refusal) {
  TestCluster cluster(3, {"a", "a", "a"}, settings);
  cluster.run_s = 10'000;
  cluster.run(1);
  cluster.submit(0, spec("j-000001"));
  ASSERT_TRUE(wait_for(cluster, 60, [&] { return cluster.running("j-000001") == 2; }));
  cluster.run(10);
  const int leader = cluster.leader();
  cluster.refused_by_state = {leader};
  cluster.hanging_watches = {leader};
  cluster.run(0.5);
  cluster.cancel(other_than(cluster, leader), "j-000001");
  cluster.run(0.5);
  cluster.state_down = true;
  cluster.run(2);
  if (refusal != Refusal::ends_after) cluster.refused_by_state.clear();
  cluster.run(1);
  if (refusal == Refusal::with_a_moment_of_service) {
    // Renewals come through before the changes do.
    cluster.state_down = false;
    cluster.run(0.6 * control::LeaderLease::lease_ttl_s(settings));
    cluster.state_down = true;
  }
  cluster.run(settings.cancel_s);
  EXPECT_EQ(cluster.live_tasks("j-000001"), 0);
  cluster.run(5);
  cluster.state_down = false;
  cluster.hanging_watches.clear();
  cluster.run(5);
  cluster.refused_by_state.clear();
  cluster.run(0.5);  // a node that was refused notices
  cluster.submit(0, spec("j-000002", 1));
  EXPECT_TRUE(wait_for(cluster, 90, [&] { return cluster.running("j-000002") == 1; }));
  EXPECT_EQ(cluster.state_of(1, "j-000001"), "withdrawn");
}

// Guards against a leader whose leader lease is confirmed before its changes are: it would keep
// alive, through an outage longer than cancel_s, what was cancelled while it alone was refused.
TEST(CompoundFailures, TheGapWhoseRefusalEndsInsideTheOutage) {
  play_gap(long_heartbeat_interval(), Refusal::ends_inside);
  play_gap(long_cancellation(), Refusal::ends_inside);
}
TEST(CompoundFailures, TheGapWhoseRefusalOutlastsTheOutage) {
  play_gap(long_heartbeat_interval(), Refusal::ends_after);
  play_gap(long_cancellation(), Refusal::ends_after);
}
TEST(CompoundFailures, TheGapWithAMomentOfServiceInBetween) {
  play_gap(long_heartbeat_interval(), Refusal::with_a_moment_of_service);
  play_gap(long_cancellation(), Refusal::with_a_moment_of_service);
}

// The bound itself, on the figures of both deployments and with every clock as far off as may be.
TEST(CompoundFailures, NoLeaseThatMayStillBeProlongedOutlastsACancellation) {
  for (const auto& s : {long_heartbeat_interval(), long_cancellation(),
                        settings_with_intervals(5, 29, 49), settings_with_intervals(4, 22, 52)}) {
    control::LeaderLease lease(s, 7, 100);
    EXPECT_FALSE(lease.may_respond(101));  // leading alone is not knowledge
    lease.mark_caught_up(90);
    // A cancellation may have been confirmed from 90 on. A heartbeat that is answered at the last
    // moment was sent no later, and its lease is counted from there.
    const double last_answer = lease.may_respond_until() * (1 + 2 * base::kMaxClockDrift);
    EXPECT_LT(last_answer + s.lease_s * (1 + 2 * base::kMaxClockDrift), 90 + s.cancel_s);
    EXPECT_FALSE(lease.may_respond(lease.may_respond_until()));
    EXPECT_FALSE(lease.may_start(90 + control::LeaderLease::lease_ttl_s(s)));
    EXPECT_TRUE(lease.valid(101));
    lease.mark_caught_up(100.5);
    EXPECT_TRUE(lease.may_start(101));
    lease.mark_behind();
    EXPECT_FALSE(lease.may_start(101));  // others may be cancelling
    EXPECT_TRUE(lease.may_respond(101));
    lease.mark_caught_up(95);  // an answer that comes after a later one proves no less
    EXPECT_TRUE(lease.may_start(101));
  }
}

// ---- cancellations ----

// Guards against stops that wait until a transaction of the leader's is settled.
TEST(CompoundFailures, ACancellationIsExecutedWhileAWriteIsIndeterminate) {
  TestCluster cluster;
  cluster.run_s = 1000;
  cluster.run(1);
  cluster.submit(0, spec("j-000001"));
  ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.running("j-000001") == 2; }));
  const int other = other_than(cluster, cluster.leader());
  cluster.submit(other, spec("j-000002", 1));
  cluster.late_write_share = 1;  // the leader's placement of it hangs
  cluster.run(0.2);
  cluster.late_write_share = 0;
  cluster.cancel(other, "j-000001");
  cluster.run(0.5);
  EXPECT_EQ(cluster.live_tasks("j-000001"), 0);
}

TEST(CompoundFailures, JobsAreCancelledWhileTheirTasksMoveToANewLeader) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 1000;
  cluster.run(1);
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 4; ++i) cluster.submit(i % 3, spec(name(10 * round + i), 1));
    cluster.run(12);
    const int old = cluster.leader();
    ASSERT_GE(old, 0);
    cluster.crash_node(old);
    for (int i = 0; i < 4; ++i) {
      cluster.cancel(other_than(cluster, old), name(10 * round + i));
      cluster.run(1.1);  // before, while and after another takes over
    }
    cluster.start_node(old);
    ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.leader() >= 0; }));
    cluster.run(4);
    for (int i = 0; i < 4; ++i) EXPECT_EQ(cluster.live_tasks(name(10 * round + i)), 0);
  }
}

/// A long lease, and a machine that hangs at the moment at which its job is cancelled.
struct HungWithCancelled : TestCluster {
  std::string on;
  HungWithCancelled() : TestCluster(3, {"a", "a", "a"}, settings_with_intervals(3, 44, 49)) {
    run_s = 1000;
    run(1);
    submit(0, spec("j-000001", 1));
    EXPECT_TRUE(wait_for(*this, 30, [&] { return running("j-000001") == 1; }));
    run(5);
    on = holders(*this, "j-000001").at(0);
    workers.at(on)->is_hung = true;
    cancel(1, "j-000001");
  }
};

// Guards against a deletion that every change of leader puts off: the machine goes on before its
// lease ends, with a task that was cancelled long ago.
TEST(CompoundFailures, LeadersChangeWhileAHungMachineHoldsACancelledTask) {
  HungWithCancelled cluster;
  const double at = cluster.reactor.now();
  while (cluster.reactor.now() - at < cluster.base_settings.cancel_s * 0.85) {
    change_leader(cluster, 1);
    wait_for(cluster, 15, [&] { return cluster.leader() >= 0; });
    cluster.run(6);
  }
  EXPECT_TRUE(cluster.workers.at(cluster.on)->gone);
}

// Guards against a deletion that waits for a leader in an outage of the state service.
TEST(CompoundFailures, AHungMachineWithACancelledTaskIsDeletedInAStateOutageToo) {
  HungWithCancelled cluster;
  cluster.run(1);
  cluster.state_down = true;
  cluster.cloud_down = true;
  cluster.run(cluster.base_settings.cancel_s * 0.6);
  cluster.cloud_down = false;
  cluster.run(cluster.base_settings.cancel_s * 0.3);
  EXPECT_TRUE(cluster.workers.at(cluster.on)->gone);
}

// A start that is held up on its way comes after the cancellation, in the same agent epoch.
TEST(CompoundFailures, AStartHeldUpUntilAfterTheCancellationIsEndedInTime) {
  for (const bool leader_ends : {false, true}) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.run_s = 1000;
    cluster.add_worker();
    cluster.run(3);
    auto& worker = *cluster.workers.at("n-1");
    worker.commands_late_s = 8;
    worker.cannot_send = true;
    cluster.submit(0, spec("j-000001", 1));
    cluster.run(1);
    cluster.cancel(1, "j-000001");
    worker.cannot_send = false;
    if (leader_ends) change_leader(cluster, 1);
    worker.commands_late_s = 0;
    cluster.run(cluster.base_settings.cancel_s - 2);
    EXPECT_EQ(cluster.live_tasks("j-000001"), 0);
    cluster.run(5);
  }
}

// The same, where the machine hangs with the command in hand and then goes on within its lease.
TEST(CompoundFailures, ACommandThatAHungMachineExecutesLateIsUndoneInTime) {
  for (const bool leader_ends : {false, true}) {
    TestCluster cluster(3, {"a", "a", "a"}, settings_with_intervals(3, 29, 49));
    cluster.run_s = 1000;
    cluster.add_worker();
    cluster.run(8);
    auto& worker = *cluster.workers.at("n-1");
    worker.is_hung = true;
    cluster.submit(0, spec("j-000001", 1));
    cluster.run(1);
    EXPECT_EQ(worker.queued_commands.size(), 1u);
    cluster.cancel(1, "j-000001");
    if (leader_ends) change_leader(cluster, 1);
    cluster.run(15);
    cluster.resume_worker(worker);
    cluster.run(cluster.base_settings.cancel_s - 18);
    EXPECT_EQ(cluster.live_tasks("j-000001"), 0);
    cluster.run(5);
  }
}

// ---- writes without answers ----

// Guards against an attempt number that is given to two machines: the record names one, the cluster
// state the other, and the task runs on both.
TEST(CompoundFailures, APlacementIsCarriedOutLateAfterANewerOne) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    TestCluster cluster;
    cluster.random.seed(seed);
    cluster.run(1);
    cluster.add_worker("a");
    cluster.add_worker("b");
    cluster.run(3);
    cluster.late_write_share = 0.6;
    for (int i = 0; i < 4; ++i) cluster.add_user(spec(name(i), 2, JobKind::job_array, 2));
    cluster.run(40);
    cluster.late_write_share = 0;
    EXPECT_TRUE(wait_for(cluster, 90, [&] { return all_jobs_ended(cluster); })) << "seed " << seed;
  }
}

TEST(CompoundFailures, TransactionsAreCarriedOutAtOnceAndOnlyTheirAnswersAreLost) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    TestCluster cluster;
    cluster.random.seed(seed);
    cluster.run(1);
    cluster.lost_write_response_share = 0.5;
    for (int i = 0; i < 8; ++i) {
      cluster.add_user(spec(name(i), 2, JobKind::job_array, 2),
                       {i % 3 == 0 ? 4.0 + i : -1, i % 3 == 1, true});
    }
    cluster.run(40);
    cluster.lost_write_response_share = 0;
    EXPECT_TRUE(wait_for(cluster, 90, [&] { return all_jobs_ended(cluster); })) << "seed " << seed;
  }
}

// Guards against room that is given away while a write that takes it may still be carried out: a
// team would be beyond its limit as soon as it is.
TEST(CompoundFailures, AnIndeterminatePlacementKeepsItsResourcesUntilItIsResolved) {
  TestCluster cluster;
  cluster.run_s = 1000;
  for (int i = 0; i < 5; ++i) cluster.add_worker();
  cluster.run(3);
  for (int round = 0; round < 3; ++round) {
    const auto first = name(2 * round), second = name(2 * round + 1);
    cluster.submit(0, spec(first, 4));  // all that the team may use
    cluster.late_write_share = 1;
    cluster.run(0.2);
    cluster.late_write_share = 0;
    auto urgent = spec(second, 4);  // placed first in the next pass
    urgent.priority = wire::Priority::production;
    cluster.add_user(urgent);
    cluster.run(14);  // by now it has been carried out, or can't be any more
    EXPECT_EQ(cluster.running(first) + cluster.running(second), 4);
    cluster.cancel(1, first);
    cluster.cancel(1, second);
    cluster.run(5);
  }
}

// Guards against ends told late, and against a budget of writes that one-task jobs use up.
TEST(CompoundFailures, OneTaskJobsComeFourASecondAndAQuarterIsCancelled) {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 200, 400}};
  settings.state_write_rps = 30;
  TestCluster cluster(5, {}, settings);
  cluster.state_service.limits_writes = true;
  cluster.run_s = 4;
  cluster.run(1);
  for (int i = 0; i < 8; ++i) cluster.add_worker();
  cluster.run(3);
  const int jobs = 4 * 90;
  std::map<std::string, double> ended;  // their tasks
  double latest = 0;
  for (int i = 0; i < jobs; ++i) {
    cluster.add_user(spec(name(i), 1, JobKind::job_array, 1),
                     {i % 4 == 3 ? 2.0 + i % 3 : -1, false, false});
    cluster.run(0.25);
    for (int j = std::max(0, i - 200); j <= i; ++j) {
      const bool runs = cluster.starts.contains(name(j) + "/0") && cluster.running(name(j)) == 0;
      if (!runs || j % 4 == 3) continue;
      const auto at = ended.try_emplace(name(j), cluster.reactor.now()).first->second;
      if (cluster.state_service.values.contains("jobs/" + name(j)))
        latest = std::max(latest, cluster.reactor.now() - at);
    }
  }
  EXPECT_LT(latest, 3) << "a job is called done so late";
  EXPECT_TRUE(wait_for(cluster, 30, [&] { return all_jobs_ended(cluster); }));
  EXPECT_EQ(cluster.state_service.refused_writes, 0);
  EXPECT_EQ(cluster.rules.accepted().size(), static_cast<std::size_t>(jobs));
}

// Guards against a cancelled job whose parts no leader can read: nobody would ever lead again.
TEST(CompoundFailures, AJobOfThousandsOfScatteredTasksIsCancelledAndTheLeaderEnds) {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 1000, 2000}};
  settings.state_write_rps = 400;
  settings.value_kb = 2;
  settings.txn_ops = 48;
  TestCluster cluster(3, {"a", "a", "a"}, settings);
  cluster.run(1);
  for (int i = 0; i < 40; ++i) cluster.add_worker();
  cluster.run(3);
  for (int i = 0; i < 4000; ++i)
    cluster.run_s_of["j-000001/" + std::to_string(i)] = i % 2 == 0 ? 3 : 60;
  cluster.submit(0, spec("j-000001", 4000, JobKind::job_array, 1));
  cluster.submit(1, spec("j-000002", 1, JobKind::job_array, 1));
  ASSERT_TRUE(wait_for(cluster, 60,
                       [&] { return cluster.state_service.values.contains("parts/j-000001/0"); }));
  cluster.run(2);
  const int old = cluster.leader();
  cluster.crash_node(old);
  cluster.cancel(other_than(cluster, old), "j-000001");
  cluster.run(0.2);
  EXPECT_TRUE(cluster.state_service.values.contains("parts/j-000001/0"));
  EXPECT_TRUE(wait_for(cluster, 30, [&] { return cluster.leader() >= 0; }));
  cluster.run(10);
  EXPECT_EQ(cluster.live_tasks("j-000001"), 0);
  EXPECT_TRUE(wait_for(cluster, 60,
                       [&] { return cluster.state_service.values.contains("ended/j-000001"); }));
  for (const auto& [key, value] : cluster.state_service.values)
    EXPECT_FALSE(key.starts_with("parts/j-000001/")) << key;
  cluster.submit(other_than(cluster, old), spec("j-000003", 1, JobKind::job_array, 1));
  EXPECT_TRUE(wait_for(cluster, 30, [&] {
    return cluster.state_of(1, "j-000003") == "done" || cluster.state_of(2, "j-000003") == "done";
  }));
}

// The same changes to a leader that stays: it reads the parts anew.
TEST(CompoundFailures, ALongJobIsCancelledUnderItsLeader) {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 1000, 2000}};
  settings.state_write_rps = 400;
  settings.value_kb = 2;
  settings.txn_ops = 48;
  TestCluster cluster(3, {}, settings);
  cluster.run_s = 60;
  cluster.run(1);
  for (int i = 0; i < 40; ++i) cluster.add_worker();
  cluster.run(3);
  cluster.submit(0, spec("j-000001", 4000, JobKind::job_array, 1));
  ASSERT_TRUE(wait_for(cluster, 60,
                       [&] { return cluster.state_service.values.contains("parts/j-000001/0"); }));
  cluster.run(5);
  cluster.cancel(1, "j-000001");
  cluster.run(3);
  EXPECT_EQ(cluster.live_tasks("j-000001"), 0);
  EXPECT_TRUE(wait_for(cluster, 30,
                       [&] { return cluster.state_service.values.contains("ended/j-000001"); }));
}

// ---- changes of leader ----

TEST(CompoundFailures, LeadershipMovesBackAndForthAllControllersEndAndOneReturnsWithinASecond) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 8;
  cluster.run(1);
  for (int i = 0; i < 5; ++i)
    cluster.add_user(spec(name(i), 2, JobKind::job_array, 2), {-1, i == 2, true});
  cluster.run(6);
  for (int round = 0; round < 4; ++round) {
    const int old = std::max(cluster.leader(), 0);
    cluster.crash_node(old);
    cluster.run(0.3);
    cluster.start_node(old);
    cluster.run(0.7);
    for (int i = 0; i < 3; ++i) cluster.crash_node(i);
    cluster.run(0.2);
    cluster.start_node(round % 3);
    cluster.run(4);
    for (int i = 0; i < 3; ++i) {
      if (!cluster.is_up(i)) cluster.start_node(i);
    }
    cluster.run(1);
  }
  EXPECT_TRUE(wait_for(cluster, 90, [&] { return all_jobs_ended(cluster); }));
}

TEST(CompoundFailures, LeadersChangeTenTimesInTwoMinutesAlsoInsideAnOutage) {
  for (const bool outage : {false, true}) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.run_s = 30;
    cluster.run(1);
    for (int i = 0; i < 4; ++i) {
      cluster.add_user(spec(name(i), 2, JobKind::job_array, 2), {i == 1 ? 60.0 : -1, false, false});
    }
    for (int change = 0; change < 10; ++change) {
      cluster.run(9);
      cluster.state_down = outage && (change == 3 || change == 4);
      const int old = cluster.leader() >= 0 ? cluster.leader() : change % 3;
      cluster.crash_node(old);
      cluster.run(1 + change % 3);
      cluster.start_node(old);
    }
    cluster.state_down = false;
    EXPECT_TRUE(wait_for(cluster, 150, [&] { return all_jobs_ended(cluster); }));
  }
}

TEST(CompoundFailures, JobsOfFewTasksThatEndFarApartKeepWhatIsDone) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run(1);
  cluster.run_s_of = {{"j-000001/0", 3}, {"j-000001/1", 25}, {"j-000001/2", 50}};
  cluster.submit(0, spec("j-000001", 3, JobKind::job_array, 4));
  ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.running("j-000001") == 3; }));
  cluster.run(3.2);
  change_leader(cluster, 4);  // just as the first has ended
  cluster.run(15);
  change_leader(cluster, 4);
  EXPECT_TRUE(wait_for(cluster, 60, [&] { return cluster.state_of(0, "j-000001") == "done"; }));
  for (int i = 0; i < 3; ++i) EXPECT_EQ(cluster.starts["j-000001/" + std::to_string(i)], 1);
}

TEST(CompoundFailures, AllControllersAreAwayForLongerThanALease) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 40;
  cluster.run(1);
  cluster.submit(0, spec("j-000001"));
  cluster.submit(0, spec("j-000002", 1));
  cluster.run(10);
  cluster.cancel(1, "j-000002");
  for (int i = 0; i < 3; ++i) cluster.crash_node(i);
  cluster.run(cluster.base_settings.lease_s * 1.5);
  EXPECT_EQ(cluster.live_tasks("j-000001"), 0);
  for (int i = 0; i < 3; ++i) cluster.start_node(i);
  EXPECT_TRUE(wait_for(cluster, 30, [&] { return cluster.running("j-000001") == 2; }));
  EXPECT_EQ(cluster.live_tasks("j-000002"), 0);
}

TEST(CompoundFailures, TheLeaderEndsWhileMachinesWithLongTasksAreCutOffOrDeaf) {
  for (const bool cannot_receive : {false, true}) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.run_s = 100;
    cluster.run(1);
    cluster.submit(0, spec("j-000001", 2));
    cluster.submit(0, spec("j-000002", 2));
    ASSERT_TRUE(wait_for(cluster, 20, [&] {
      return cluster.running("j-000001") + cluster.running("j-000002") == 4;
    }));
    const auto on = holders(cluster, "j-000001").at(0);
    auto& worker = *cluster.workers.at(on);
    (cannot_receive ? worker.cannot_receive : worker.is_hung) = true;
    cluster.run(1);
    change_leader(cluster, 4);
    cluster.cancel(0, "j-000002");
    cluster.run(cluster.base_settings.lease_s * 0.3);
    worker.cannot_receive = false;
    if (!cannot_receive) cluster.resume_worker(worker);
    EXPECT_TRUE(wait_for(cluster, 90, [&] { return cluster.running("j-000001") == 2; }));
  }
}

// ---- heartbeats ----

// Guards against what a heartbeat from before the leadership would say of machines that are gone,
// or of an earlier agent epoch or attempt.
TEST(CompoundFailures, OldHeartbeatsReachEveryControllerJustAsANewLeaderBegins) {
  for (const double replay_delay_s : {0.0, 3.0}) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.run_s = 1000;
    cluster.replays_heartbeats = true;
    cluster.replay_delay_s = replay_delay_s;
    cluster.run(1);
    cluster.submit(0, spec("j-000001"));
    cluster.add_worker("a");  // there is room that is not needed, and is returned
    cluster.add_worker("b");
    cluster.run(8);
    for (int round = 0; round < 3; ++round) {
      // Sessions end, and the same attempts begin again in the next.
      for (auto& [id, worker] : cluster.workers)
        worker->cannot_send = worker->cannot_send || round == 1;
      cluster.run(round == 1 ? cluster.base_settings.lease_s + 2 : 1);
      for (auto& [id, worker] : cluster.workers) worker->cannot_send = false;
      cluster.run(4);
      change_leader(cluster, 5);
      cluster.submit(0, spec(name(round), 1, JobKind::service, 2, "blue"));
      EXPECT_TRUE(wait_for(cluster, 30, [&] { return cluster.running(name(round)) == 1; }))
          << round;
    }
    EXPECT_TRUE(wait_for(cluster, 60, [&] { return cluster.running("j-000001") == 2; }));
  }
}

TEST(CompoundFailures, NothingIsPlacedOnAMachineThatOnlyAnOldHeartbeatShows) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 1000;
  cluster.add_worker("a");
  cluster.replays_heartbeats = true;
  cluster.run(3);
  cluster.workers.at("n-1")->is_hung = cluster.workers.at("n-1")->gone =
      true;  // given back by the former leader
  change_leader(cluster, 5);
  cluster.submit(0, spec("j-000001"));
  EXPECT_TRUE(wait_for(cluster, 12, [&] { return cluster.running("j-000001") == 2; }));
}

TEST(CompoundFailures, OldHeartbeatsArriveAfterNewerOnesAndFromEarlierEpochs) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.random.seed(seed);
    cluster.late_heartbeat_share = 0.5;
    cluster.run_s = 12;
    cluster.run(1);
    for (int i = 0; i < 4; ++i)
      cluster.add_user(spec(name(i), 2, JobKind::job_array, 4), {-1, i == 0, false});
    cluster.run(10);
    for (auto& [id, worker] : cluster.workers) worker->cannot_send = true;
    cluster.run(cluster.base_settings.lease_s + 1);
    for (auto& [id, worker] : cluster.workers) worker->cannot_send = false;
    cluster.run(6);
    change_leader(cluster, 3);
    EXPECT_TRUE(wait_for(cluster, 120, [&] { return all_jobs_ended(cluster); })) << "seed " << seed;
  }
}

TEST(CompoundFailures, WorkersReachNoControllerWhileCommandsReachThem) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 1000;
  cluster.run(1);
  cluster.submit(0, spec("j-000001"));
  cluster.submit(0, spec("j-000002"));
  ASSERT_TRUE(wait_for(
      cluster, 20, [&] { return cluster.running("j-000001") + cluster.running("j-000002") == 4; }));
  for (auto& [id, worker] : cluster.workers) worker->cannot_send = true;
  cluster.cancel(1, "j-000001");
  cluster.run(1);
  EXPECT_EQ(cluster.live_tasks("j-000001"), 0);  // told directly
  cluster.run(cluster.base_settings.lease_s + 5);
  for (auto& [id, worker] : cluster.workers) worker->cannot_send = false;
  EXPECT_TRUE(wait_for(cluster, 60, [&] { return cluster.running("j-000002") == 2; }));
}

// ---- limits and zones ----

TEST(CompoundFailures,
     EveryTeamIsAtItsLimitWhileJobsOnLostMachinesAreCancelledAndTheLeaderChanges) {
  for (const bool hang : {true, false}) {
    TestCluster cluster(3, {"a", "a", "b"});
    cluster.run_s = 1000;
    cluster.run(1);
    int next = 0;
    for (const char* team : {"red", "blue"}) {
      for (int i = 0; i < 2; ++i)
        cluster.submit(0, spec(name(next++), 2, JobKind::service, 4, team));
    }
    ASSERT_TRUE(wait_for(cluster, 30, [&] {
      int n = 0;
      for (int i = 0; i < 4; ++i) n += cluster.running(name(i));
      return n == 8;
    }));
    for (const char* team : {"red", "blue"})
      cluster.submit(0, spec(name(next++), 2, JobKind::service, 4, team));
    // Cancelled on machines that can't be asked; their room is waited for.
    std::vector<std::string> lost = holders(cluster, name(0));
    for (const auto& id : holders(cluster, name(2))) lost.push_back(id);
    for (const auto& id : lost)
      (hang ? cluster.workers.at(id)->is_hung : cluster.workers.at(id)->cannot_receive) = true;
    cluster.cancel(0, name(0));
    cluster.cancel(1, name(2));
    cluster.run(2);
    change_leader(cluster, 4);
    cluster.run(6);
    if (cluster.leader() >= 0) change_leader(cluster, 1);
    cluster.run(4);
    for (const auto& id : lost) {
      cluster.workers.at(id)->cannot_receive = false;
      if (hang) cluster.resume_worker(*cluster.workers.at(id));
    }
    EXPECT_TRUE(wait_for(cluster, 90,
                         [&] { return cluster.running(name(4)) + cluster.running(name(5)) == 4; }));
  }
}

TEST(CompoundFailures, NewMachinesGetWorkAtOnceWhileWritesLagAndTheLeaderEnds) {
  for (unsigned seed = 1; seed <= 8; ++seed) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.random.seed(seed);
    cluster.list_delay_s = 8;
    cluster.run_s = 15;
    cluster.run(1);
    cluster.late_write_share = 0.3;
    for (int i = 0; i < 6; ++i) {
      cluster.add_user(spec(name(i), 2, JobKind::job_array, 4, i % 2 == 0 ? "red" : "blue"),
                       {i == 3 ? 10.0 : -1, false, false});
    }
    cluster.run(6 + seed % 4);
    if (cluster.leader() >= 0) change_leader(cluster, 2);
    cluster.run(10);
    cluster.late_write_share = 0;
    EXPECT_TRUE(wait_for(cluster, 150, [&] { return all_jobs_ended(cluster); })) << "seed " << seed;
  }
}

TEST(CompoundFailures, JobsBoundToOneZoneLoseMachinesThatComeBack) {
  for (const auto kind : {JobKind::job_array, JobKind::service}) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.run_s = kind == JobKind::job_array ? 60 : 1000;
    cluster.run(1);
    for (const char* zone : {"a", "b"}) cluster.add_worker(zone);
    cluster.run(3);
    auto s = spec("j-000001", 4, kind, 4);
    s.one_zone = true;
    cluster.submit(0, s);
    ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.running("j-000001") == 4; }));
    cluster.run(5);
    const auto on = holders(cluster, "j-000001");
    auto& lost = *cluster.workers.at(on.at(0));
    const std::string zone = lost.kind.zone;
    for (auto& [id, worker] : cluster.workers) {
      if (worker->kind.zone == zone && (kind == JobKind::service || id == lost.id))
        worker->is_hung = true;
    }
    cluster.run(3);
    change_leader(cluster, 3);
    cluster.run(cluster.base_settings.lease_s * 2.5);
    for (auto& [id, worker] : cluster.workers) {
      if (worker->is_hung) cluster.resume_worker(*worker);
    }
    EXPECT_TRUE(wait_for(cluster, 120, [&] {
      return kind == JobKind::job_array ? cluster.state_of(0, "j-000001") == "done"
                                        : cluster.running("j-000001") == 4;
    }));
  }
}

// ---- cuts ----

TEST(CompoundFailures, ALeaderWithoutStateServiceAndPeersIsStillReachedByWorkersAndUsers) {
  for (const auto& settings : {long_heartbeat_interval(), long_cancellation()}) {
    TestCluster cluster(3, {"a", "a", "a"}, settings);
    cluster.run_s = 1000;
    cluster.run(1);
    for (int i = 0; i < 3; ++i) cluster.submit(i, spec(name(i), 1));
    ASSERT_TRUE(wait_for(cluster, 40, [&] {
      return cluster.running(name(0)) + cluster.running(name(1)) + cluster.running(name(2)) == 3;
    }));
    const int old = cluster.leader();
    cluster.cut_from_state = {old};
    cluster.cut_from_peers = {old};
    cluster.run(1);
    cluster.cancel(other_than(cluster, old), name(0));  // as soon as it is cut
    ASSERT_TRUE(
        wait_for(cluster, 30, [&] { return cluster.leader() >= 0 && cluster.leader() != old; }));
    cluster.run(1);
    cluster.cancel(cluster.leader(), name(1));
    const double asked = cluster.reactor.now();
    EXPECT_EQ(cluster.ask(old, "GET", "/v1/jobs/" + name(1)).status, 503);
    EXPECT_EQ(cluster.ask(old, "POST", "/v1/jobs/" + name(1) + "/withdraw").status, 503);
    EXPECT_LT(cluster.reactor.now() - asked, 0.1);  // at once, though nothing answers it
    cluster.run(settings.cancel_s + 5);
    EXPECT_EQ(cluster.live_tasks(name(0)) + cluster.live_tasks(name(1)), 0);
    cluster.cut_from_state.clear();
    cluster.cut_from_peers.clear();
    cluster.run(10);
    EXPECT_EQ(cluster.state_of(old, name(1)), "withdrawn");
    EXPECT_TRUE(wait_for(cluster, 60, [&] { return cluster.running(name(2)) == 1; }));
  }
}

TEST(CompoundFailures, AZoneWithWorkersAndAControllerIsCutOffForLongerThanALease) {
  TestCluster cluster(3, {"a", "a", "b"});
  cluster.run_s = 1000;
  cluster.run(1);
  for (int i = 0; i < 2; ++i) {
    auto s = spec(name(i), 2);
    s.zone = "b";
    cluster.submit(0, s);
  }
  ASSERT_TRUE(wait_for(cluster, 30,
                       [&] { return cluster.running(name(0)) + cluster.running(name(1)) == 4; }));
  cluster.cut_zones = {"b"};
  cluster.run(1);
  cluster.cancel(cluster.leader() == 0 ? 1 : 0, name(0));
  if (cluster.leader() < 2) change_leader(cluster, 3);
  cluster.run(cluster.base_settings.cancel_s);
  EXPECT_EQ(cluster.live_tasks(name(0)), 0);
  cluster.cut_zones.clear();
  EXPECT_TRUE(wait_for(cluster, 90, [&] { return cluster.running(name(1)) == 2; }));
}

TEST(CompoundFailures,
     TheStateServiceIsSlowOrRefusesTheLeaderAndThenEverybodyWhileUsersCancelAndAsk) {
  for (const bool slow : {true, false}) {
    TestCluster cluster(3, {"a", "a", "a"}, long_heartbeat_interval());
    cluster.run_s = 200;
    cluster.run(1);
    for (int i = 0; i < 6; ++i) {
      cluster.add_user(spec(name(i), 1, JobKind::service, 2), {20.0 + 4 * i, false, i % 2 == 0});
    }
    cluster.run(20);
    if (slow) cluster.state_slow_s = 0.6;
    if (!slow && cluster.leader() >= 0) cluster.refused_by_state = {cluster.leader()};
    cluster.run(8);
    cluster.state_down = true;
    cluster.refused_by_state.clear();
    cluster.run(cluster.base_settings.cancel_s + 10);
    cluster.state_down = false;
    cluster.state_slow_s = 0;
    EXPECT_TRUE(wait_for(cluster, 90, [&] { return all_jobs_ended(cluster); }));
  }
}

// ---- users ----

TEST(CompoundFailures, UsersQueryAllNodesWithinMillisecondsAfterEachChangeOfState) {
  for (const double lost : {0.0, 0.4}) {
    for (const double late : {0.0, 0.3}) {
      TestCluster cluster;
      cluster.random.seed(7);
      cluster.run(1);
      cluster.lost_write_response_share = lost;
      cluster.late_write_share = late;
      cluster.state_service.limits_writes = true;
      for (int i = 0; i < 9; ++i) {
        cluster.add_user(spec(name(i), 1 + i % 2, JobKind::job_array, 2),
                         {i % 3 == 0 ? 0.2 * i : -1, i % 3 == 1, true});
        cluster.run(0.5);
      }
      cluster.run(30);
      cluster.lost_write_response_share = cluster.late_write_share = 0;
      EXPECT_TRUE(wait_for(cluster, 90, [&] { return all_jobs_ended(cluster); }));
    }
  }
}

// Guards against a refusal for good by a node that learns the machine types while it looks the job
// up.
TEST(CompoundFailures, ASubmissionMeetsANodeThatHasJustStarted) {
  TestCluster cluster;
  cluster.run(2);
  const int node = other_than(cluster, cluster.leader());
  cluster.crash_node(node);
  cluster.start_node(node);
  wire::JsonWriter text;
  wire::write_job(text, spec("j-000001"));
  const auto response = cluster.ask(node, "POST", "/v1/jobs", text.take());
  EXPECT_EQ(response.status, 503);
  EXPECT_GT(response.retry_after_s, 0);
  cluster.run(0.5);
  cluster.submit(node, spec("j-000001"));
}

TEST(CompoundFailures, ACancellationMeetsTheEndOfTheLastTask) {
  int done = 0, cancelled = 0;
  for (int moment = 0; moment < 16; ++moment) {
    TestCluster cluster;
    cluster.run(1);
    cluster.submit(0, spec("j-000001", 1, JobKind::job_array));
    ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.running("j-000001") == 1; }));
    cluster.run(cluster.run_s - 0.5 + 0.15 * moment);
    const auto other = other_than(cluster, cluster.leader());
    EXPECT_EQ(cluster.ask(other, "POST", "/v1/jobs/j-000001/withdraw").status, 200);
    for (int node = 0; node < 3; ++node) {
      EXPECT_EQ(cluster.state_of(node, "j-000001"), cluster.rules.outcome("j-000001"));
    }
    cluster.run(5);
    for (int node = 0; node < 3; ++node) {
      EXPECT_EQ(cluster.state_of(node, "j-000001"), cluster.rules.outcome("j-000001"));
    }
    (cluster.rules.outcome("j-000001") == "done" ? done : cancelled) += 1;
  }
  EXPECT_GT(done, 0);
  EXPECT_GT(cancelled, 0);
}

TEST(CompoundFailures, ThereIsMoreUrgentAndOtherWorkThanResourcesOverSlowLinks) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.state_slow_s = 0.4;
  cluster.run_s = 12;
  cluster.run(1);
  for (int i = 0; i < 10; ++i) {
    auto s = spec(name(i), 2, JobKind::job_array, 4, i % 2 == 0 ? "red" : "blue");
    s.priority = wire::Priority::best_effort;
    cluster.add_user(s);
  }
  cluster.run(10);
  auto urgent = spec("j-000001", 2, JobKind::service, 4, "red");
  urgent.priority = wire::Priority::production;
  cluster.add_user(urgent);
  EXPECT_TRUE(wait_for(cluster, 25, [&] { return cluster.running("j-000001") == 2; }));
  EXPECT_TRUE(wait_for(cluster, 200, [&] {
    int over = 0;
    for (int i = 0; i < 10; ++i) over += cluster.rules.outcome(name(i)) == "done" ? 1 : 0;
    return over == 10;
  }));
}

}  // namespace
}  // namespace cranklock::testing
