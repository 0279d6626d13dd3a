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

// Guards against a job that waits for ever since its last pause was longer than its users wait.
TEST_F(FailureTest, TheBackoffIsNeverLongerThanACancellationMayTake) {
  settings.heartbeat_interval_s = 5;
  failures.record_error(job, first, 1);
  for (int i = 0; i < 6; ++i) {
    const double now = 10 + 100 * i;
    failures.record_error(job, second, now);
    EXPECT_LE(job.retry.backoff_until, now + settings.cancel_s);
  }
  EXPECT_EQ(job.retry.backoff_until, 510 + settings.cancel_s);
}

/// A machine quarantined at time 1 because two jobs failed there.
struct QuarantineTest : FailureTest {
  Job fresh = make_job("j-000003", JobKind::job_array, 4, 1);
  const double first_delay_s = settings.lease_s / 2;
  const double max_delay_s = settings.cancel_s / 2;

  QuarantineTest() {
    failures.record_error(job, first, 1);
    failures.record_error(other, first, 1);
  }
  /// Retries the job at the first time at which that is due, lets it fail at once, and returns the
  /// delay since `since`.
  double fail_next_retry(Job& retried, double since) {
    constexpr double kStepS = 0.5;
    double now = since;
    while (!failures.is_retry_due(retried, first, now)) now += kStepS;
    failures.record_retry(retried, first, now);
    failures.record_error(retried, first, now);
    return now - since;
  }
};

TEST_F(QuarantineTest, RetriesAreDueAfterDelaysThatGrowWithEachFailure) {
  ASSERT_TRUE(first.quarantined());
  double now = 1;
  for (const double delay_s : {first_delay_s, 2 * first_delay_s, max_delay_s, max_delay_s}) {
    Job retried = make_job("j-000009", JobKind::job_array, 4, 1);
    EXPECT_EQ(fail_next_retry(retried, now), delay_s);
    now += delay_s;
  }
  EXPECT_EQ(first.faults.retry.failures, 4);
}

TEST_F(QuarantineTest, ARetryTakesOneTask) {
  const double now = 1 + first_delay_s;
  ASSERT_TRUE(failures.is_retry_due(fresh, first, now));
  failures.record_retry(fresh, first, now);
  EXPECT_FALSE(failures.is_retry_due(fresh, first, now));
  EXPECT_FALSE(failures.is_retry_due(fresh, first, now + first_delay_s - 0.1));
  EXPECT_TRUE(failures.is_retry_due(fresh, first, now + first_delay_s));
}

// Tasks that were started together fail together.
TEST_F(QuarantineTest, FailuresOfEarlierStartsAreNoFailedRetries) {
  for (int i = 0; i < 5; ++i) failures.record_error(fresh, first, 1.5);
  EXPECT_EQ(first.faults.retry.failures, 0);
  EXPECT_EQ(first.faults.retry.due_at, 1.5 + first_delay_s);
}

// Guards against a few crash-looping jobs that take all retries.
TEST_F(QuarantineTest, JobsThatHaveNotFailedThereGoFirst) {
  const double due_at = 1 + first_delay_s;
  EXPECT_TRUE(failures.is_retry_due(fresh, first, due_at));
  EXPECT_FALSE(failures.is_retry_due(job, first, due_at));
  EXPECT_TRUE(failures.is_retry_due(job, first, due_at + 2 * settings.heartbeat_interval_s));
}

TEST_F(QuarantineTest, ATaskThatCompletesEndsTheQuarantineUnlessItStartedBeforeTheLastFailure) {
  changes.take();
  failures.record_healthy_task(fresh, first, 1);
  EXPECT_TRUE(first.quarantined());
  EXPECT_FALSE(changes.take());
  failures.record_healthy_task(fresh, first, 1.1);
  EXPECT_FALSE(first.quarantined());
  EXPECT_TRUE(first.faults.failed_jobs.empty());
  EXPECT_TRUE(changes.take());
}

TEST_F(QuarantineTest, ATaskThatRunsForHalfALeaseEndsTheQuarantine) {
  failures.record_running_task(fresh, first, 2, 2 + settings.lease_s / 2);
  EXPECT_TRUE(first.quarantined());
  failures.record_running_task(fresh, first, 2, 2.1 + settings.lease_s / 2);
  EXPECT_FALSE(first.quarantined());
}

TEST_F(QuarantineTest, AConfirmedQuarantineEndsToo) {
  fresh.retry.succeeded = true;
  failures.record_error(fresh, first, 2);
  ASSERT_EQ(first.faults.quarantine, Quarantine::confirmed);
  failures.record_healthy_task(fresh, first, 3);
  EXPECT_FALSE(first.quarantined());
}

TEST_F(QuarantineTest, AQuarantineExpiresAndTheNextFailureRenewsIt) {
  failures.expire_quarantine(first, 1 + settings.cancel_s);
  EXPECT_TRUE(first.quarantined());
  changes.take();
  const double expired_at = 1.1 + settings.cancel_s;
  failures.expire_quarantine(first, expired_at);
  EXPECT_FALSE(first.quarantined());
  EXPECT_TRUE(changes.take());
  failures.record_error(fresh, first, expired_at + 1);
  EXPECT_TRUE(first.quarantined());
  failures.expire_quarantine(first, expired_at + 2);
  EXPECT_TRUE(first.quarantined());
}

TEST_F(FailureTest, AJobIsRetriedOnTheOnlyMachineItFailedOnAfterDelaysThatGrow) {
  failures.record_error(job, first, 1);
  ASSERT_TRUE(job.avoids(first.id));
  const double first_delay_s = settings.lease_s / 2;
  EXPECT_FALSE(failures.is_retry_due(job, first, 0.9 + first_delay_s));
  EXPECT_TRUE(failures.is_retry_due(job, first, 1 + first_delay_s));
  failures.record_retry(job, first, 10);
  EXPECT_FALSE(failures.is_retry_due(job, first, 10));
  failures.record_error(job, first, 10);
  EXPECT_FALSE(failures.is_retry_due(job, first, 9.9 + 2 * first_delay_s));
  EXPECT_TRUE(failures.is_retry_due(job, first, 10 + 2 * first_delay_s));
  // Another job does not avoid the machine, so that it needs no retry.
  EXPECT_FALSE(failures.is_retry_due(other, first, 100));
}

TEST_F(FailureTest, AJobDoesNotAvoidAMachineOnWhichItsTaskRuns) {
  failures.record_error(job, first, 1);
  failures.record_running_task(job, first, 2, 2.1 + settings.lease_s / 2);
  EXPECT_FALSE(job.avoids(first.id));
  EXPECT_FALSE(job.retry.failed_machines.empty());  // the job may still be crash looping
  failures.record_error(job, first, 50);
  EXPECT_TRUE(job.avoids(first.id));
}

}  // namespace
}  // namespace cranklock::sched
