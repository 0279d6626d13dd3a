// Mapping of the key-value store's responses to the result of each request.
#include <gtest/gtest.h>

#include "fixed_reply.hpp"
#include "store/client.hpp"
#include "test_cluster.hpp"

namespace cranklock::store {
namespace {

using net::Reply;
using testing::FakeReactor;

struct StoreClientTest : ::testing::Test {
  FakeReactor reactor;
  testing::FixedReply transport;
  base::Settings settings = testing::small_settings();
  Client client{reactor, transport, settings};

  StoreClientTest() { reactor.run_until(100); }

  template <typename Result>
  Result result_of(net::Task<Result> operation) {
    operation.start();
    if (!operation.done()) reactor.run_until(reactor.now() + 10);
    EXPECT_TRUE(operation.done());
    return operation.take();
  }
  void set_response(int status, std::string body = R"({"LedgerTurn":7})") {
    transport.set_response(status, std::move(body));
  }
  Status compare_and_swap(std::vector<wire::Mutation> mutations = {{"key", "1", 0}}) {
    return result_of(client.compare_and_swap({{"key", 1}}, std::move(mutations), 5)).status;
  }
  Status read() { return result_of(client.read("key", 5)).status; }
  Status read_page() { return result_of(client.read_page("jobs/", "", 7, 5)).status; }
  Status changes_since() { return result_of(client.changes_since("jobs/", 1, 5)).status; }
  Status watch() { return result_of(client.watch("jobs/", 1, 2)).status; }
  Status renew_lease() { return result_of(client.renew_lease(77, 5)); }
};

TEST_F(StoreClientTest, NegativeStatusMapsToTheResultOfTheRequest) {
  for (const int status : {404, 409, 410}) {
    set_response(status);
    EXPECT_EQ(compare_and_swap(), Status::precondition_failed) << status;
    EXPECT_EQ(read(), Status::not_found) << status;
    EXPECT_EQ(read_page(), Status::not_found) << status;
    EXPECT_EQ(changes_since(), Status::compacted) << status;
    EXPECT_EQ(watch(), Status::compacted) << status;
    EXPECT_EQ(renew_lease(), Status::not_found) << status;
  }
}

TEST_F(StoreClientTest, RefusedRequestIsRejected) {
  for (const int status : {400, 429, 503}) {
    set_response(status);
    EXPECT_EQ(compare_and_swap(), Status::rejected) << status;
    EXPECT_EQ(read(), Status::rejected) << status;
    EXPECT_EQ(read_page(), Status::rejected) << status;
    EXPECT_EQ(changes_since(), Status::rejected) << status;
    EXPECT_EQ(watch(), Status::rejected) << status;
    EXPECT_EQ(renew_lease(), Status::rejected) << status;
  }
}

TEST_F(StoreClientTest, UnsentRequestIsRejected) {
  transport.set_failure(Reply::Kind::not_sent);
  EXPECT_EQ(compare_and_swap(), Status::rejected);
  EXPECT_EQ(read(), Status::rejected);
  EXPECT_EQ(renew_lease(), Status::rejected);
}

TEST_F(StoreClientTest, NoResponseOrUnexpectedStatusIsIndeterminate) {
  transport.set_failure(Reply::Kind::unknown);
  EXPECT_EQ(compare_and_swap(), Status::indeterminate);
  EXPECT_EQ(read(), Status::indeterminate);
  EXPECT_EQ(renew_lease(), Status::indeterminate);
  for (const int status : {201, 204, 301, 401, 403, 500, 502, 504}) {
    set_response(status);
    EXPECT_EQ(compare_and_swap(), Status::indeterminate) << status;
    EXPECT_EQ(read(), Status::indeterminate) << status;
    EXPECT_EQ(watch(), Status::indeterminate) << status;
    EXPECT_EQ(renew_lease(), Status::indeterminate) << status;
  }
}

TEST_F(StoreClientTest, MalformedResponseIsIndeterminate) {
  set_response(200, "nonsense");
  EXPECT_EQ(compare_and_swap(), Status::indeterminate);
  EXPECT_EQ(read(), Status::indeterminate);
  EXPECT_EQ(read_page(), Status::indeterminate);
  EXPECT_EQ(watch(), Status::indeterminate);
  set_response(409, "nonsense");
  EXPECT_EQ(compare_and_swap(), Status::indeterminate);
}

TEST_F(StoreClientTest, Only404OfTheStoreItselfProvesAbsence) {
  set_response(404, "no such page");
  EXPECT_EQ(read(), Status::indeterminate);
}

TEST_F(StoreClientTest, ResponseForAnotherKeyIsIndeterminate) {
  set_response(200, R"({"K":"other","Mark":3,"Data":{}})");
  EXPECT_EQ(read(), Status::indeterminate);
}

TEST_F(StoreClientTest, TransactionRefusedAsMalformedLowersTheLimits) {
  const auto max_value_bytes = client.max_value_bytes();
  const auto max_mutations = client.max_mutations();
  set_response(400);
  compare_and_swap();
  EXPECT_EQ(client.max_value_bytes(), max_value_bytes / 2);
  EXPECT_EQ(client.max_mutations(), max_mutations / 2);
}

// Guards against a record that can't be written and, refused again and again, slows down all
// others.
TEST_F(StoreClientTest, RefusalOfATransactionBeyondTheLimitsShowsNothing) {
  const auto max_value_bytes = client.max_value_bytes();
  const auto max_mutations = client.max_mutations();
  set_response(400);
  compare_and_swap({{"jobs/j-1", std::string(max_value_bytes + 1, 'x'), 0}});
  compare_and_swap(std::vector<wire::Mutation>(max_mutations + 1, {"jobs/j-1", "1", 0}));
  EXPECT_EQ(client.max_value_bytes(), max_value_bytes);
  EXPECT_EQ(client.max_mutations(), max_mutations);
}

TEST_F(StoreClientTest, LoweredLimitsAreForgottenWithoutARestart) {
  const auto max_value_bytes = client.max_value_bytes();
  set_response(400);
  compare_and_swap();
  ASSERT_EQ(client.max_value_bytes(), max_value_bytes / 2);
  EXPECT_EQ(client.configured_max_value_bytes(), max_value_bytes);
  reactor.run_until(reactor.now() + 10 * settings.cancel_s - 1);
  EXPECT_EQ(client.max_value_bytes(), max_value_bytes / 2);
  reactor.run_until(reactor.now() + 2);
  EXPECT_EQ(client.max_value_bytes(), max_value_bytes);
}

TEST_F(StoreClientTest, TransactionWithLeaseDoesNotLowerTheLimits) {
  const auto max_value_bytes = client.max_value_bytes();
  set_response(400);
  compare_and_swap({{"leader", "1", 77}});
  EXPECT_EQ(client.max_value_bytes(), max_value_bytes);
}

TEST_F(StoreClientTest, RequestThatWouldWaitBeyondItsTimeoutIsRejectedUnsent) {
  set_response(429);
  read();  // empties the rate limits
  set_response(200);
  const int calls = transport.calls;
  EXPECT_EQ(result_of(client.read("key", 0.001)).status, Status::rejected);
  EXPECT_EQ(transport.calls, calls);
}

TEST_F(StoreClientTest, RequestWaitsForTheRateLimitWithinItsTimeout) {
  set_response(429);
  read();
  const int calls = transport.calls;
  auto reading = client.read("key", 5);
  reading.start();
  EXPECT_EQ(transport.calls, calls);
  reactor.run_until(reactor.now() + 5);
  EXPECT_EQ(transport.calls, calls + 1);
}

TEST_F(StoreClientTest, ChangesSinceDoesNotWaitForTheRateLimit) {
  set_response(429);
  read();
  const int calls = transport.calls;
  result_of(client.changes_since("jobs/", 1, 0.001));
  result_of(client.changes_since("jobs/", 1, 0.001));
  EXPECT_EQ(transport.calls, calls + 2);
}

TEST_F(StoreClientTest, LeaseRequestMayOverdrawTheRateLimitByOne) {
  set_response(429);
  read();
  set_response(200);
  const int calls = transport.calls;
  EXPECT_EQ(result_of(client.renew_lease(77, 0.001)), Status::ok);
  EXPECT_EQ(result_of(client.renew_lease(77, 0.001)), Status::rejected);
  EXPECT_EQ(transport.calls, calls + 1);
}

}  // namespace
}  // namespace cranklock::store
