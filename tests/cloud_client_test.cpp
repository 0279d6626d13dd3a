// Mapping of the cloud's responses to the result of each request.
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
  DeletionResult delete_machine() { return result_of(client.delete_machines({"n-1"})); }
};

TEST_F(CloudClientTest, GrantedScaleOutReturnsMachineIds) {
  transport.set_response(200, R"({"Rigs":["n-1","n-2"]})");
  const auto result = scale_out();
  EXPECT_EQ(result.kind, Kind::granted);
  EXPECT_EQ(result.machines, (std::vector<std::string>{"n-1", "n-2"}));
}

TEST_F(CloudClientTest, ScaleOutDistinguishesLackOfCapacityFromFailure) {
  transport.set_response(503, R"({"error":"no capacity"})");
  EXPECT_EQ(scale_out().kind, Kind::no_capacity);
  transport.set_response(400, "{}");
  EXPECT_EQ(scale_out().kind, Kind::no_capacity);
  transport.set_response(503, R"({"error":"trouble"})");
  EXPECT_EQ(scale_out().kind, Kind::rejected);
}

TEST_F(CloudClientTest, ScaleOutBeyondTheRateOrUnsentIsRejected) {
  transport.set_response(429, "{}");
  EXPECT_EQ(scale_out().kind, Kind::rejected);
  transport.set_failure(Reply::Kind::not_sent);
  EXPECT_EQ(scale_out().kind, Kind::rejected);
}

TEST_F(CloudClientTest, ScaleOutWithoutValidResponseIsIndeterminate) {
  transport.set_failure(Reply::Kind::unknown);
  EXPECT_EQ(scale_out().kind, Kind::indeterminate);
  transport.set_response(200, "nonsense");
  EXPECT_EQ(scale_out().kind, Kind::indeterminate);
  transport.set_response(500, "{}");
  EXPECT_EQ(scale_out().kind, Kind::indeterminate);
}

TEST_F(CloudClientTest, Only200ProvesDeletion) {
  transport.set_response(200, "{}");
  EXPECT_EQ(delete_machine(), DeletionResult::deleted);
  transport.set_response(400, "{}");
  EXPECT_EQ(delete_machine(), DeletionResult::rejected);
  for (const int status : {404, 429, 500, 503}) {
    transport.set_response(status, "{}");
    EXPECT_EQ(delete_machine(), DeletionResult::indeterminate) << status;
  }
  transport.set_failure(Reply::Kind::unknown);
  EXPECT_EQ(delete_machine(), DeletionResult::indeterminate);
  transport.set_failure(Reply::Kind::not_sent);
  EXPECT_EQ(delete_machine(), DeletionResult::indeterminate);
}

TEST_F(CloudClientTest, ListWithFailedPageIsNone) {
  transport.set_response(503, "{}");
  EXPECT_FALSE(result_of(client.list_machines()));
  transport.set_response(200,
                         R"({"Rigs":[{"Id":"n-1","Frame":"g8","Yard":"a","Stance":"running"}]})");
  const auto machines = result_of(client.list_machines());
  ASSERT_TRUE(machines);
  ASSERT_EQ(machines->size(), 1U);
  EXPECT_EQ(machines->front().id, "n-1");
}

}  // namespace
}  // namespace cranklock::cloud
