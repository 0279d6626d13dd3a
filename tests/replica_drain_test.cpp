// When a router is asked to drain a replica, and what its answers allow.
#include "defrag/replica_drain.hpp"

#include <gtest/gtest.h>

#include "base/settings.hpp"

namespace cranklock::defrag {
namespace {

constexpr double kInterval = 1;  // between heartbeats
constexpr double kLease = 10;
constexpr double kBegun = 100;
using Result = ReplicaDrain::Result;

const DrainRequest kRequest{{"j-000001", 0}, 3, "n-1", "10.1.0.1:9000", kLease, kLease};

DrainAnswer answer_of(DrainState state, std::uint64_t attempt = kRequest.attempt) {
  return {kRequest.task, attempt, state, 0};
}

/// A drain that was begun and requested at `kBegun`.
struct RequestedDrain : ReplicaDrain {
  RequestedDrain() {
    begin(kBegun);
    record_request(kBegun, kLease);
  }
  Result answer(const std::optional<DrainAnswer>& answer, double sent, double now) {
    return record_answer(kRequest, answer, sent, now, kLease);
  }
};

TEST(ReplicaDrain, IsRequestedOnceAtATimeAndThenTwiceInAHeartbeat) {
  ReplicaDrain drain;
  drain.begin(kBegun);
  EXPECT_TRUE(drain.is_request_due(kBegun, kInterval));
  drain.record_request(kBegun, kLease);
  EXPECT_FALSE(drain.is_request_due(kBegun + kInterval, kInterval)) << "it awaits an answer";
  drain.record_answer(kRequest, answer_of(DrainState::draining), kBegun, kBegun + 0.1, kLease);
  EXPECT_FALSE(drain.is_request_due(kBegun + 0.4, kInterval));
  EXPECT_TRUE(drain.is_request_due(kBegun + 0.5, kInterval));
}

TEST(ReplicaDrain, TheTimeToDrainRunsFromItsBeginning) {
  ReplicaDrain drain;
  drain.begin(kBegun);
  EXPECT_DOUBLE_EQ(drain.record_request(kBegun + 4, kLease), kLease - 4);
  EXPECT_DOUBLE_EQ(drain.record_request(kBegun + kLease + 1, kLease), 0);
}

TEST(ReplicaDrain, HoldsForItsLeaseFromTheSendingOfTheRequest) {
  RequestedDrain drain;
  EXPECT_EQ(drain.answer(answer_of(DrainState::drained), kBegun, kBegun + 3), Result::drained);
  const double until = kBegun + kLease * (1 - 2 * base::kMaxClockDrift);
  EXPECT_DOUBLE_EQ(drain.drained_until(), until);
  EXPECT_TRUE(drain.holds(until - 0.001));
  EXPECT_FALSE(drain.holds(until));
}

TEST(ReplicaDrain, AnAnswerForAnotherAttemptIsARefusal) {
  RequestedDrain drain;
  EXPECT_EQ(drain.answer(answer_of(DrainState::drained, kRequest.attempt - 1), kBegun, kBegun),
            Result::refused);
  EXPECT_FALSE(drain.holds(kBegun));
}

TEST(ReplicaDrain, IsLateAfterTwiceItsTimeUnlessItHolds) {
  const double deadline = kBegun + 2 * kLease;
  RequestedDrain undrained;
  EXPECT_EQ(undrained.answer(std::nullopt, deadline - 1, deadline), Result::pending);
  EXPECT_EQ(undrained.answer(answer_of(DrainState::draining), deadline, deadline + 0.1),
            Result::late);
  RequestedDrain drained;
  drained.answer(answer_of(DrainState::drained), deadline - 1, deadline);
  EXPECT_EQ(drained.answer(std::nullopt, deadline, deadline + 0.1), Result::pending);
}

TEST(ReplicaDrain, ARevokedDrainHoldsNoMoreAndIsNotRequestedAgain) {
  RequestedDrain drain;
  drain.answer(answer_of(DrainState::drained), kBegun, kBegun + 1);
  drain.revoke(kBegun + 2);
  EXPECT_FALSE(drain.holds(kBegun + 2));
  EXPECT_FALSE(drain.is_request_due(kBegun + 5, kInterval));
  EXPECT_FALSE(drain.is_revoked_for_good(kBegun + 5, kInterval));
  EXPECT_TRUE(drain.is_revoked_for_good(kBegun + 5.1, kInterval));
}

}  // namespace
}  // namespace cranklock::defrag
