// Tests of two failures at the same time. The rule checker of each cluster checks all rules; a test
// itself checks that the failures occurred and that jobs are served afterwards.
#include <gtest/gtest.h>

#include <algorithm>

#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

wire::JobSpec job_spec(const std::string& id, std::uint32_t tasks = 2,
                       JobKind kind = JobKind::service, double gpus = 4,
                       const std::string& team = "red") {
  return make_job(id, kind, tasks, gpus, team).spec;
}

/// Small settings with the intervals of a deployment: the time bounds under test depend on the
/// ratios of heartbeat interval, lease and cancellation time.
base::Settings settings_with_intervals(double heartbeat_interval_s, double lease_s,
                                       double cancel_s) {
  auto settings = small_settings();
  settings.heartbeat_interval_s = heartbeat_interval_s;
  settings.lease_s = lease_s;
  settings.cancel_s = cancel_s;
  settings.state_rps = 250;
  return settings;
}
base::Settings long_heartbeat_interval() {
  return settings_with_intervals(3, 29, 49);
}
base::Settings long_cancellation() {
  return settings_with_intervals(1, 10, 40);
}

std::vector<std::string> machines_with_tasks(const TestCluster& cluster, const std::string& job) {
  std::vector<std::string> machines;
  for (const auto& [id, worker] : cluster.workers) {
    for (const auto& [task, held] : worker->tasks) {
      if (task.starts_with(job + "/") && held.state != wire::TaskState::exited)
        machines.push_back(id);
    }
  }
  return machines;
}

/// Crashes the leader and restarts it after `back_s` seconds.
void change_leader(TestCluster& cluster, double back_s = 8) {
  const int old = cluster.leader();
  ASSERT_GE(old, 0);
  cluster.crash_node(old);
  cluster.run(back_s);
  cluster.start_node(old);
  cluster.run(0.2);
}

int another_node(const TestCluster& cluster, int node) {
  return (node + 1) % cluster.nodes();
}

// ---- a refused leader, and then an outage ----

enum class Refusal { ends_during_outage, outlasts_outage, interrupted_by_service };

void cancel_while_leader_is_refused(const base::Settings& settings, Refusal refusal) {
  TestCluster cluster(3, {"a", "a", "a"}, settings);
  cluster.run_s = 10'000;
  cluster.run(1);
  cluster.submit(0, job_spec("j-000001"));
  ASSERT_TRUE(wait_for(cluster, 60, [&] { return cluster.running_tasks("j-000001") == 2; }));
  cluster.run(10);
  const int leader = cluster.leader();
  cluster.refused_by_state = {leader};
  cluster.hanging_watches = {leader};
  cluster.run(0.5);
  cluster.cancel(another_node(cluster, leader), "j-000001");
  cluster.run(0.5);
  cluster.state_down = true;
  cluster.run(2);
  if (refusal != Refusal::outlasts_outage) cluster.refused_by_state.clear();
  cluster.run(1);
  if (refusal == Refusal::interrupted_by_service) {
    // The leader can renew its lease before it receives the changes.
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
  cluster.run(0.5);  // until a node that was refused detects that it is served again
  cluster.submit(0, job_spec("j-000002", 1));
  EXPECT_TRUE(wait_for(cluster, 90, [&] { return cluster.running_tasks("j-000002") == 1; }));
  EXPECT_EQ(cluster.state_of(1, "j-000001"), "withdrawn");
}

// Guards against a leader that counts its leader lease as confirmed before it has read all changes.
// While the state service refused only the leader, a job was cancelled at another node; in an
// outage longer than cancel_s the leader would keep that job's tasks running.
TEST(CompoundFailures, ACancellationIsExecutedWhenTheLeadersRefusalEndsDuringAnOutage) {
  cancel_while_leader_is_refused(long_heartbeat_interval(), Refusal::ends_during_outage);
  cancel_while_leader_is_refused(long_cancellation(), Refusal::ends_during_outage);
}
TEST(CompoundFailures, ACancellationIsExecutedWhenTheLeadersRefusalOutlastsAnOutage) {
  cancel_while_leader_is_refused(long_heartbeat_interval(), Refusal::outlasts_outage);
  cancel_while_leader_is_refused(long_cancellation(), Refusal::outlasts_outage);
}
TEST(CompoundFailures, ACancellationIsExecutedWhenAnOutageIsBrieflyInterrupted) {
  cancel_while_leader_is_refused(long_heartbeat_interval(), Refusal::interrupted_by_service);
  cancel_while_leader_is_refused(long_cancellation(), Refusal::interrupted_by_service);
}

// The bound itself, for several deployments' settings and with the maximum clock drift.
TEST(CompoundFailures, NoRenewedAgentLeaseOutlastsCancelS) {
  for (const auto& settings :
       {long_heartbeat_interval(), long_cancellation(), settings_with_intervals(5, 29, 49),
        settings_with_intervals(4, 22, 52)}) {
    control::LeaderLease lease(settings, 7, 100);
    EXPECT_FALSE(lease.may_respond(101));  // no changes read yet in this term
    lease.mark_caught_up(90);
    // A cancellation may have been confirmed at 90 or later. The last heartbeat that may be
    // answered was sent no later than its response, and the worker's lease starts when it is sent.
    const double last_answer = lease.may_respond_until() * (1 + 2 * base::kMaxClockDrift);
    EXPECT_LT(last_answer + settings.lease_s * (1 + 2 * base::kMaxClockDrift),
              90 + settings.cancel_s);
    EXPECT_FALSE(lease.may_respond(lease.may_respond_until()));
    EXPECT_FALSE(lease.may_start(90 + control::LeaderLease::lease_ttl_s(settings)));
    EXPECT_TRUE(lease.valid(101));
    lease.mark_caught_up(100.5);
    EXPECT_TRUE(lease.may_start(101));
    lease.mark_behind();
    EXPECT_FALSE(lease.may_start(101));  // other nodes may have confirmed cancellations
    EXPECT_TRUE(lease.may_respond(101));
    lease.mark_caught_up(95);  // responses out of order: the earlier time changes nothing
    EXPECT_TRUE(lease.may_start(101));
  }
}

// ---- cancellations ----

// Guards against stop commands that wait until the leader's indeterminate transaction is resolved.
TEST(CompoundFailures, ACancellationIsExecutedWhileAWriteIsIndeterminate) {
  TestCluster cluster;
  cluster.run_s = 1000;
  cluster.run(1);
  cluster.submit(0, job_spec("j-000001"));
  ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.running_tasks("j-000001") == 2; }));
  const int other = another_node(cluster, cluster.leader());
  cluster.submit(other, job_spec("j-000002", 1));
  cluster.late_write_share = 1;  // the leader's placement write for it stays unanswered
  cluster.run(0.2);
  cluster.late_write_share = 0;
  cluster.cancel(other, "j-000001");
  cluster.run(0.5);
  EXPECT_EQ(cluster.live_tasks("j-000001"), 0);
}

TEST(CompoundFailures, CancellationsAreExecutedDuringAFailover) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 1000;
  cluster.run(1);
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 4; ++i) cluster.submit(i % 3, job_spec(job_id(10 * round + i), 1));
    cluster.run(12);
    const int old = cluster.leader();
    ASSERT_GE(old, 0);
    cluster.crash_node(old);
    for (int i = 0; i < 4; ++i) {
      cluster.cancel(another_node(cluster, old), job_id(10 * round + i));
      cluster.run(1.1);  // before, during and after the failover
    }
    cluster.start_node(old);
    ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.leader() >= 0; }));
    cluster.run(4);
    for (int i = 0; i < 4; ++i) EXPECT_EQ(cluster.live_tasks(job_id(10 * round + i)), 0);
  }
}

/// A cluster with a long lease and a machine that hangs just as its job is cancelled.
struct HungMachineWithCancelledTask : TestCluster {
  std::string machine;
  HungMachineWithCancelledTask()
      : TestCluster(3, {"a", "a", "a"}, settings_with_intervals(3, 44, 49)) {
    run_s = 1000;
    run(1);
    submit(0, job_spec("j-000001", 1));
    EXPECT_TRUE(wait_for(*this, 30, [&] { return running_tasks("j-000001") == 1; }));
    run(5);
    machine = machines_with_tasks(*this, "j-000001").at(0);
    workers.at(machine)->is_hung = true;
    cancel(1, "j-000001");
  }
};

// Guards against a deletion that is postponed by every leader change. The machine could resume
// before its lease expires and run a task that was cancelled long ago.
TEST(CompoundFailures, AHungMachineWithACancelledTaskIsDeletedDespiteLeaderChanges) {
  HungMachineWithCancelledTask cluster;
  const double at = cluster.reactor.now();
  while (cluster.reactor.now() - at < cluster.base_settings.cancel_s * 0.85) {
    change_leader(cluster, 1);
    wait_for(cluster, 15, [&] { return cluster.leader() >= 0; });
    cluster.run(6);
  }
  EXPECT_TRUE(cluster.workers.at(cluster.machine)->is_deleted);
}

// Guards against a deletion that is postponed during a state service outage because no leader can
// be elected.
TEST(CompoundFailures, AHungMachineWithACancelledTaskIsDeletedDuringAStateOutage) {
  HungMachineWithCancelledTask cluster;
  cluster.run(1);
  cluster.state_down = true;
  cluster.cloud_down = true;
  cluster.run(cluster.base_settings.cancel_s * 0.6);
  cluster.cloud_down = false;
  cluster.run(cluster.base_settings.cancel_s * 0.3);
  EXPECT_TRUE(cluster.workers.at(cluster.machine)->is_deleted);
}

// A delayed start command arrives after the job's cancellation, in the same agent epoch.
TEST(CompoundFailures, ATaskWhoseStartArrivesAfterTheCancellationIsStoppedInTime) {
  for (const bool leader_ends : {false, true}) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.run_s = 1000;
    cluster.add_worker();
    cluster.run(3);
    auto& worker = *cluster.workers.at("n-1");
    worker.command_delay_s = 8;
    worker.cannot_send = true;
    cluster.submit(0, job_spec("j-000001", 1));
    cluster.run(1);
    cluster.cancel(1, "j-000001");
    worker.cannot_send = false;
    if (leader_ends) change_leader(cluster, 1);
    worker.command_delay_s = 0;
    cluster.run(cluster.base_settings.cancel_s - 2);
    EXPECT_EQ(cluster.live_tasks("j-000001"), 0);
    cluster.run(5);
  }
}

// A hung machine has received the start command, and resumes and executes it within its lease,
// after the job's cancellation.
TEST(CompoundFailures, ATaskStartedLateByAHungMachineIsStoppedInTime) {
  for (const bool leader_ends : {false, true}) {
    TestCluster cluster(3, {"a", "a", "a"}, settings_with_intervals(3, 29, 49));
    cluster.run_s = 1000;
    cluster.add_worker();
    cluster.run(8);
    auto& worker = *cluster.workers.at("n-1");
    worker.is_hung = true;
    cluster.submit(0, job_spec("j-000001", 1));
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

// ---- writes without responses ----

// Guards against one attempt number for two machines: the stored record names one of them and the
// cluster state the other, and the task runs on both.
TEST(CompoundFailures, NoTaskRunsTwiceWhenAPlacementIsAppliedAfterANewerOne) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    TestCluster cluster;
    cluster.random.seed(seed);
    cluster.run(1);
    cluster.add_worker("a");
    cluster.add_worker("b");
    cluster.run(3);
    cluster.late_write_share = 0.6;
    for (int i = 0; i < 4; ++i) cluster.add_user(job_spec(job_id(i), 2, JobKind::job_array, 2));
    cluster.run(40);
    cluster.late_write_share = 0;
    EXPECT_TRUE(wait_for(cluster, 90, [&] { return all_jobs_ended(cluster); })) << "seed " << seed;
  }
}

TEST(CompoundFailures, JobsEndWhenHalfOfTheTransactionsResponsesAreLost) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    TestCluster cluster;
    cluster.random.seed(seed);
    cluster.run(1);
    cluster.lost_write_response_share = 0.5;
    for (int i = 0; i < 8; ++i) {
      cluster.add_user(job_spec(job_id(i), 2, JobKind::job_array, 2),
                       {i % 3 == 0 ? 4.0 + i : -1, i % 3 == 1, true});
    }
    cluster.run(40);
    cluster.lost_write_response_share = 0;
    EXPECT_TRUE(wait_for(cluster, 90, [&] { return all_jobs_ended(cluster); })) << "seed " << seed;
  }
}

// Guards against releasing the resources of an indeterminate placement write. If the write is
// applied after other tasks have taken them, the team exceeds its quota.
TEST(CompoundFailures, AnIndeterminatePlacementKeepsItsResourcesUntilItIsResolved) {
  TestCluster cluster;
  cluster.run_s = 1000;
  for (int i = 0; i < 5; ++i) cluster.add_worker();
  cluster.run(3);
  for (int round = 0; round < 3; ++round) {
    const auto first = job_id(2 * round), second = job_id(2 * round + 1);
    cluster.submit(0, job_spec(first, 4));  // the team's whole quota
    cluster.late_write_share = 1;
    cluster.run(0.2);
    cluster.late_write_share = 0;
    auto urgent = job_spec(second, 4);  // placed first in the next pass
    urgent.priority = wire::Priority::production;
    cluster.add_user(urgent);
    cluster.run(14);  // by now the write has been applied or can no longer be applied
    EXPECT_EQ(cluster.running_tasks(first) + cluster.running_tasks(second), 4);
    cluster.cancel(1, first);
    cluster.cancel(1, second);
    cluster.run(5);
  }
}

// Guards against jobs that are reported done late, and against one-task jobs that use up the write
// budget.
TEST(CompoundFailures, ManyOneTaskJobsAreReportedDoneInTime) {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 200, 400}};
  settings.state_write_rps = 30;
  TestCluster cluster(5, {}, settings);
  cluster.state_service.enforces_write_rate = true;
  cluster.run_s = 4;
  cluster.run(1);
  for (int i = 0; i < 8; ++i) cluster.add_worker();
  cluster.run(3);
  const int jobs = 4 * 90;
  std::map<std::string, double> ended;  // time at which a job's task ended
  double latest = 0;
  for (int i = 0; i < jobs; ++i) {
    cluster.add_user(job_spec(job_id(i), 1, JobKind::job_array, 1),
                     {i % 4 == 3 ? 2.0 + i % 3 : -1, false, false});
    cluster.run(0.25);
    for (int j = std::max(0, i - 200); j <= i; ++j) {
      const bool runs =
          cluster.start_counts.contains(job_id(j) + "/0") && cluster.running_tasks(job_id(j)) == 0;
      if (!runs || j % 4 == 3) continue;
      const auto at = ended.try_emplace(job_id(j), cluster.reactor.now()).first->second;
      if (cluster.state_service.values.contains("jobs/" + job_id(j)))
        latest = std::max(latest, cluster.reactor.now() - at);
    }
  }
  EXPECT_LT(latest, 3) << "longest time in seconds from a task's end to the end of its job";
  EXPECT_TRUE(wait_for(cluster, 30, [&] { return all_jobs_ended(cluster); }));
  EXPECT_EQ(cluster.state_service.refused_writes, 0);
  EXPECT_EQ(cluster.rules.accepted_jobs().size(), static_cast<std::size_t>(jobs));
}

// Guards against a cancelled job whose parts no leader can read: no node could become leader again.
TEST(CompoundFailures, AJobInManyPartsIsCancelledWhenTheLeaderCrashes) {
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
    cluster.run_s_by_task["j-000001/" + std::to_string(i)] = i % 2 == 0 ? 3 : 60;
  cluster.submit(0, job_spec("j-000001", 4000, JobKind::job_array, 1));
  cluster.submit(1, job_spec("j-000002", 1, JobKind::job_array, 1));
  ASSERT_TRUE(wait_for(cluster, 60,
                       [&] { return cluster.state_service.values.contains("parts/j-000001/0"); }));
  cluster.run(2);
  const int old = cluster.leader();
  cluster.crash_node(old);
  cluster.cancel(another_node(cluster, old), "j-000001");
  cluster.run(0.2);
  EXPECT_TRUE(cluster.state_service.values.contains("parts/j-000001/0"));
  EXPECT_TRUE(wait_for(cluster, 30, [&] { return cluster.leader() >= 0; }));
  cluster.run(10);
  EXPECT_EQ(cluster.live_tasks("j-000001"), 0);
  EXPECT_TRUE(wait_for(cluster, 60,
                       [&] { return cluster.state_service.values.contains("ended/j-000001"); }));
  for (const auto& [key, value] : cluster.state_service.values)
    EXPECT_FALSE(key.starts_with("parts/j-000001/")) << key;
  cluster.submit(another_node(cluster, old), job_spec("j-000003", 1, JobKind::job_array, 1));
  EXPECT_TRUE(wait_for(cluster, 30, [&] {
    return cluster.state_of(1, "j-000003") == "done" || cluster.state_of(2, "j-000003") == "done";
  }));
}

// The same cancellation under one leader, which reads the parts again.
TEST(CompoundFailures, AJobInManyPartsIsCancelledUnderOneLeader) {
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
  cluster.submit(0, job_spec("j-000001", 4000, JobKind::job_array, 1));
  ASSERT_TRUE(wait_for(cluster, 60,
                       [&] { return cluster.state_service.values.contains("parts/j-000001/0"); }));
  cluster.run(5);
  cluster.cancel(1, "j-000001");
  cluster.run(3);
  EXPECT_EQ(cluster.live_tasks("j-000001"), 0);
  EXPECT_TRUE(wait_for(cluster, 30,
                       [&] { return cluster.state_service.values.contains("ended/j-000001"); }));
}

// ---- leader changes ----

TEST(CompoundFailures, JobsEndThroughRepeatedCrashesOfTheLeaderAndOfAllControllers) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 8;
  cluster.run(1);
  for (int i = 0; i < 5; ++i)
    cluster.add_user(job_spec(job_id(i), 2, JobKind::job_array, 2), {-1, i == 2, true});
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

TEST(CompoundFailures, JobsEndThroughTenLeaderChangesAlsoDuringAnOutage) {
  for (const bool outage : {false, true}) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.run_s = 30;
    cluster.run(1);
    for (int i = 0; i < 4; ++i) {
      cluster.add_user(job_spec(job_id(i), 2, JobKind::job_array, 2),
                       {i == 1 ? 60.0 : -1, false, false});
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

TEST(CompoundFailures, CompletedTasksAreNotRestartedAfterLeaderChanges) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run(1);
  cluster.run_s_by_task = {{"j-000001/0", 3}, {"j-000001/1", 25}, {"j-000001/2", 50}};
  cluster.submit(0, job_spec("j-000001", 3, JobKind::job_array, 4));
  ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.running_tasks("j-000001") == 3; }));
  cluster.run(3.2);
  change_leader(cluster, 4);  // just after the first task has ended
  cluster.run(15);
  change_leader(cluster, 4);
  EXPECT_TRUE(wait_for(cluster, 60, [&] { return cluster.state_of(0, "j-000001") == "done"; }));
  for (int i = 0; i < 3; ++i) EXPECT_EQ(cluster.start_counts["j-000001/" + std::to_string(i)], 1);
}

TEST(CompoundFailures, JobsAreRestartedAfterAllControllersWereDownForLongerThanALease) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 40;
  cluster.run(1);
  cluster.submit(0, job_spec("j-000001"));
  cluster.submit(0, job_spec("j-000002", 1));
  cluster.run(10);
  cluster.cancel(1, "j-000002");
  for (int i = 0; i < 3; ++i) cluster.crash_node(i);
  cluster.run(cluster.base_settings.lease_s * 1.5);
  EXPECT_EQ(cluster.live_tasks("j-000001"), 0);
  for (int i = 0; i < 3; ++i) cluster.start_node(i);
  EXPECT_TRUE(wait_for(cluster, 30, [&] { return cluster.running_tasks("j-000001") == 2; }));
  EXPECT_EQ(cluster.live_tasks("j-000002"), 0);
}

TEST(CompoundFailures, TasksRecoverWhenTheLeaderCrashesAndTheirMachineIsHungOrReceivesNothing) {
  for (const bool cannot_receive : {false, true}) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.run_s = 100;
    cluster.run(1);
    cluster.submit(0, job_spec("j-000001", 2));
    cluster.submit(0, job_spec("j-000002", 2));
    ASSERT_TRUE(wait_for(cluster, 20, [&] {
      return cluster.running_tasks("j-000001") + cluster.running_tasks("j-000002") == 4;
    }));
    const auto machine = machines_with_tasks(cluster, "j-000001").at(0);
    auto& worker = *cluster.workers.at(machine);
    (cannot_receive ? worker.cannot_receive : worker.is_hung) = true;
    cluster.run(1);
    change_leader(cluster, 4);
    cluster.cancel(0, "j-000002");
    cluster.run(cluster.base_settings.lease_s * 0.3);
    worker.cannot_receive = false;
    if (!cannot_receive) cluster.resume_worker(worker);
    EXPECT_TRUE(wait_for(cluster, 90, [&] { return cluster.running_tasks("j-000001") == 2; }));
  }
}

// ---- heartbeats ----

// Guards against a leader that acts on heartbeats sent before its term: they may report deleted
// machines, earlier agent epochs or earlier attempts.
TEST(CompoundFailures, JobsRunWhenOldHeartbeatsReachANewLeader) {
  for (const double replay_delay_s : {0.0, 3.0}) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.run_s = 1000;
    cluster.replays_heartbeats = true;
    cluster.replay_delay_s = replay_delay_s;
    cluster.run(1);
    cluster.submit(0, job_spec("j-000001"));
    cluster.add_worker("a");  // spare capacity, which is scaled in
    cluster.add_worker("b");
    cluster.run(8);
    for (int round = 0; round < 3; ++round) {
      // Agent epochs end, and the same attempts start again in the next epoch.
      for (auto& [id, worker] : cluster.workers)
        worker->cannot_send = worker->cannot_send || round == 1;
      cluster.run(round == 1 ? cluster.base_settings.lease_s + 2 : 1);
      for (auto& [id, worker] : cluster.workers) worker->cannot_send = false;
      cluster.run(4);
      change_leader(cluster, 5);
      cluster.submit(0, job_spec(job_id(round), 1, JobKind::service, 2, "blue"));
      EXPECT_TRUE(wait_for(cluster, 30, [&] { return cluster.running_tasks(job_id(round)) == 1; }))
          << round;
    }
    EXPECT_TRUE(wait_for(cluster, 60, [&] { return cluster.running_tasks("j-000001") == 2; }));
  }
}

TEST(CompoundFailures, NothingIsPlacedOnAMachineKnownOnlyFromAnOldHeartbeat) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 1000;
  cluster.add_worker("a");
  cluster.replays_heartbeats = true;
  cluster.run(3);
  cluster.workers.at("n-1")->is_hung = cluster.workers.at("n-1")->is_deleted =
      true;  // deleted by the former leader
  change_leader(cluster, 5);
  cluster.submit(0, job_spec("j-000001"));
  EXPECT_TRUE(wait_for(cluster, 12, [&] { return cluster.running_tasks("j-000001") == 2; }));
}

TEST(CompoundFailures, JobsEndWhenOldHeartbeatsArriveAfterNewerOnes) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.random.seed(seed);
    cluster.late_heartbeat_share = 0.5;
    cluster.run_s = 12;
    cluster.run(1);
    for (int i = 0; i < 4; ++i)
      cluster.add_user(job_spec(job_id(i), 2, JobKind::job_array, 4), {-1, i == 0, false});
    cluster.run(10);
    for (auto& [id, worker] : cluster.workers) worker->cannot_send = true;
    cluster.run(cluster.base_settings.lease_s + 1);
    for (auto& [id, worker] : cluster.workers) worker->cannot_send = false;
    cluster.run(6);
    change_leader(cluster, 3);
    EXPECT_TRUE(wait_for(cluster, 120, [&] { return all_jobs_ended(cluster); })) << "seed " << seed;
  }
}

TEST(CompoundFailures, CancellationsReachWorkersThatCannotSendHeartbeats) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.run_s = 1000;
  cluster.run(1);
  cluster.submit(0, job_spec("j-000001"));
  cluster.submit(0, job_spec("j-000002"));
  ASSERT_TRUE(wait_for(cluster, 20, [&] {
    return cluster.running_tasks("j-000001") + cluster.running_tasks("j-000002") == 4;
  }));
  for (auto& [id, worker] : cluster.workers) worker->cannot_send = true;
  cluster.cancel(1, "j-000001");
  cluster.run(1);
  EXPECT_EQ(cluster.live_tasks("j-000001"), 0);  // stopped by a command
  cluster.run(cluster.base_settings.lease_s + 5);
  for (auto& [id, worker] : cluster.workers) worker->cannot_send = false;
  EXPECT_TRUE(wait_for(cluster, 60, [&] { return cluster.running_tasks("j-000002") == 2; }));
}

// ---- limits and zones ----

TEST(CompoundFailures, QuotaHoldsWhenJobsOnLostMachinesAreCancelledAndTheLeaderChanges) {
  for (const bool hang : {true, false}) {
    TestCluster cluster(3, {"a", "a", "b"});
    cluster.run_s = 1000;
    cluster.run(1);
    int next = 0;
    for (const char* team : {"red", "blue"}) {
      for (int i = 0; i < 2; ++i)
        cluster.submit(0, job_spec(job_id(next++), 2, JobKind::service, 4, team));
    }
    ASSERT_TRUE(wait_for(cluster, 30, [&] {
      int count = 0;
      for (int i = 0; i < 4; ++i) count += cluster.running_tasks(job_id(i));
      return count == 8;
    }));
    for (const char* team : {"red", "blue"})
      cluster.submit(0, job_spec(job_id(next++), 2, JobKind::service, 4, team));
    // Cancelled on unreachable machines; the waiting jobs need their resources.
    std::vector<std::string> lost = machines_with_tasks(cluster, job_id(0));
    for (const auto& id : machines_with_tasks(cluster, job_id(2))) lost.push_back(id);
    for (const auto& id : lost)
      (hang ? cluster.workers.at(id)->is_hung : cluster.workers.at(id)->cannot_receive) = true;
    cluster.cancel(0, job_id(0));
    cluster.cancel(1, job_id(2));
    cluster.run(2);
    change_leader(cluster, 4);
    cluster.run(6);
    if (cluster.leader() >= 0) change_leader(cluster, 1);
    cluster.run(4);
    for (const auto& id : lost) {
      cluster.workers.at(id)->cannot_receive = false;
      if (hang) cluster.resume_worker(*cluster.workers.at(id));
    }
    EXPECT_TRUE(wait_for(cluster, 90, [&] {
      return cluster.running_tasks(job_id(4)) + cluster.running_tasks(job_id(5)) == 4;
    }));
  }
}

TEST(CompoundFailures, JobsOnNewMachinesEndWithLateWritesAndALeaderCrash) {
  for (unsigned seed = 1; seed <= 8; ++seed) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.random.seed(seed);
    cluster.list_delay_s = 8;
    cluster.run_s = 15;
    cluster.run(1);
    cluster.late_write_share = 0.3;
    for (int i = 0; i < 6; ++i) {
      cluster.add_user(job_spec(job_id(i), 2, JobKind::job_array, 4, i % 2 == 0 ? "red" : "blue"),
                       {i == 3 ? 10.0 : -1, false, false});
    }
    cluster.run(6 + seed % 4);
    if (cluster.leader() >= 0) change_leader(cluster, 2);
    cluster.run(10);
    cluster.late_write_share = 0;
    EXPECT_TRUE(wait_for(cluster, 150, [&] { return all_jobs_ended(cluster); })) << "seed " << seed;
  }
}

TEST(CompoundFailures, OneZoneJobsRecoverWhenMachinesHangAndResume) {
  for (const auto kind : {JobKind::job_array, JobKind::service}) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.run_s = kind == JobKind::job_array ? 60 : 1000;
    cluster.run(1);
    for (const char* zone : {"a", "b"}) cluster.add_worker(zone);
    cluster.run(3);
    auto limited = job_spec("j-000001", 4, kind, 4);
    limited.one_zone = true;
    cluster.submit(0, limited);
    ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.running_tasks("j-000001") == 4; }));
    cluster.run(5);
    const auto machines = machines_with_tasks(cluster, "j-000001");
    auto& lost = *cluster.workers.at(machines.at(0));
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
                                        : cluster.running_tasks("j-000001") == 4;
    }));
  }
}

// ---- partitions ----

TEST(CompoundFailures, CancellationsAreExecutedWhenTheLeaderIsCutOffFromStateServiceAndPeers) {
  for (const auto& settings : {long_heartbeat_interval(), long_cancellation()}) {
    TestCluster cluster(3, {"a", "a", "a"}, settings);
    cluster.run_s = 1000;
    cluster.run(1);
    for (int i = 0; i < 3; ++i) cluster.submit(i, job_spec(job_id(i), 1));
    ASSERT_TRUE(wait_for(cluster, 40, [&] {
      return cluster.running_tasks(job_id(0)) + cluster.running_tasks(job_id(1)) +
                 cluster.running_tasks(job_id(2)) ==
             3;
    }));
    const int old = cluster.leader();
    cluster.cut_from_state = {old};
    cluster.cut_from_peers = {old};
    cluster.run(1);
    cluster.cancel(another_node(cluster, old), job_id(0));  // right after the partition begins
    ASSERT_TRUE(
        wait_for(cluster, 30, [&] { return cluster.leader() >= 0 && cluster.leader() != old; }));
    cluster.run(1);
    cluster.cancel(cluster.leader(), job_id(1));
    const double requested_at = cluster.reactor.now();
    EXPECT_EQ(cluster.send_request(old, "GET", "/v1/jobs/" + job_id(1)).status, 503);
    EXPECT_EQ(cluster.send_request(old, "POST", "/v1/jobs/" + job_id(1) + "/withdraw").status, 503);
    EXPECT_LT(cluster.reactor.now() - requested_at,
              0.1);  // at once, though the state service does not respond
    cluster.run(settings.cancel_s + 5);
    EXPECT_EQ(cluster.live_tasks(job_id(0)) + cluster.live_tasks(job_id(1)), 0);
    cluster.cut_from_state.clear();
    cluster.cut_from_peers.clear();
    cluster.run(10);
    EXPECT_EQ(cluster.state_of(old, job_id(1)), "withdrawn");
    EXPECT_TRUE(wait_for(cluster, 60, [&] { return cluster.running_tasks(job_id(2)) == 1; }));
  }
}

TEST(CompoundFailures, CancelledTasksEndInAZoneIsolatedForLongerThanALease) {
  TestCluster cluster(3, {"a", "a", "b"});
  cluster.run_s = 1000;
  cluster.run(1);
  for (int i = 0; i < 2; ++i) {
    auto limited = job_spec(job_id(i), 2);
    limited.zone = "b";
    cluster.submit(0, limited);
  }
  ASSERT_TRUE(wait_for(cluster, 30, [&] {
    return cluster.running_tasks(job_id(0)) + cluster.running_tasks(job_id(1)) == 4;
  }));
  cluster.isolated_zones = {"b"};
  cluster.run(1);
  cluster.cancel(cluster.leader() == 0 ? 1 : 0, job_id(0));
  if (cluster.leader() < 2) change_leader(cluster, 3);
  cluster.run(cluster.base_settings.cancel_s);
  EXPECT_EQ(cluster.live_tasks(job_id(0)), 0);
  cluster.isolated_zones.clear();
  EXPECT_TRUE(wait_for(cluster, 90, [&] { return cluster.running_tasks(job_id(1)) == 2; }));
}

TEST(CompoundFailures, JobsEndWhenTheStateServiceIsSlowOrRefusesTheLeaderBeforeAnOutage) {
  for (const bool slow : {true, false}) {
    TestCluster cluster(3, {"a", "a", "a"}, long_heartbeat_interval());
    cluster.run_s = 200;
    cluster.run(1);
    for (int i = 0; i < 6; ++i) {
      cluster.add_user(job_spec(job_id(i), 1, JobKind::service, 2),
                       {20.0 + 4 * i, false, i % 2 == 0});
    }
    cluster.run(20);
    if (slow) cluster.max_state_delay_s = 0.6;
    if (!slow && cluster.leader() >= 0) cluster.refused_by_state = {cluster.leader()};
    cluster.run(8);
    cluster.state_down = true;
    cluster.refused_by_state.clear();
    cluster.run(cluster.base_settings.cancel_s + 10);
    cluster.state_down = false;
    cluster.max_state_delay_s = 0;
    EXPECT_TRUE(wait_for(cluster, 90, [&] { return all_jobs_ended(cluster); }));
  }
}

// ---- users ----

TEST(CompoundFailures, AllNodesAgreeWithinMillisecondsAfterEachStateChange) {
  for (const double lost : {0.0, 0.4}) {
    for (const double late : {0.0, 0.3}) {
      TestCluster cluster;
      cluster.random.seed(7);
      cluster.run(1);
      cluster.lost_write_response_share = lost;
      cluster.late_write_share = late;
      cluster.state_service.enforces_write_rate = true;
      for (int i = 0; i < 9; ++i) {
        cluster.add_user(job_spec(job_id(i), 1 + i % 2, JobKind::job_array, 2),
                         {i % 3 == 0 ? 0.2 * i : -1, i % 3 == 1, true});
        cluster.run(0.5);
      }
      cluster.run(30);
      cluster.lost_write_response_share = cluster.late_write_share = 0;
      EXPECT_TRUE(wait_for(cluster, 90, [&] { return all_jobs_ended(cluster); }));
    }
  }
}

// Guards against a permanent refusal by a node that loads the machine types while it looks up the
// job.
TEST(CompoundFailures, ASubmissionToANodeThatHasJustStartedGetsRetryAfter) {
  TestCluster cluster;
  cluster.run(2);
  const int node = another_node(cluster, cluster.leader());
  cluster.crash_node(node);
  cluster.start_node(node);
  wire::JsonWriter text;
  wire::write_job(text, job_spec("j-000001"));
  const auto response = cluster.send_request(node, "POST", "/v1/jobs", text.take());
  EXPECT_EQ(response.status, 503);
  EXPECT_GT(response.retry_after_s, 0);
  cluster.run(0.5);
  cluster.submit(node, job_spec("j-000001"));
}

TEST(CompoundFailures, ACancellationAtTheEndOfTheLastTaskHasOneOutcome) {
  int done = 0, cancelled = 0;
  for (int moment = 0; moment < 16; ++moment) {
    TestCluster cluster;
    cluster.run(1);
    cluster.submit(0, job_spec("j-000001", 1, JobKind::job_array));
    ASSERT_TRUE(wait_for(cluster, 20, [&] { return cluster.running_tasks("j-000001") == 1; }));
    cluster.run(cluster.run_s - 0.5 + 0.15 * moment);
    const auto other = another_node(cluster, cluster.leader());
    EXPECT_EQ(cluster.send_request(other, "POST", "/v1/jobs/j-000001/withdraw").status, 200);
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

TEST(CompoundFailures, UrgentJobsRunFirstWhenResourcesAreShortAndTheStateServiceIsSlow) {
  TestCluster cluster(3, {"a", "a", "a"});
  cluster.max_state_delay_s = 0.4;
  cluster.run_s = 12;
  cluster.run(1);
  for (int i = 0; i < 10; ++i) {
    auto limited = job_spec(job_id(i), 2, JobKind::job_array, 4, i % 2 == 0 ? "red" : "blue");
    limited.priority = wire::Priority::best_effort;
    cluster.add_user(limited);
  }
  cluster.run(10);
  auto urgent = job_spec("j-000001", 2, JobKind::service, 4, "red");
  urgent.priority = wire::Priority::production;
  cluster.add_user(urgent);
  EXPECT_TRUE(wait_for(cluster, 25, [&] { return cluster.running_tasks("j-000001") == 2; }));
  EXPECT_TRUE(wait_for(cluster, 200, [&] {
    int done = 0;
    for (int i = 0; i < 10; ++i) done += cluster.rules.outcome(job_id(i)) == "done" ? 1 : 0;
    return done == 10;
  }));
}

}  // namespace
}  // namespace cranklock::testing
