// Attribution of task failures to the job or to the machine.
#include "sched/failure_tracker.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::sched {
namespace {

using testing::make_job;
using wire::JobKind;

struct FailureTest : ::testing::Test {
  base::Settings settings = testing::small_settings();
  ChangeSignal changes;
  MachineInventory machines{changes};
  FailureTracker failures{settings, machines, changes};
  Machine& first = machines.upsert("n-1", {"g8", "a", false}, 0);
  Machine& second = machines.upsert("n-2", {"g8", "a", false}, 0);
  Job job = make_job("j-000001", JobKind::job_array, 4, 1);
  Job other = make_job("j-000002", JobKind::job_array, 4, 1);
};

TEST_F(FailureTest, AMachineThatFailsTwoJobsIsQuarantined) {
  failures.record_error(job, first, 1);
  failures.record_error(job, first, 2);
  EXPECT_FALSE(first.quarantined());
  failures.record_error(other, first, 3);
  EXPECT_TRUE(first.quarantined());
  EXPECT_EQ(first.faults.quarantined_since, 3);
  EXPECT_EQ(job.retry.backoff_until, 0);
}

TEST_F(FailureTest, AMachineThatFailsAJobWhichWorksElsewhereStaysQuarantined) {
  failures.record_completion(job, second);
  failures.record_error(job, first, 1);
  EXPECT_TRUE(first.quarantined());
  EXPECT_EQ(first.faults.quarantine, Quarantine::confirmed);
  // Another job that turns out to be crash looping does not lift the quarantine.
  failures.record_error(other, first, 2);
  failures.record_error(other, second, 3);
  ASSERT_TRUE(other.crash_looping());
  EXPECT_TRUE(first.quarantined());
}

TEST_F(FailureTest, ACrashLoopingJobClearsTheMachinesThatItFailedOn) {
  failures.record_error(job, first, 1);
  failures.record_error(other, first, 1);
  ASSERT_TRUE(first.quarantined());
  changes.take();
  failures.record_error(job, second, 2);
  EXPECT_TRUE(job.crash_looping());
  EXPECT_FALSE(first.quarantined());
  EXPECT_FALSE(second.quarantined());
  EXPECT_TRUE(changes.take());
}

TEST_F(FailureTest, BackoffGrowsWithRoundsAndNotWithTasks) {
  failures.record_error(job, first, 1);
  EXPECT_EQ(job.retry.failed_rounds, 0);  // a single machine is not enough
  for (int i = 0; i < 8; ++i) failures.record_error(job, second, 1);
  EXPECT_EQ(job.retry.failed_rounds, 1);
  EXPECT_EQ(job.retry.backoff_until, 1 + 2 * settings.heartbeat_interval_s);
  failures.record_error(job, second, 3);
  EXPECT_EQ(job.retry.failed_rounds, 2);
  EXPECT_EQ(job.retry.backoff_until, 3 + 4 * settings.heartbeat_interval_s);
  for (int i = 0; i < 9; ++i) failures.record_error(job, second, 1000 + 100 * i);
  EXPECT_EQ(job.retry.backoff_until, 1800 + 32 * settings.heartbeat_interval_s);
}

TEST_F(FailureTest, ACompletionClearsJobAndMachine) {
  failures.record_error(job, first, 1);
  failures.record_error(job, second, 1);
  failures.record_error(other, second, 1);
  job.retry.earlier_failed_rounds = 2;
  failures.record_completion(job, second);
  EXPECT_TRUE(job.retry.succeeded);
  EXPECT_EQ(job.retry.failed_rounds, 0);
  EXPECT_EQ(job.retry.earlier_failed_rounds, 0);
  EXPECT_TRUE(job.retry.failed_machines.empty());
  EXPECT_TRUE(second.faults.failed_jobs.empty());
}

TEST_F(FailureTest, AReplicaThatRunsForALeaseClearsItsFailures) {
  failures.record_error(job, first, 1);
  failures.record_running_replica(job, 5, 5 + settings.lease_s);
  EXPECT_FALSE(job.retry.failed_machines.empty());
  failures.record_running_replica(job, 5, 5.1 + settings.lease_s);
  EXPECT_TRUE(job.retry.failed_machines.empty());
  EXPECT_FALSE(job.retry.succeeded);
}

TEST_F(FailureTest, ARejectedStartIsRetriedAfterAHeartbeatInterval) {
  failures.delay_retry(job, 4);
  EXPECT_EQ(job.retry.backoff_until, 4 + settings.heartbeat_interval_s);
  EXPECT_EQ(job.retry.failed_rounds, 0);
}

// A new leader derives from the attempts in the record that the tasks have failed repeatedly.
TEST_F(FailureTest, EarlierFailuresAreDerivedFromTheAttempts) {
  job.last_attempt = 4;  // one round
  failures.restore_earlier_failures(job, 10);
  EXPECT_EQ(job.retry.earlier_failed_rounds, 0);
  job.last_attempt = 16;
  failures.restore_earlier_failures(job, 10);
  EXPECT_EQ(job.retry.earlier_failed_rounds, 3);
  EXPECT_EQ(job.retry.backoff_until, 10 + 3 * settings.heartbeat_interval_s);
  job.last_attempt = 1'000'000;
  failures.restore_earlier_failures(job, 10);
  EXPECT_EQ(job.retry.earlier_failed_rounds, 5);
  // The tasks of a gang share one attempt number.
  Job gang = make_job("j-000003", JobKind::gang, 4, 1);
  gang.last_attempt = 4;
  failures.restore_earlier_failures(gang, 10);
  EXPECT_EQ(gang.retry.earlier_failed_rounds, 3);
  // A completed task shows that the job works.
  other.last_attempt = 16;
  other.done.add(0);
  failures.restore_earlier_failures(other, 10);
  EXPECT_EQ(other.retry.earlier_failed_rounds, 0);
}

}  // namespace
}  // namespace cranklock::sched
