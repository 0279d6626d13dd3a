// Cancellations during one or two other failures. The rule checker of each cluster checks all
// rules; a test itself checks that the failures occurred and that jobs are served afterwards.
#include <gtest/gtest.h>

#include "compound_failures.hpp"

namespace cranklock::testing {
namespace {

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

}  // namespace
}  // namespace cranklock::testing
