// Large and small jobs beside each other in a cluster, across a change of leader.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

/// One machine, with no other to be had from the cloud, and a large job of the given kind.
class LargeJobInACluster : public ::testing::TestWithParam<JobKind> {
 protected:
  static constexpr const char* kLarge = "j-100001";
  static constexpr double kBootS = 45;  ///< of machine_type()

  LargeJobInACluster() { cluster_.cloud_without_capacity = true; }
  /// Without guarantees no job is entitled to preempt another.
  static base::Settings settings() {
    auto settings = small_settings();
    settings.teams = {{"red", 0, 0, 0, 64}, {"blue", 0, 0, 0, 64}};
    return settings;
  }
  void add_machine() {
    cluster_.add_worker();
    cluster_.run(5);
  }
  static wire::JobSpec spec(const std::string& id, JobKind kind, std::uint32_t tasks, double gpus,
                            const std::string& team = "red") {
    auto made = make_job(id, kind, tasks, gpus, team).spec;
    made.estimate_s = kind == JobKind::service ? 0 : 5;
    made.image_gb = 0;
    return made;
  }
  void submit(const wire::JobSpec& job) { cluster_.submit(1, job); }
  void change_leader() {
    const int leader = cluster_.leader();
    ASSERT_GE(leader, 0);
    cluster_.crash_node(leader);
    cluster_.run(1);
    cluster_.start_node(leader);
    cluster_.run(cluster_.base_settings.lease_s);
    ASSERT_GE(cluster_.leader(), 0);
  }
  bool has_started(const std::string& job) { return cluster_.start_counts[job + "/0"] > 0; }

  TestCluster cluster_{3, {}, settings()};
};

TEST_P(LargeJobInACluster, SmallJobsRunBesideReplicasThatKeepItOut) {
  add_machine();
  cluster_.run_s_by_task["j-100002/0"] = 10'000;
  submit(spec("j-100002", JobKind::service, 1, 5));
  cluster_.run(5);
  ASSERT_EQ(cluster_.running_tasks("j-100002"), 1);
  submit(spec(kLarge, GetParam(), 1, 8, "blue"));
  cluster_.run(kBootS + 5);
  submit(spec("j-100003", JobKind::job_array, 2, 1, "blue"));
  cluster_.run(10);
  EXPECT_TRUE(has_started("j-100003"));
  change_leader();
  cluster_.run(kBootS + 5);
  submit(spec("j-100004", JobKind::job_array, 2, 1, "blue"));
  cluster_.run(10);
  EXPECT_TRUE(has_started("j-100004"));
  EXPECT_FALSE(has_started(kLarge));
}

TEST_P(LargeJobInACluster, ItStartsThoughSmallJobsKeepComing) {
  add_machine();
  const double began = cluster_.reactor.now();
  constexpr double kBlockedS = 80;
  cluster_.run_s_by_task["j-100002/0"] = kBlockedS;
  auto blocker = spec("j-100002", JobKind::job_array, 1, 4);
  blocker.estimate_s = kBlockedS;
  submit(blocker);
  cluster_.run(5);
  submit(spec(kLarge, GetParam(), 1, 8, "blue"));
  int small_jobs = 0;
  const auto run_with_small_jobs = [&](double seconds) {
    for (double end = cluster_.reactor.now() + seconds; cluster_.reactor.now() < end;) {
      const std::string id = "j-" + std::to_string(200'000 + small_jobs++);
      submit(spec(id, JobKind::job_array, 2, 1));
      cluster_.run(2);
    }
  };
  run_with_small_jobs(20);
  change_leader();
  while (cluster_.reactor.now() < began + kBlockedS + kBootS && !has_started(kLarge)) {
    run_with_small_jobs(4);
  }
  EXPECT_TRUE(has_started(kLarge));
  EXPECT_TRUE(has_started("j-200000"));
}

INSTANTIATE_TEST_SUITE_P(Kinds, LargeJobInACluster,
                         ::testing::Values(JobKind::job_array, JobKind::service, JobKind::gang));

}  // namespace
}  // namespace cranklock::testing
