// Limits of the key-value store that fall, as the settings announce or without notice, while jobs
// whose records nearly fill a value are submitted, cancelled and run. PROTOCOL, "Rules": a repeated
// submission of an accepted job never gets 400 or 422.
#include <gtest/gtest.h>

#include <vector>

#include "control/job_record.hpp"
#include "test_cluster_internals.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

constexpr std::size_t kSmallValueBytes = 2048;
constexpr std::size_t kSmallTransaction = 4;
/// More than a cancellation, and the numbers of a started job, add to a record.
constexpr std::size_t kGrowthBytes = 60;
constexpr int kStages = 150;
constexpr int kFirstJob = 1000;

base::Settings settings_with(double value_kb, int txn_ops) {
  auto settings = small_settings();
  settings.teams = {{"red", 0, 0, 300, 400}};
  settings.state_rps = 1000;
  settings.state_write_rps = 300;
  settings.value_kb = value_kb;
  settings.txn_ops = txn_ops;
  return settings;
}
base::Settings settings_with_announced_limits() {
  return settings_with(2, 4);
}
base::Settings settings_without_notice() {
  return settings_with(8, 12);
}

wire::JobSpec stage(int number, std::uint32_t tasks = 1) {
  auto spec = make_job(job_id(number), JobKind::job_array, tasks, 1).spec;
  spec.resources = {0.1, 0.1, 0.1};
  return spec;
}

std::size_t stored_bytes(const sched::Job& job) {
  return control::write_record(job, kSmallValueBytes)[0].size();
}

/// Lengthens the image's name until the record of the accepted job has `bytes` bytes.
wire::JobSpec padded_to(wire::JobSpec spec, std::size_t bytes) {
  sched::Job job;
  job.spec = std::move(spec);
  job.created_ms = 1'000'000;
  const std::size_t before = stored_bytes(job);
  EXPECT_LE(before, bytes);
  job.spec.image += std::string(bytes - before, 'x');
  return job.spec;
}

/// A job that waits for so many stages that its record has `bytes` bytes.
wire::JobSpec dependent_of(std::size_t bytes, int number) {
  constexpr std::size_t kBytesPerDependency = 11;
  constexpr std::size_t kOtherBytes = 420;
  auto spec = stage(number);
  const std::size_t count = (bytes - kOtherBytes) / kBytesPerDependency;
  for (std::size_t i = 0; i < count; ++i) spec.dependencies.push_back(job_id(static_cast<int>(i)));
  return padded_to(spec, bytes);
}

/// A job without dependencies, with a list of machine types so long that its record has `bytes`
/// bytes.
wire::JobSpec long_description(std::size_t bytes, int number) {
  constexpr std::size_t kOtherBytes = 600;
  auto spec = stage(number);
  spec.types = {"g8", std::string(bytes - kOtherBytes, 't')};
  return padded_to(spec, bytes);
}

struct Scenario {
  TestCluster cluster;

  explicit Scenario(const base::Settings& settings, int machines = 3) : cluster(3, {}, settings) {
    cluster.run(2);
    add_machines(machines);
    cluster.run(3);
  }
  void add_machines(int machines) {
    for (int i = 0; i < machines; ++i) cluster.add_worker();
  }
  void lower_limits() { cluster.state_service.limits = {kSmallValueBytes, kSmallTransaction, 0}; }
  /// The status of a submission, repeated as users do while it is 503.
  int submit(int node, const wire::JobSpec& spec) {
    int status = 503;
    wait_for(cluster, 20, [&] {
      if (status == 503)
        status = cluster.send_request(node, "POST", "/v1/jobs", to_json(spec)).status;
      return status != 503;
    });
    return status;
  }
  void submit_stages() {
    for (int i = 0; i < kStages; ++i) ASSERT_LE(submit(i % 3, stage(i)), 201) << i;
  }
  bool is_accepted(int node, const wire::JobSpec& spec) {
    const int status = submit(node, spec);
    return status == 200 || status == 201;
  }
  /// The status of a single request to cancel the job.
  int cancel(int node, const std::string& id) {
    return cluster.send_request(node, "POST", "/v1/jobs/" + id + "/withdraw", "{}").status;
  }
  void expect_cancelled_everywhere(const std::string& id) {
    for (int node = 0; node < cluster.nodes(); ++node) {
      EXPECT_EQ(cancel(node, id), 200) << id << " at node " << node;
      EXPECT_EQ(cluster.state_of(node, id), "withdrawn") << id << " at node " << node;
    }
  }
  void expect_known_everywhere(const wire::JobSpec& spec) {
    for (int node = 0; node < cluster.nodes(); ++node) {
      EXPECT_EQ(submit(node, spec), 200) << spec.id << " at node " << node;
    }
  }
  std::size_t bytes_of(const std::string& id) const {
    const auto found = cluster.state_service.values.find("jobs/" + id);
    return found == cluster.state_service.values.end() ? 0 : found->second.data.size();
  }
  int refused() const { return static_cast<int>(cluster.state_service.refused_as_too_large); }
};

// Guards against a cancellation that never succeeds, since it makes the record too long, and whose
// refusals then turn the repeated submission of another job into a 400.
TEST(StoreLimits, ADependentWhoseRecordNearlyFillsAValueIsCancelledUnderTheAnnouncedLimits) {
  Scenario scenario(settings_with_announced_limits());
  scenario.cluster.run_s = 10'000;
  scenario.submit_stages();
  const auto other = dependent_of(1417, kFirstJob);
  ASSERT_TRUE(scenario.is_accepted(0, other));
  std::vector<std::string> ids;
  for (std::size_t bytes = kSmallValueBytes - kGrowthBytes; bytes <= kSmallValueBytes; ++bytes) {
    const auto number = kFirstJob + 1 + static_cast<int>(ids.size());
    const auto spec = dependent_of(bytes, number);
    ASSERT_TRUE(scenario.is_accepted(number % 3, spec)) << bytes;
    EXPECT_GE(scenario.bytes_of(spec.id), bytes);
    ids.push_back(spec.id);
  }
  scenario.lower_limits();
  for (std::size_t i = 0; i < ids.size(); ++i) {
    EXPECT_EQ(scenario.cancel(static_cast<int>(i % 3), ids[i]), 200) << ids[i];
  }
  scenario.expect_known_everywhere(other);
  for (const auto& id : ids) scenario.expect_cancelled_everywhere(id);
  EXPECT_EQ(scenario.refused(), 0);
}

// Guards against jobs that are accepted and then can neither start nor be cancelled.
TEST(StoreLimits, WhateverIsAcceptedCanBeCancelledAndRunsUnderTheAnnouncedLimits) {
  for (const bool cancels : {true, false}) {
    Scenario scenario(settings_with_announced_limits());
    scenario.lower_limits();
    std::vector<std::string> ids;
    int refused = 0;
    for (std::size_t bytes = kSmallValueBytes - kGrowthBytes; bytes <= kSmallValueBytes; ++bytes) {
      const auto number = kFirstJob + static_cast<int>(bytes);
      const auto spec = long_description(bytes, number);
      const int status = scenario.submit(number % 3, spec);
      if (status == 201) {
        ids.push_back(spec.id);
      } else {
        EXPECT_EQ(status, 400);
        ++refused;
      }
    }
    EXPECT_GT(ids.size(), 0U);
    EXPECT_GT(refused, 0);
    if (cancels) {
      for (const auto& id : ids) scenario.expect_cancelled_everywhere(id);
    } else {
      for (const auto& id : ids) {
        EXPECT_TRUE(wait_for(scenario.cluster, 60, [&] {
          return scenario.cluster.state_of(0, id) == "done";
        })) << id;
      }
    }
    EXPECT_EQ(scenario.refused(), 0);
  }
}

// Guards against a dependent that is accepted and can't be started: its record grows by the numbers
// of its attempts, also under another leader.
TEST(StoreLimits, ADependentWhoseRecordNearlyFillsAValueRunsUnderTheAnnouncedLimits) {
  Scenario scenario(settings_with_announced_limits());
  scenario.lower_limits();
  scenario.submit_stages();
  std::vector<std::string> ids;
  for (std::size_t bytes = kSmallValueBytes - 30; bytes <= kSmallValueBytes; ++bytes) {
    const auto spec = dependent_of(bytes, kFirstJob + static_cast<int>(ids.size()));
    ASSERT_TRUE(scenario.is_accepted(0, spec)) << bytes;
    ids.push_back(spec.id);
  }
  scenario.cluster.run_s = 15;
  ASSERT_TRUE(wait_for(scenario.cluster, 60,
                       [&] { return scenario.cluster.running_tasks(ids.back()) == 1; }));
  scenario.cluster.crash_node(scenario.cluster.leader());
  ASSERT_TRUE(wait_for(scenario.cluster, 30, [&] { return scenario.cluster.leader() >= 0; }));
  for (const auto& id : ids) {
    EXPECT_TRUE(wait_for(scenario.cluster, 60, [&] {
      return scenario.cluster.state_of(scenario.cluster.leader(), id) == "done";
    })) << id;
    EXPECT_EQ(scenario.cluster.start_counts[id + "/0"], 1) << id;
  }
  EXPECT_EQ(scenario.refused(), 0);
}

// A dependent that runs is cancelled; its record has no room for the cancellation.
TEST(StoreLimits, ARunningDependentWithALongDescriptionIsCancelled) {
  Scenario scenario(settings_with_announced_limits());
  scenario.lower_limits();
  scenario.submit_stages();
  auto spec = dependent_of(kSmallValueBytes - 4, kFirstJob);
  scenario.cluster.run_s_by_task[spec.id + "/0"] = 10'000;
  ASSERT_TRUE(scenario.is_accepted(0, spec));
  ASSERT_TRUE(
      wait_for(scenario.cluster, 60, [&] { return scenario.cluster.running_tasks(spec.id) == 1; }));
  scenario.expect_cancelled_everywhere(spec.id);
  EXPECT_TRUE(wait_for(scenario.cluster, scenario.cluster.base_settings.cancel_s,
                       [&] { return scenario.cluster.live_tasks(spec.id) == 0; }));
  scenario.expect_known_everywhere(spec);
}

// It is accepted as cancelled, which makes its record longer than its description alone.
TEST(StoreLimits, ADependentOfACancelledJobIsAcceptedWhateverItsLength) {
  Scenario scenario(settings_with_announced_limits());
  scenario.lower_limits();
  scenario.cluster.run_s = 10'000;
  scenario.submit_stages();
  scenario.cluster.cancel(1, job_id(0));
  for (std::size_t bytes = kSmallValueBytes - 15; bytes <= kSmallValueBytes; ++bytes) {
    const auto spec = dependent_of(bytes, kFirstJob + static_cast<int>(bytes));
    EXPECT_TRUE(scenario.is_accepted(0, spec)) << bytes;
    scenario.expect_cancelled_everywhere(spec.id);
  }
  EXPECT_EQ(scenario.refused(), 0);
}

/// All nodes restart with the smaller limits, which the store then has too.
void restart_with_smaller_limits(Scenario& scenario) {
  auto& cluster = scenario.cluster;
  for (int node = 0; node < cluster.nodes(); ++node) cluster.crash_node(node);
  cluster.base_settings.value_kb = kSmallValueBytes / 1024.0;
  cluster.base_settings.txn_ops = kSmallTransaction;
  scenario.lower_limits();
  for (int node = 0; node < cluster.nodes(); ++node) cluster.start_node(node);
  ASSERT_TRUE(wait_for(cluster, 30, [&] { return cluster.leader() >= 0; }));
  cluster.run(3);
}

// The version in production stores records in values of the size that the limits have before they
// fall. Its lists have to be divided to make room, in more than one transaction.
TEST(StoreLimits, AnArrayStoredInOneLongValueIsCancelledAtEveryNodeOnceTheLimitsHaveFallen) {
  for (const int tasks : {100, 300, 520}) {
    for (int node = 0; node < 3; ++node) {
      Scenario scenario(settings_without_notice(), 8);
      auto& cluster = scenario.cluster;
      cluster.run_s = 10'000;
      const auto spec = stage(kFirstJob, static_cast<std::uint32_t>(tasks));
      ASSERT_TRUE(scenario.is_accepted(0, spec));
      ASSERT_TRUE(wait_for(cluster, 30, [&] { return cluster.running_tasks(spec.id) == tasks; }));
      ASSERT_TRUE(wait_for(cluster, 10, [&] {
        return scenario.bytes_of(spec.id) > static_cast<std::size_t>(tasks) * 15;
      }));
      restart_with_smaller_limits(scenario);
      ASSERT_GT(scenario.bytes_of(spec.id) + 200, static_cast<std::size_t>(tasks) * 15);
      EXPECT_EQ(scenario.cancel(node, spec.id), 200) << tasks << " tasks, node " << node;
      EXPECT_EQ(scenario.refused(), 0);
      scenario.expect_cancelled_everywhere(spec.id);
      EXPECT_TRUE(wait_for(cluster, cluster.base_settings.cancel_s,
                           [&] { return cluster.live_tasks(spec.id) == 0; }));
      EXPECT_TRUE(wait_for(
          cluster, 60, [&] { return cluster.state_service.values.contains("ended/" + spec.id); }));
      for (const auto& [key, value] : cluster.state_service.values)
        EXPECT_FALSE(key.starts_with("parts/")) << key;
    }
  }
}

// It can't be written again, but it is known and can be cancelled, and no other job waits for it.
TEST(StoreLimits, ADescriptionLongerThanAValueDelaysNoOtherJob) {
  Scenario scenario(settings_without_notice(), 0);
  auto& cluster = scenario.cluster;
  const auto too_long = long_description(3000, kFirstJob);
  cluster.cloud_without_capacity = true;
  ASSERT_TRUE(scenario.is_accepted(0, too_long));
  restart_with_smaller_limits(scenario);
  scenario.expect_known_everywhere(too_long);
  EXPECT_EQ(scenario.submit(0, long_description(3000, kFirstJob + 1)), 400);
  scenario.add_machines(3);
  for (int i = 0; i < 5; ++i) ASSERT_TRUE(scenario.is_accepted(i % 3, stage(i)));
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(wait_for(cluster, 20, [&] { return cluster.state_of(0, job_id(i)) == "done"; }));
  }
  scenario.expect_cancelled_everywhere(too_long.id);
  scenario.expect_known_everywhere(too_long);
  EXPECT_EQ(scenario.refused(), 0);
}

// The settings announce nothing. The nodes learn from refusals, and a repeated submission is looked
// up whatever they believe.
TEST(StoreLimits, LimitsThatFallWithoutNoticeRefuseNoRepeatedSubmission) {
  Scenario scenario(settings_without_notice());
  scenario.cluster.run_s = 10'000;
  scenario.submit_stages();
  const auto other = dependent_of(1417, kFirstJob);
  const auto cancelled = dependent_of(kSmallValueBytes - 4, kFirstJob + 1);
  const auto longer = long_description(3000, kFirstJob + 2);
  for (const auto& spec : {other, cancelled, longer}) ASSERT_TRUE(scenario.is_accepted(0, spec));
  scenario.cluster.state_service.limits = {kSmallValueBytes, kSmallTransaction, 0};
  for (const auto& spec : {cancelled, longer}) scenario.expect_cancelled_everywhere(spec.id);
  for (const auto& spec : {other, cancelled, longer}) scenario.expect_known_everywhere(spec);
  // A new one that is too long is not refused for good: the limits may rise again.
  const auto response = scenario.cluster.send_request(
      1, "POST", "/v1/jobs", to_json(long_description(3000, kFirstJob + 3)));
  EXPECT_EQ(response.status, 503);
}

// Guards against a final refusal of what the store would take, by a node that takes the limits for
// lower than they are.
TEST(StoreLimits, ANewJobIsNotRefusedForWhatANodeHasLearned) {
  Scenario scenario(settings_without_notice());
  scenario.cluster.state_service.limits = {1500, kSmallTransaction, 0};
  for (int i = 0; i < 4; ++i) {
    scenario.cluster.send_request(0, "POST", "/v1/jobs",
                                  to_json(long_description(1900, kFirstJob + i)));
  }
  EXPECT_GE(scenario.refused(), 3);
  EXPECT_EQ(scenario.submit(0, long_description(1300, kFirstJob + 10)), 201);
}

// The limits fall while the answer to a write is lost.
TEST(StoreLimits, LimitsThatFallDuringAnUnansweredWriteRefuseNoRepeatedSubmission) {
  for (const bool announced : {true, false}) {
    Scenario scenario(announced ? settings_with_announced_limits() : settings_without_notice());
    auto& cluster = scenario.cluster;
    const auto spec = long_description(announced ? 1900 : 3000, kFirstJob);
    cluster.lost_write_responses = 1;
    cluster.send_request(0, "POST", "/v1/jobs", to_json(spec));
    scenario.lower_limits();
    EXPECT_TRUE(scenario.is_accepted(1, spec));
    scenario.expect_known_everywhere(spec);
    cluster.lost_write_responses = 1;
    scenario.cancel(2, spec.id);
    EXPECT_TRUE(wait_for(cluster, 10, [&] { return scenario.cancel(2, spec.id) == 200; }));
    scenario.expect_cancelled_everywhere(spec.id);
    scenario.expect_known_everywhere(spec);
  }
}

}  // namespace
}  // namespace cranklock::testing
