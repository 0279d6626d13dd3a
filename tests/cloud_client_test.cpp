// What the cloud's answers mean for each request.
#include <gtest/gtest.h>

#include "cloud/client.hpp"
#include "fixed_reply.hpp"
#include "test_cluster.hpp"

namespace cranklock::cloud {
namespace {

using net::Reply;
using testing::FakeReactor;
using Kind = ScaleOutResult::Kind;

struct CloudClientTest : ::testing::Test {
  FakeReactor reactor;
  testing::FixedReply transport;
  base::Settings settings = testing::small_settings();
  Client client{reactor, transport, settings};

  CloudClientTest() { reactor.run_until(100); }

  template <typename Result>
  Result result_of(net::Task<Result> operation) {
    operation.start();
    reactor.run_until(reactor.now() + 60);
    EXPECT_TRUE(operation.done());
    return operation.take();
  }
  ScaleOutResult scale_out() { return result_of(client.scale_out({"r-7-1", "g8", "a", false, 2})); }
  DeletionResult remove() { return result_of(client.remove({"n-1"})); }
};

TEST_F(CloudClientTest, AGrantedScaleOutNamesItsMachines) {
  transport.answer(200, R"({"Rigs":["n-1","n-2"]})");
  const auto result = scale_out();
  EXPECT_EQ(result.kind, Kind::granted);
  EXPECT_EQ(result.machines, (std::vector<std::string>{"n-1", "n-2"}));
}

TEST_F(CloudClientTest, AScaleOutThatTheCloudHasNoCapacityForIsToldFromOneInTrouble) {
  transport.answer(503, R"({"error":"no capacity"})");
  EXPECT_EQ(scale_out().kind, Kind::no_capacity);
  transport.answer(400, "{}");
  EXPECT_EQ(scale_out().kind, Kind::no_capacity);
  transport.answer(503, R"({"error":"trouble"})");
  EXPECT_EQ(scale_out().kind, Kind::rejected);
}

TEST_F(CloudClientTest, AScaleOutBeyondTheRateOrNotSentIsRejected) {
  transport.answer(429, "{}");
  EXPECT_EQ(scale_out().kind, Kind::rejected);
  transport.fail(Reply::Kind::not_sent);
  EXPECT_EQ(scale_out().kind, Kind::rejected);
}

TEST_F(CloudClientTest, AScaleOutWithoutAReadableAnswerIsIndeterminate) {
  transport.fail(Reply::Kind::unknown);
  EXPECT_EQ(scale_out().kind, Kind::indeterminate);
  transport.answer(200, "nonsense");
  EXPECT_EQ(scale_out().kind, Kind::indeterminate);
  transport.answer(500, "{}");
  EXPECT_EQ(scale_out().kind, Kind::indeterminate);
}

TEST_F(CloudClientTest, OnlyA200ProvesADeletion) {
  transport.answer(200, "{}");
  EXPECT_EQ(remove(), DeletionResult::deleted);
  transport.answer(400, "{}");
  EXPECT_EQ(remove(), DeletionResult::rejected);
  for (const int status : {404, 429, 500, 503}) {
    transport.answer(status, "{}");
    EXPECT_EQ(remove(), DeletionResult::indeterminate) << status;
  }
  transport.fail(Reply::Kind::unknown);
  EXPECT_EQ(remove(), DeletionResult::indeterminate);
  transport.fail(Reply::Kind::not_sent);
  EXPECT_EQ(remove(), DeletionResult::indeterminate);
}

TEST_F(CloudClientTest, AListOfWhichOnePageIsMissingIsNone) {
  transport.answer(503, "{}");
  EXPECT_FALSE(result_of(client.list()));
  transport.answer(200, R"({"Rigs":[{"Id":"n-1","Frame":"g8","Yard":"a","Stance":"running"}]})");
  const auto machines = result_of(client.list());
  ASSERT_TRUE(machines);
  ASSERT_EQ(machines->size(), 1U);
  EXPECT_EQ(machines->front().id, "n-1");
}

}  // namespace
}  // namespace cranklock::cloud
