// Quota of teams across changes of the leader. The rule checker of each cluster compares what is on
// the machines with the teams' limits.
#include <gtest/gtest.h>

#include "compound_failures.hpp"
#include "control/job_record.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

constexpr const char* kTeam = "red";

base::Settings settings_with_small_transactions() {
  auto settings = small_settings();
  settings.txn_ops = 4;
  return settings;
}

/// Whether the stored record of the job contains a placement.
bool is_placement_stored(const TestCluster& cluster, const std::string& id) {
  const auto stored = cluster.state_service.values.find("jobs/" + id);
  if (stored == cluster.state_service.values.end()) return false;
  const auto job = control::read_record(stored->second.data);
  return job && !job->placements.empty();
}

void crash_all(TestCluster& cluster) {
  for (int node = 0; node < cluster.nodes(); ++node) cluster.crash_node(node);
}

void start_all(TestCluster& cluster) {
  for (int node = 0; node < cluster.nodes(); ++node) cluster.start_node(node);
}

/// Adds jobs of one task with one GPU each, numbered from `first`.
void submit_one_gpu_jobs(TestCluster& cluster, int first, int count, wire::Priority priority) {
  for (int i = first; i < first + count; ++i) {
    auto spec = job_spec(job_id(i), 1, JobKind::service, 1, kTeam);
    spec.priority = priority;
    cluster.submit(0, spec);
  }
}

TEST(QuotaAcrossFailovers, EndedTasksDoNotRunAgainBesideWhatTookTheirQuota) {
  TestCluster cluster(3, {"a", "a", "a"}, settings_with_small_transactions());
  cluster.run_s = 1000;
  const auto* team = cluster.base_settings.find_team(kTeam);
  const int limit = static_cast<int>(team->gpus_max);
  const int first_preemptible = static_cast<int>(team->gpus);
  for (int i = 0; i < 3; ++i) cluster.add_worker();
  cluster.run(3);
  submit_one_gpu_jobs(cluster, 0, limit, wire::Priority::standard);
  cluster.run(4);
  ASSERT_TRUE(is_placement_stored(cluster, job_id(limit - 1)));
  submit_one_gpu_jobs(cluster, limit, limit, wire::Priority::production);
  auto& worker = *cluster.workers.at(machines_with_tasks(cluster, job_id(first_preemptible)).at(0));
  worker.is_hung = true;
  cluster.max_state_delay_s = 0.2;
  // The lease of the machine expires, and its tasks' quota goes to the jobs of higher priority.
  for (int i = 0; i < 2000 && !is_placement_stored(cluster, job_id(limit)); ++i) cluster.run(0.01);
  ASSERT_TRUE(is_placement_stored(cluster, job_id(limit)));
  crash_all(cluster);
  cluster.max_state_delay_s = 0;
  cluster.resume_worker(worker);
  cluster.run(0.5);
  start_all(cluster);
  cluster.run(15);
  int running = 0;
  for (int i = 0; i < 2 * limit; ++i) running += cluster.running_tasks(job_id(i));
  EXPECT_EQ(running, limit);
}

}  // namespace
}  // namespace cranklock::testing
