// Effects of an agent's messages on tasks and placements.
#include "sched/task_reconciler.hpp"

#include <gtest/gtest.h>

#include "heartbeat_parts.hpp"

namespace cranklock::sched {
namespace {

using testing::heartbeat;
using testing::make_job;
using testing::task_status;
using wire::ExitReason;
using wire::JobKind;
using wire::TaskState;

struct TaskReconcilerTest : ::testing::Test, testing::HeartbeatParts {
  TaskReconciler tasks{settings, jobs, machines, start_policy, placements, failures, changes};

  void report(TaskState state, ExitReason reason = ExitReason::none, bool token_acknowledged = true,
              double now = 1) {
    const auto message = heartbeat("n-1", 1, 2, {task_status("j-000001", 0, 1, state, reason)});
    tasks.reconcile_reported(machine, message, token_acknowledged, now);
  }
  void report_absence(std::uint64_t epoch, std::uint64_t sequence) {
    tasks.reconcile_absent(machine, heartbeat("n-1", epoch, sequence), 1);
  }
};

TEST_F(TaskReconcilerTest, AReportedTaskUpdatesThePlacementAndTheImageCache) {
  Placement& placement = place(0, 1);
  report(TaskState::fetching);
  EXPECT_TRUE(placement.reported);
  EXPECT_TRUE(machine.holds_image("img"));
  EXPECT_EQ(placement.running_since, 0);
  report(TaskState::running, ExitReason::none, true, 7);
  EXPECT_EQ(placement.state, TaskState::running);
  EXPECT_EQ(placement.running_since, 7);
  report(TaskState::running, ExitReason::none, true, 8);
  EXPECT_EQ(placement.running_since, 7);
}

TEST_F(TaskReconcilerTest, TasksWithoutAPlacementHereAreCounted) {
  place(0, 1).machine = "n-2";
  changes.take();
  const auto message = heartbeat("n-1", 1, 2,
                                 {task_status("j-000001", 0, 1, TaskState::running),
                                  task_status("j-000001", 1, 2, TaskState::running),
                                  task_status("j-000009", 0, 1, TaskState::running),
                                  task_status("j-000009", 1, 2, TaskState::exited)});
  tasks.reconcile_reported(machine, message, true, 1);
  EXPECT_EQ(machine.agent.unknown_tasks, 3);
  EXPECT_TRUE(changes.take());
  tasks.reconcile_reported(machine, heartbeat("n-1", 1, 3), true, 1);
  EXPECT_EQ(machine.agent.unknown_tasks, 0);
  EXPECT_TRUE(changes.take());
}

TEST_F(TaskReconcilerTest, ACompletedTaskIsDone) {
  Placement& placement = place(0, 1);
  report(TaskState::exited, ExitReason::completed);
  EXPECT_TRUE(job.done.contains(0));
  EXPECT_TRUE(job.retry.succeeded);
  EXPECT_TRUE(placement.ended);
}

TEST_F(TaskReconcilerTest, AnErrorCountsAgainstJobAndMachineUnlessCancelled) {
  place(0, 1);
  report(TaskState::exited, ExitReason::error);
  EXPECT_TRUE(job.retry.failed_machines.contains("n-1"));
  EXPECT_TRUE(machine.faults.failed_jobs.contains("j-000001"));
  Job& cancelled = jobs.put(make_job("j-000002", JobKind::job_array, 1, 1));
  placements.add(cancelled, 0, 1, "n-1", 0);
  cancelled.cancelled_at_ms = 1;
  const auto exited = task_status("j-000002", 0, 1, TaskState::exited, ExitReason::error);
  tasks.reconcile_reported(machine, heartbeat("n-1", 1, 3, {exited}), true, 1);
  EXPECT_TRUE(cancelled.retry.failed_machines.empty());
  EXPECT_TRUE(cancelled.placements[0].ended);
}

TEST_F(TaskReconcilerTest, ARejectedStartIsNotAFailure) {
  place(0, 1);
  report(TaskState::exited, ExitReason::insufficient_resources, true, 3);
  EXPECT_TRUE(job.retry.failed_machines.empty());
  EXPECT_EQ(job.retry.backoff_until, 3 + settings.heartbeat_interval_s);
}

// Guards against a stale copy, from before this leadership, of an exit in an earlier agent epoch.
TEST_F(TaskReconcilerTest, WithoutThisLeadersTokenOnlyACompletionCounts) {
  Placement& placement = place(0, 1);
  job.record.dirty = false;
  report(TaskState::exited, ExitReason::error, false);
  EXPECT_FALSE(placement.ended);
  EXPECT_FALSE(job.record.dirty);
  report(TaskState::exited, ExitReason::completed, false);
  EXPECT_FALSE(placement.ended);
  EXPECT_TRUE(job.done.contains(0));
  EXPECT_TRUE(job.record.dirty);
}

// Guards against a gang that is done in part: it would never be placed again.
TEST_F(TaskReconcilerTest, ACompletedTaskOfAGangCompletesTheGang) {
  Machine& silent = machines.upsert("n-2", {"g8", "a", false}, 0);
  Machine& unstarted = machines.upsert("n-3", {"g8", "a", false}, 0);
  for (Machine* each : {&machine, &silent, &unstarted}) each->faults.failed_jobs = {"j-000009"};
  Job& gang = jobs.put(make_job("j-000002", JobKind::gang, 3, 1));
  placements.add(gang, 0, 4, "n-1", 0);
  placements.add(gang, 1, 4, "n-2", 0).state = TaskState::running;
  placements.add(gang, 2, 4, "n-3", 0);
  for (Placement& placement : gang.placements) placement.write = PlacementWrite::durable;
  const auto exited = task_status("j-000002", 0, 4, TaskState::exited, wire::ExitReason::completed);
  tasks.reconcile_reported(machine, heartbeat("n-1", 1, 2, {exited}), true, 1);
  EXPECT_TRUE(gang.complete());
  EXPECT_EQ(gang.live_count(), 0U);
  EXPECT_TRUE(silent.tasks.empty());
  EXPECT_EQ(quota.allocated("red").gpus, 0);
  // The machines that ran the gang are credited with its completion.
  EXPECT_TRUE(machine.faults.failed_jobs.empty());
  EXPECT_TRUE(silent.faults.failed_jobs.empty());
  EXPECT_FALSE(unstarted.faults.failed_jobs.empty());
}

TEST_F(TaskReconcilerTest, AStaleCompletionOfAGangCompletesItAndEndsNoPlacement) {
  Job& gang = jobs.put(make_job("j-000002", JobKind::gang, 2, 1));
  placements.add(gang, 0, 1, "n-1", 0);
  placements.add(gang, 1, 1, "n-2", 0);
  gang.record.dirty = false;
  const auto exited = task_status("j-000002", 0, 1, TaskState::exited, wire::ExitReason::completed);
  tasks.reconcile_reported(machine, heartbeat("n-1", 1, 2, {exited}), false, 1);
  EXPECT_TRUE(gang.complete());
  EXPECT_TRUE(gang.record.dirty);
  EXPECT_EQ(gang.live_count(), 2U);
}

TEST_F(TaskReconcilerTest, AGangThatIsBrokenOffIsNotDone) {
  Job& gang = jobs.put(make_job("j-000002", JobKind::gang, 2, 1));
  for (const ExitReason reason :
       {ExitReason::stopped, ExitReason::gang_peer_lost, ExitReason::gang_incomplete,
        ExitReason::error, ExitReason::insufficient_resources, ExitReason::other_attempt_present,
        ExitReason::unknown_task, ExitReason::none}) {
    gang.placements.clear();
    placements.add(gang, 0, 1, "n-1", 0);
    const auto exited = task_status("j-000002", 0, 1, TaskState::exited, reason);
    tasks.reconcile_reported(machine, heartbeat("n-1", 1, 2, {exited}), true, 1);
    EXPECT_EQ(gang.done.size(), 0U);
    EXPECT_EQ(gang.live_count(), 0U);
  }
}

TEST_F(TaskReconcilerTest, AGangThatLosesATaskIsStopped) {
  Job& gang = jobs.put(make_job("j-000002", JobKind::gang, 2, 1));
  placements.add(gang, 0, 1, "n-1", 0);
  placements.add(gang, 1, 1, "n-2", 0);
  const auto exited = task_status("j-000002", 0, 1, TaskState::exited, ExitReason::stopped);
  tasks.reconcile_reported(machine, heartbeat("n-1", 1, 2, {exited}), true, 1);
  EXPECT_TRUE(gang.placements[1].stop_requested);
}

TEST_F(TaskReconcilerTest, AReplicaThatRunsForLongEnoughClearsItsFailures) {
  Job& service = jobs.put(make_job("j-000002", JobKind::service, 1, 1));
  placements.add(service, 0, 1, "n-1", 0);
  service.retry.failed_machines = {"n-2"};
  const auto message = heartbeat("n-1", 1, 2, {task_status("j-000002", 0, 1, TaskState::running)});
  tasks.reconcile_reported(machine, message, true, 1);
  EXPECT_FALSE(service.retry.failed_machines.empty());
  tasks.reconcile_reported(machine, message, true, 1.1 + settings.lease_s);
  EXPECT_TRUE(service.retry.failed_machines.empty());
}

TEST_F(TaskReconcilerTest, AReportedTaskThatIsNoLongerNamedHasEnded) {
  Placement& placement = place(0, 1);
  placement.reported = true;
  report_absence(1, 2);
  EXPECT_TRUE(placement.ended);
}

// Guards against a placement that must not be started and would hold its quota for ever.
TEST_F(TaskReconcilerTest, AnAbsentPlacementBeyondTheLimitOfTheTeamEnds) {
  Placement& placement = place(0, 1);
  report_absence(1, 2);
  EXPECT_FALSE(placement.ended);
  quota.add("red", {0, 16, 0});
  report_absence(1, 3);
  EXPECT_TRUE(placement.ended);
}

TEST_F(TaskReconcilerTest, AStartedPlacementBeyondTheLimitOfTheTeamEndsByTheUsualProofs) {
  Placement& placement = place(0, 1);
  quota.add("red", {0, 16, 0});
  placement.indeterminate_start_epoch = 1;
  report_absence(1, 2);
  EXPECT_FALSE(placement.ended);
  placement.indeterminate_start_epoch = 0;
  placement.last_start_sequence = {1, 3};
  report_absence(1, 3);
  EXPECT_FALSE(placement.ended);
}

TEST_F(TaskReconcilerTest, AnAbsenceCountsOnlyAfterTheResponseThatCarriedTheStart) {
  Placement& placement = place(0, 1);
  placement.last_start_sequence = {1, 5};
  placement.stop_requested = true;
  report_absence(1, 5);
  EXPECT_FALSE(placement.ended);
  report_absence(1, 6);
  EXPECT_TRUE(placement.ended);
}

TEST_F(TaskReconcilerTest, AStartOfAnEarlierAgentEpochIsLost) {
  Placement& placement = place(0, 1);
  placement.last_start_sequence = {1, 5};
  report_absence(2, 1);
  EXPECT_TRUE(placement.ended);
}

// Invariant 5: an indeterminate start may be executed until the end of the agent epoch.
TEST_F(TaskReconcilerTest, AnIndeterminateStartIsKeptForItsAgentEpoch) {
  Placement& placement = place(0, 1);
  placement.indeterminate_start_epoch = 1;
  placement.reported = true;
  placement.stop_requested = true;
  report_absence(1, 9);
  EXPECT_FALSE(placement.ended);
  report_absence(2, 1);
  EXPECT_TRUE(placement.ended);
}

TEST_F(TaskReconcilerTest, APlacementWithoutAStartEndsOnlyOnAStopRequest) {
  Placement& placement = place(0, 1);
  report_absence(1, 2);
  EXPECT_FALSE(placement.ended);
  placement.stop_requested = true;
  report_absence(1, 3);
  EXPECT_TRUE(placement.ended);
}

// Guards against a machine that sends heartbeats but receives no responses.
TEST_F(TaskReconcilerTest, AMachineThatIgnoresTwoStartsIsUnresponsive) {
  Placement& placement = place(0, 1);
  placement.last_start_sequence = {1, 2};
  report_absence(1, 3);  // one response may be lost
  EXPECT_FALSE(placement.ended);
  EXPECT_EQ(machine.agent.unresponsive_until, 0);
  placement.last_start_sequence = {1, 3};
  report_absence(1, 4);
  EXPECT_TRUE(placement.ended);
  EXPECT_EQ(machine.agent.unresponsive_until, 1 + settings.lease_s);
}

TEST_F(TaskReconcilerTest, ANamedTaskIsNotAbsent) {
  Placement& placement = place(0, 1);
  placement.reported = true;
  const auto message = heartbeat("n-1", 1, 2, {task_status("j-000001", 0, 1, TaskState::running)});
  tasks.reconcile_absent(machine, message, 1);
  EXPECT_FALSE(placement.ended);
  // Another attempt of the same task does not count.
  const auto other = heartbeat("n-1", 1, 3, {task_status("j-000001", 0, 2, TaskState::running)});
  tasks.reconcile_absent(machine, other, 1);
  EXPECT_TRUE(placement.ended);
}

}  // namespace
}  // namespace cranklock::sched
