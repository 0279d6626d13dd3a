// Quota of teams across changes of the leader. The rule checker of each cluster compares what is on
// the machines with the teams' limits.
#include <gtest/gtest.h>

#include "compound_failures.hpp"
#include "control/job_record.hpp"
#include "control/record_keys.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

constexpr const char* kTeam = "red";
constexpr std::size_t kMaxValueBytes = 8192;

base::Settings settings_with_small_transactions() {
  auto settings = small_settings();
  settings.txn_ops = 4;
  return settings;
}

/// Whether the stored record of the job contains a placement.
bool is_placement_stored(const TestCluster& cluster, const std::string& id) {
  const auto stored = cluster.state_service.values.find(control::job_key(id));
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

/// How many of the first `count` jobs run.
int running_jobs(const TestCluster& cluster, int count) {
  int running = 0;
  for (int i = 0; i < count; ++i) running += cluster.running_tasks(job_id(i));
  return running;
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
  EXPECT_EQ(running_jobs(cluster, 2 * limit), limit);
}

/// Stores placements of waiting jobs as an earlier version could leave them at its end: beyond the
/// team's limit.
void store_placements(TestCluster& cluster, int first, int count, const std::string& machine) {
  for (int i = first; i < first + count; ++i) {
    auto& stored = cluster.state_service.values.at(control::job_key(job_id(i)));
    auto job = control::read_record(stored.data);
    ASSERT_TRUE(job && job->placements.empty());
    sched::Placement placement;
    placement.attempt = ++job->last_attempt;
    placement.machine = machine;
    job->placements.push_back(placement);
    stored.data = control::write_record(*job, kMaxValueBytes).front();
    stored.revision = ++cluster.state_service.revision;
  }
}

TEST(QuotaAcrossFailovers, WhatAnEarlierVersionStoredBeyondTheLimitIsNotStarted) {
  for (const bool leases_expire : {false, true}) {
    TestCluster cluster(3, {"a", "a", "a"});
    cluster.expected_violations = {"stored_quota"};
    cluster.run_s = 1000;
    const int limit = static_cast<int>(cluster.base_settings.find_team(kTeam)->gpus_max);
    for (int i = 0; i < 3; ++i) cluster.add_worker();
    cluster.run(3);
    submit_one_gpu_jobs(cluster, 0, limit + 4, wire::Priority::standard);
    cluster.run(5);
    crash_all(cluster);
    store_placements(cluster, limit, 4, "n-3");
    cluster.run(leases_expire ? 1.5 * cluster.base_settings.lease_s : 0.5);
    start_all(cluster);
    EXPECT_TRUE(wait_for(cluster, 30, [&] { return running_jobs(cluster, limit + 4) == limit; }));
    cluster.run(10);
    EXPECT_EQ(running_jobs(cluster, limit + 4), limit);
  }
}

}  // namespace
}  // namespace cranklock::testing
