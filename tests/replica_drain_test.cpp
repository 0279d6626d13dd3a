// When the router is requested to drain a replica, and what its answers permit.
#include "defrag/replica_drain.hpp"

#include <gtest/gtest.h>

#include "base/settings.hpp"

namespace cranklock::defrag {
namespace {

constexpr double kIntervalS = 1;  // between heartbeats
constexpr double kLeaseS = 10;
constexpr double kBegunAt = 100;
using Result = ReplicaDrain::Result;

const DrainRequest kRequest{{"j-000001", 0}, 3, "n-1", "10.1.0.1:9000", kLeaseS, kLeaseS};

DrainAnswer answer_of(DrainState state, std::uint64_t attempt = kRequest.attempt) {
  return {kRequest.task, attempt, state, 0};
}

/// A drain that was begun and requested at `kBegunAt`.
struct RequestedDrain : ReplicaDrain {
  RequestedDrain() {
    begin(kBegunAt);
    record_request(kBegunAt, kLeaseS);
  }
  Result answer(const std::optional<DrainAnswer>& answer, double sent_at, double now) {
    return record_answer(kRequest, answer, sent_at, now, kLeaseS);
  }
};

TEST(ReplicaDrain, HasOneOpenRequestAndRenewsTwicePerHeartbeat) {
  ReplicaDrain drain;
  drain.begin(kBegunAt);
  EXPECT_TRUE(drain.is_request_due(kBegunAt, kIntervalS));
  drain.record_request(kBegunAt, kLeaseS);
  EXPECT_FALSE(drain.is_request_due(kBegunAt + kIntervalS, kIntervalS)) << "an answer is pending";
  drain.record_answer(kRequest, answer_of(DrainState::draining), kBegunAt, kBegunAt + 0.1, kLeaseS);
  EXPECT_FALSE(drain.is_request_due(kBegunAt + 0.4, kIntervalS));
  EXPECT_TRUE(drain.is_request_due(kBegunAt + 0.5, kIntervalS));
}

TEST(ReplicaDrain, TheDrainTimeCountsFromItsBeginning) {
  ReplicaDrain drain;
  drain.begin(kBegunAt);
  EXPECT_DOUBLE_EQ(drain.record_request(kBegunAt + 4, kLeaseS), kLeaseS - 4);
  EXPECT_DOUBLE_EQ(drain.record_request(kBegunAt + kLeaseS + 1, kLeaseS), 0);
}

TEST(ReplicaDrain, IsInForceForItsLeaseFromTheSendingOfTheRequest) {
  RequestedDrain drain;
  EXPECT_EQ(drain.answer(answer_of(DrainState::drained), kBegunAt, kBegunAt + 3), Result::drained);
  const double until = kBegunAt + kLeaseS * (1 - 2 * base::kMaxClockDrift);
  EXPECT_DOUBLE_EQ(drain.drained_until(), until);
  EXPECT_TRUE(drain.is_in_force(until - 0.001));
  EXPECT_FALSE(drain.is_in_force(until));
}

TEST(ReplicaDrain, AnAnswerForAnotherAttemptIsARefusal) {
  RequestedDrain drain;
  EXPECT_EQ(drain.answer(answer_of(DrainState::drained, kRequest.attempt - 1), kBegunAt, kBegunAt),
            Result::refused);
  EXPECT_FALSE(drain.is_in_force(kBegunAt));
}

TEST(ReplicaDrain, TimesOutAfterTwiceItsTimeUnlessInForce) {
  const double deadline = kBegunAt + 2 * kLeaseS;
  RequestedDrain undrained;
  EXPECT_EQ(undrained.answer(std::nullopt, deadline - 1, deadline), Result::pending);
  EXPECT_EQ(undrained.answer(answer_of(DrainState::draining), deadline, deadline + 0.1),
            Result::timed_out);
  RequestedDrain drained;
  drained.answer(answer_of(DrainState::drained), deadline - 1, deadline);
  EXPECT_EQ(drained.answer(std::nullopt, deadline, deadline + 0.1), Result::pending);
}

TEST(ReplicaDrain, ARevokedDrainIsNotInForceAndNotRequestedAgain) {
  RequestedDrain drain;
  drain.answer(answer_of(DrainState::drained), kBegunAt, kBegunAt + 1);
  drain.revoke(kBegunAt + 2);
  EXPECT_FALSE(drain.is_in_force(kBegunAt + 2));
  EXPECT_FALSE(drain.is_request_due(kBegunAt + 5, kIntervalS));
  EXPECT_FALSE(drain.is_revocation_final(kBegunAt + 5, kIntervalS));
  EXPECT_TRUE(drain.is_revocation_final(kBegunAt + 5.1, kIntervalS));
}

}  // namespace
}  // namespace cranklock::defrag
