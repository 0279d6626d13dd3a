// Transactions without responses, together with another failure. The rule checker of each cluster
// checks all rules; a test itself checks that the failures occurred and that jobs are served
// afterwards.
#include <gtest/gtest.h>

#include <algorithm>

#include "compound_failures.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

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

}  // namespace
}  // namespace cranklock::testing
