// Machines nominated for large jobs: what they are kept from, and that large jobs start.
#include "sched/nomination.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "fixtures.hpp"

namespace cranklock::sched {
namespace {

using testing::Fleet;
using testing::make_job;
using wire::JobKind;

constexpr double kNow = 100;  ///< all large jobs have waited for a boot time

std::string kind_name(JobKind kind) {
  return kind == JobKind::job_array ? "Array" : kind == JobKind::service ? "Service" : "Gang";
}

/// A fleet whose machines have durable tasks, and large jobs that wait for them.
struct CrowdedFleet : Fleet {
  explicit CrowdedFleet(std::initializer_list<MachineLocation> machines) : Fleet(machines) {
    settings.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
  }
  Job& add_job(const std::string& id, JobKind kind, std::uint32_t tasks, double gpus,
               double estimate_s = 0) {
    Job job = make_job(id, kind, tasks, gpus);
    job.spec.estimate_s = estimate_s;
    job.spec.image_gb = 0;
    return add(std::move(job));
  }
  /// Places a task that has run since `running_since`.
  void place(Job& job, std::uint32_t task, const std::string& machine, double running_since = 1) {
    Placement& placement = cluster.add_placement(job, task, task + 1, machine, 1);
    placement.write = PlacementWrite::durable;
    placement.running_since = running_since;
  }
  /// One replica of this size on the machine.
  Job& add_replica(const std::string& id, const std::string& machine, double gpus) {
    Job& job = add_job(id, JobKind::service, 1, gpus);
    place(job, 0, machine);
    return job;
  }
  /// A task of an array that has run since `running_since`.
  Job& add_running(const std::string& id, const std::string& machine, double gpus,
                   double estimate_s, double running_since = kNow) {
    Job& job = add_job(id, JobKind::job_array, 1, gpus, estimate_s);
    place(job, 0, machine, running_since);
    return job;
  }
  void end_tasks(Job& job, double now) {
    for (auto& placement : job.placements) {
      job.mark_completed(placement.task);
      cluster.end_placement(job, placement, EndProof::exit_reported, now);
    }
    mark_written(job);
  }
};

class LargeJobOfKind : public ::testing::TestWithParam<JobKind> {};

// Guards against small jobs that wait beside free resources for a job that replicas keep out.
TEST_P(LargeJobOfKind, WhereReplicasStandNoMachineIsKept) {
  CrowdedFleet fleet({{"n-1", "a"}});
  fleet.add_replica("j-000001", "n-1", 3);
  const Job& large = fleet.add_job("j-000002", GetParam(), 1, 8);
  const Job& small = fleet.add_job("j-000003", JobKind::job_array, 2, 1);
  EXPECT_EQ(fleet.run_pass(kNow).placed, 2);
  EXPECT_EQ(small.live_count(), 2U);
  EXPECT_EQ(large.live_count(), 0U);
}

TEST_P(LargeJobOfKind, AMachineWithoutReplicasIsChosenAndTheOtherIsNotKept) {
  CrowdedFleet fleet({{"n-1", "a"}, {"n-2", "a"}});
  fleet.add_replica("j-000001", "n-1", 1);
  Job& running = fleet.add_running("j-000002", "n-2", 4, 0);
  const Job& large = fleet.add_job("j-000003", GetParam(), 1, 8);
  const Job& small = fleet.add_job("j-000004", JobKind::job_array, 9, 1);
  fleet.run_pass(kNow);
  EXPECT_EQ(small.live_count(), 7U);
  for (const auto& placement : small.placements) EXPECT_EQ(placement.machine, "n-1");
  fleet.end_tasks(running, kNow + 1);
  fleet.run_pass(kNow + 1);
  ASSERT_EQ(large.live_count(), 1U);
  EXPECT_EQ(large.placements[0].machine, "n-2");
}

// Guards against a large job that waits for ever behind a stream of small ones.
TEST_P(LargeJobOfKind, ItStartsThoughSmallJobsKeepComing) {
  CrowdedFleet fleet({{"n-1", "a"}});
  Job* oldest = &fleet.add_running("j-000001", "n-1", 4, 30);
  const Job& large = fleet.add_job("j-000002", GetParam(), 1, 8);
  double now = kNow;
  // Each takes ten times as long as estimated.
  constexpr double kRealRunS = 200;
  std::vector<std::pair<double, Job*>> running{{kNow + 30, oldest}};
  for (int i = 3; now < kNow + 900 && large.live_count() == 0; ++i, now += 5) {
    Job& small = fleet.add_job("j-" + std::to_string(100'000 + i), JobKind::job_array, 1, 1, 20);
    fleet.run_pass(now);
    for (auto& [ends_at, job] : running) {
      if (ends_at <= now && job->live_count() > 0) fleet.end_tasks(*job, now);
    }
    if (small.live_count() == 0) continue;
    small.placements[0].running_since = now;
    running.emplace_back(now + kRealRunS, &small);
  }
  EXPECT_EQ(large.live_count(), 1U);
  EXPECT_LT(now, kNow + 30 + kRealRunS + 20);
}

TEST_P(LargeJobOfKind, ShortTasksRunUntilItCanStart) {
  CrowdedFleet fleet({{"n-1", "a"}});
  fleet.add_running("j-000001", "n-1", 4, 1000);
  fleet.add_job("j-000002", GetParam(), 1, 8);
  const Job& replica = fleet.add_job("j-000003", JobKind::service, 1, 1);
  const Job& unknown = fleet.add_job("j-000004", JobKind::job_array, 1, 1);
  const Job& longer = fleet.add_job("j-000005", JobKind::job_array, 1, 1, 1500);
  const Job& shorter = fleet.add_job("j-000006", JobKind::job_array, 1, 1, 300);
  fleet.run_pass(kNow);
  EXPECT_EQ(shorter.live_count(), 1U);
  for (const Job* kept_out : {&replica, &unknown, &longer}) EXPECT_EQ(kept_out->live_count(), 0U);
}

TEST_P(LargeJobOfKind, WhatFitsBesideItIsNotKeptOut) {
  CrowdedFleet fleet({{"n-1", "a"}});
  Job& running = fleet.add_running("j-000001", "n-1", 4, 0);
  const Job& large = fleet.add_job("j-000002", GetParam(), 1, 6);
  const Job& replicas = fleet.add_job("j-000003", JobKind::service, 3, 1);
  fleet.run_pass(kNow);
  EXPECT_EQ(replicas.live_count(), 2U);
  fleet.run_pass(kNow + 1);
  EXPECT_EQ(replicas.live_count(), 2U);
  fleet.end_tasks(running, kNow + 2);
  fleet.run_pass(kNow + 2);
  EXPECT_EQ(large.live_count(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Kinds, LargeJobOfKind,
                         ::testing::Values(JobKind::job_array, JobKind::service, JobKind::gang),
                         [](const auto& kind) { return kind_name(kind.param); });

// Guards against a task that has outlasted its estimate and keeps all others out.
TEST(Nomination, ATaskThatOutlastsItsEstimateIsExpectedToGoOn) {
  CrowdedFleet fleet({{"n-1", "a"}});
  fleet.add_running("j-000001", "n-1", 4, 10, kNow - 90);
  fleet.add_job("j-000002", JobKind::job_array, 1, 8);
  const Job& small = fleet.add_job("j-000003", JobKind::job_array, 1, 1, 10);
  fleet.run_pass(kNow);
  EXPECT_EQ(small.live_count(), 1U);
}

// Guards against machines that are kept for a gang of which another task has no place.
TEST(Nomination, AGangThatReplicasKeepOutOfOneMachineKeepsNone) {
  CrowdedFleet fleet({{"n-1", "a"}, {"n-2", "a"}});
  fleet.add_replica("j-000001", "n-1", 1);
  fleet.add_running("j-000002", "n-2", 4, 0);
  fleet.add_job("j-000003", JobKind::gang, 2, 8);
  const Job& small = fleet.add_job("j-000004", JobKind::job_array, 11, 1);
  fleet.run_pass(kNow);
  EXPECT_EQ(small.live_count(), 11U);
}

TEST(Nomination, AGangStartsOnTheMachinesWithoutReplicas) {
  CrowdedFleet fleet({{"n-1", "a"}, {"n-2", "a"}, {"n-3", "a"}});
  fleet.add_replica("j-000001", "n-1", 1);
  Job& first = fleet.add_running("j-000002", "n-2", 4, 0);
  Job& second = fleet.add_running("j-000003", "n-3", 4, 0);
  const Job& gang = fleet.add_job("j-000004", JobKind::gang, 2, 8);
  const Job& small = fleet.add_job("j-000005", JobKind::job_array, 20, 1);
  fleet.run_pass(kNow);
  EXPECT_EQ(small.live_count(), 7U);
  fleet.end_tasks(first, kNow + 1);
  fleet.run_pass(kNow + 1);
  EXPECT_EQ(small.live_count(), 7U);
  fleet.end_tasks(second, kNow + 2);
  fleet.run_pass(kNow + 2);
  EXPECT_EQ(gang.live_count(), 2U);
}

// Guards against a free machine that is kept from short work until another one is free.
TEST(Nomination, AGangKeepsAFreeMachineOnlyFromWorkThatOutlastsItsWait) {
  CrowdedFleet fleet({{"n-1", "a"}, {"n-2", "a"}});
  fleet.add_running("j-000001", "n-1", 4, 1000);
  fleet.add_running("j-000002", "n-2", 4, 10, kNow);
  fleet.add_job("j-000003", JobKind::gang, 2, 8);
  const Job& longer = fleet.add_job("j-000004", JobKind::job_array, 8, 1, 1500);
  const Job& shorter = fleet.add_job("j-000005", JobKind::job_array, 8, 1, 100);
  fleet.run_pass(kNow);
  EXPECT_EQ(longer.live_count(), 0U);
  EXPECT_EQ(shorter.live_count(), 8U);
}

TEST(Nomination, SeveralTasksOfAGangMayGetOneMachine) {
  CrowdedFleet fleet({{"n-1", "a"}, {"n-2", "a"}});
  fleet.add_running("j-000001", "n-1", 1, 0);
  fleet.add_replica("j-000002", "n-2", 8);
  fleet.add_job("j-000003", JobKind::gang, 2, 4);
  const Job& small = fleet.add_job("j-000004", JobKind::job_array, 4, 1);
  EXPECT_EQ(fleet.run_pass(kNow).placed, 0);
  EXPECT_EQ(small.live_count(), 0U);
}

// Guards against a machine that is kept for a task which its job's zone rules keep away.
TEST(Nomination, AMachineInAZoneThatTheJobMayNotUseIsNotKept) {
  CrowdedFleet fleet({{"n-1", "a"}, {"n-2", "b"}});
  Job& large = fleet.add_job("j-000001", JobKind::service, 2, 8);
  large.spec.one_zone = true;
  fleet.place(large, 0, "n-1");
  fleet.add_running("j-000002", "n-2", 1, 0);
  const Job& small = fleet.add_job("j-000003", JobKind::job_array, 7, 1);
  fleet.run_pass(kNow);
  EXPECT_EQ(small.live_count(), 7U);
}

TEST(Nomination, ASpreadGangKeepsMachinesInBothZonesOrNone) {
  CrowdedFleet fleet({{"n-1", "a"}, {"n-2", "a"}});
  fleet.add_running("j-000001", "n-1", 1, 0);
  fleet.add_running("j-000002", "n-2", 1, 0);
  Job& gang = fleet.add_job("j-000003", JobKind::gang, 2, 8);
  gang.spec.spread = true;
  const Job& small = fleet.add_job("j-000004", JobKind::job_array, 14, 1);
  fleet.run_pass(kNow);
  EXPECT_EQ(small.live_count(), 14U);
}

// Guards against a short job that is passed over because a longer one found no machine.
TEST(Nomination, ALongerJobsFailedSearchDoesNotRuleOutAShorterJob) {
  CrowdedFleet fleet({{"n-1", "a"}});
  fleet.add_running("j-000001", "n-1", 4, 1000);
  fleet.add_job("j-000002", JobKind::job_array, 1, 8);
  fleet.add_job("j-000003", JobKind::job_array, 1, 2, 1500);
  const Job& shorter = fleet.add_job("j-000004", JobKind::job_array, 2, 2, 100);
  fleet.run_pass(kNow);
  EXPECT_EQ(shorter.live_count(), 2U);
}

// Guards against a machine kept for as long as a replica is being stopped for another job.
TEST(Nomination, ReleasedResourcesBeyondTheNomineesAreNotKept) {
  CrowdedFleet fleet({{"n-1", "a"}});
  Job& stopping = fleet.add_replica("j-000001", "n-1", 4);
  stopping.placements[0].request_stop(0, kNow);
  const Job& nominee = fleet.add_job("j-000002", JobKind::service, 1, 6);
  const Job& small = fleet.add_job("j-000003", JobKind::service, 4, 1);
  fleet.run_pass(kNow);
  EXPECT_EQ(nominee.live_count(), 0U);
  EXPECT_EQ(small.live_count(), 2U);
}

// Guards against a replica of a cancelled job that counts as standing.
TEST(Nomination, AReplicaOfACancelledJobDoesNotStand) {
  CrowdedFleet fleet({{"n-1", "a"}});
  Job& cancelled = fleet.add_replica("j-000001", "n-1", 4);
  fleet.cluster.cancel(cancelled, 1, kNow);
  fleet.add_job("j-000002", JobKind::service, 1, 8);
  const Job& small = fleet.add_job("j-000003", JobKind::job_array, 1, 1);
  fleet.run_pass(kNow);
  EXPECT_EQ(small.live_count(), 0U);
}

// Guards against work that waits for a less entitled job's nomination though it may preempt it.
TEST(Nomination, MoreEntitledWorkPreemptsOnANominatedMachine) {
  CrowdedFleet fleet({{"n-1", "a"}});
  fleet.add_running("j-000001", "n-1", 5, 0);
  Job& urgent = fleet.add_job("j-000002", JobKind::job_array, 1, 6);
  urgent.spec.priority = wire::Priority::production;
  urgent.known_since = kNow;  // has not waited for a boot time: no nomination of its own
  fleet.add_job("j-000003", JobKind::job_array, 1, 8);
  EXPECT_EQ(fleet.run_pass(kNow + 1).preempted, 1);
}

}  // namespace
}  // namespace cranklock::sched
