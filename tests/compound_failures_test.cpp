// Two failures at the same time: leader changes, heartbeats, limits, zones, partitions and users.
// The rule checker of each cluster checks all rules; a test itself checks that the failures
// occurred and that jobs are served afterwards.
#include "compound_failures.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cranklock::testing {
namespace {

using wire::JobKind;

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
