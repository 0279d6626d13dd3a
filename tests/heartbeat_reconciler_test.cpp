// The order of messages, and what they say of their machine.
#include "sched/heartbeat_reconciler.hpp"

#include <gtest/gtest.h>

#include "heartbeat_parts.hpp"

namespace cranklock::sched {
namespace {

using testing::heartbeat;
using testing::kFencingToken;
using testing::task_status;
using wire::TaskState;

struct HeartbeatReconcilerTest : ::testing::Test, testing::HeartbeatParts {
  BootMonitor boots{machines, changes};
  TaskReconciler tasks{settings, jobs, machines, placements, failures, changes};
  HeartbeatReconciler heartbeats{settings, kFencingToken, machines, boots, tasks, changes};

  HeartbeatFreshness beat(std::uint64_t epoch, std::uint64_t sequence, double now = 1,
                          std::uint64_t token = kFencingToken) {
    return heartbeats.reconcile(heartbeat("n-1", epoch, sequence, {}, token), true, now);
  }
};

TEST_F(HeartbeatReconcilerTest, AMachineBecomesKnownByItsHeartbeat) {
  heartbeats.reconcile(heartbeat("n-7", 1, 1, {}, kFencingToken, "b"), true, 3);
  const Machine* found = machines.find("n-7");
  ASSERT_NE(found, nullptr);
  EXPECT_EQ(found->kind, (MachineKind{"g8", "b", false}));
  EXPECT_TRUE(found->agent.heartbeat_received);
  EXPECT_TRUE(found->agent.token_acknowledged);
  EXPECT_EQ(found->agent.last_heartbeat, 3);
  EXPECT_EQ(found->address, "10.1.0.1:9000");
}

TEST_F(HeartbeatReconcilerTest, ALateCopyChangesAndRenewsNothing) {
  EXPECT_EQ(beat(1, 5, 1), HeartbeatFreshness::fresh);
  EXPECT_EQ(beat(1, 5, 2), HeartbeatFreshness::late_copy);
  EXPECT_EQ(beat(1, 4, 2), HeartbeatFreshness::late_copy);
  EXPECT_EQ(machine.agent.last_heartbeat, 1);
  EXPECT_EQ(beat(2, 1, 3), HeartbeatFreshness::fresh);  // a new agent epoch
  EXPECT_EQ(machine.agent.newest_message, (AgentSequence{2, 1}));
}

TEST_F(HeartbeatReconcilerTest, AHeartbeatMayBeOvertakenByADirectAnswer) {
  beat(1, 1);
  heartbeats.reconcile(heartbeat("n-1", 1, 3), false, 2);
  EXPECT_EQ(beat(1, 2, 3), HeartbeatFreshness::overtaken);
  EXPECT_EQ(machine.agent.last_heartbeat, 2);
  EXPECT_EQ(beat(1, 2, 3), HeartbeatFreshness::late_copy);
}

TEST_F(HeartbeatReconcilerTest, AbsencesCountOnlyInHeartbeatsThatShowOurToken) {
  Placement& placement = place(0, 1);
  placement.seen = true;
  beat(1, 1, 1, kFencingToken - 1);
  EXPECT_FALSE(placement.ended);
  heartbeats.reconcile(heartbeat("n-1", 1, 2), false, 1);  // the answer to a direct command
  EXPECT_FALSE(placement.ended);
  beat(1, 3);
  EXPECT_TRUE(placement.ended);
}

TEST_F(HeartbeatReconcilerTest, ANewAgentEpochHasForgottenWhatWasBefore) {
  beat(1, 1);
  machine.agent.indeterminate_starts.insert({{"j-000001", 0}, 1});
  machine.images.push_back({"img", 10});
  beat(1, 2);
  EXPECT_EQ(machine.agent.indeterminate_starts.size(), 1U);
  EXPECT_TRUE(machine.holds_image("img"));
  beat(2, 1, 1, kFencingToken - 1);
  EXPECT_TRUE(machine.agent.indeterminate_starts.empty());
  EXPECT_FALSE(machine.holds_image("img"));
  EXPECT_FALSE(machine.agent.token_acknowledged);
}

TEST_F(HeartbeatReconcilerTest, TheLeaseIsTimedFromTheFirstShowingOfOurToken) {
  beat(1, 1, 5, kFencingToken - 1);
  EXPECT_EQ(machine.lease.last_response, 0);
  changes.take();
  beat(1, 2, 6);
  EXPECT_EQ(machine.lease.last_response, 6);
  EXPECT_TRUE(changes.take());
  beat(1, 3, 7);
  EXPECT_EQ(machine.lease.last_response, 6);
}

TEST_F(HeartbeatReconcilerTest, AMachineThatNeverShowsOurTokenIsUnresponsive) {
  beat(1, 1, 1, kFencingToken - 1);
  beat(1, 2, 2, kFencingToken - 1);
  EXPECT_EQ(machine.agent.unresponsive_until, 0);  // it was not answered yet
  machine.lease.last_response = 2;
  beat(1, 3, 3, kFencingToken - 1);
  EXPECT_EQ(machine.agent.unresponsive_until, 0);
  beat(1, 4, 4, kFencingToken - 1);
  EXPECT_EQ(machine.agent.unresponsive_until, 4 + settings.lease_s);
  // It is tried again later.
  changes.take();
  beat(1, 5, 4.1 + settings.lease_s);
  EXPECT_EQ(machine.agent.unresponsive_until, 0);
  EXPECT_EQ(machine.agent.unacknowledged_responses, 0);
  EXPECT_TRUE(changes.take());
}

TEST_F(HeartbeatReconcilerTest, TheEarliestPreemptionNoticeCounts) {
  auto message = heartbeat("n-1", 1, 1);
  message.preemption_notice_s = 30;
  heartbeats.reconcile(message, true, 10);
  EXPECT_EQ(machine.cloud.reclaim_at, 40);
  message.sequence = 2;
  heartbeats.reconcile(message, true, 12);
  EXPECT_EQ(machine.cloud.reclaim_at, 40);
  message.sequence = 3;
  message.preemption_notice_s = 5;
  heartbeats.reconcile(message, true, 13);
  EXPECT_EQ(machine.cloud.reclaim_at, 18);
}

TEST_F(HeartbeatReconcilerTest, AMachineWhoseLeaseExpiredIsUsableAgain) {
  beat(1, 1);
  machine.lease.expired = true;
  changes.take();
  beat(2, 1);
  EXPECT_FALSE(machine.lease.expired);
  EXPECT_TRUE(changes.take());
  beat(2, 2);
  EXPECT_FALSE(changes.take());
}

}  // namespace
}  // namespace cranklock::sched
