// Status requests that share syncs with the key-value store.
#include "control/status_cache.hpp"

#include <gtest/gtest.h>

#include "control/job_api.hpp"
#include "control/job_record.hpp"
#include "control/record_keys.hpp"
#include "test_cluster.hpp"

namespace cranklock::control {
namespace {

using testing::FakeReactor;
using testing::StateStandIn;

constexpr double kLatencyS = 0.001;

/// Requests reach the key-value store after a millisecond, as do its answers, and it can be made to
/// refuse.
struct SlowTransport : net::Transport {
  FakeReactor& reactor;
  StateStandIn& store;
  int refusal_status = 0;  ///< instead of serving; 0: it serves
  int calls = 0;

  SlowTransport(FakeReactor& clock, StateStandIn& stand_in) : reactor(clock), store(stand_in) {}
  net::Task<net::Reply> call(std::string, net::Request request, double) override {
    ++calls;
    net::Sleep request_latency(reactor, kLatencyS);
    co_await request_latency;
    if (refusal_status != 0) {
      co_return net::Reply{net::Reply::Kind::answered, make_response(refusal_status, "{}")};
    }
    auto response = store.handle(request);
    net::Sleep response_latency(reactor, kLatencyS);
    co_await response_latency;
    co_return net::Reply{net::Reply::Kind::answered, std::move(response)};
  }
};

/// Ids of many jobs, by number.
std::string numbered_id(int number) {
  return "j-" + std::to_string(100'000 + number);
}

class StatusCacheTest : public ::testing::Test {
 protected:
  using Status = base::Result<JobStatus, StatusMiss>;

  static constexpr std::size_t kMaxBytes = 8192;
  static constexpr const char* kJob = "j-000001";
  static constexpr bool kCancelled = true;

  StatusCacheTest() { reactor_.run_until(100); }

  void run(double seconds) { reactor_.run_until(reactor_.now() + seconds); }
  /// Stores a live job that has not started.
  void store_job(const std::string& id, bool cancelled = false) {
    auto job = testing::make_job(id, wire::JobKind::service, 2, 1, "red");
    job.cancelled_at_ms = cancelled ? 1 : 0;
    write({{job_key(id), write_record(job, kMaxBytes)[0], 0}});
  }
  void write(const std::vector<wire::Mutation>& mutations) {
    const auto body = wire::compare_and_swap_request({}, mutations);
    ASSERT_EQ(stand_in_.handle({"POST", "/txn", "", body, true}).status, 200);
  }
  /// A status request, answered before this returns.
  Status find(const std::string& id) {
    auto finding = cache_.find(id);
    finding.start();
    for (int i = 0; i < 200 && !finding.done(); ++i) run(0.01);
    EXPECT_TRUE(finding.done());
    return finding.take();
  }
  wire::JobState state_of(const std::string& id) { return find(id).value().state; }

  FakeReactor reactor_;
  StateStandIn stand_in_{reactor_};
  SlowTransport transport_{reactor_, stand_in_};
  base::Settings settings_ = testing::small_settings();
  store::Client store_{reactor_, transport_, settings_};
  StatusCache cache_{reactor_, settings_, store_};
};

TEST_F(StatusCacheTest, ManyRequestsAtOnceShareOneSync) {
  constexpr int kJobs = 50;
  for (int i = 0; i < kJobs; ++i) store_job(numbered_id(i));
  ASSERT_TRUE(find(numbered_id(0)));
  const int calls_before = transport_.calls;
  std::vector<net::Task<Status>> requests;
  for (int i = 0; i < kJobs; ++i) {
    requests.push_back(cache_.find(numbered_id(i)));
    requests.back().start();
  }
  run(1);
  for (auto& request : requests) {
    ASSERT_TRUE(request.done());
    EXPECT_TRUE(request.take());
  }
  EXPECT_EQ(transport_.calls, calls_before + 1);
}

// Guards against an answer that is older than one already given elsewhere: what was written before
// the request is in the answer, however recently the last sync was.
TEST_F(StatusCacheTest, WhatWasWrittenBeforeARequestIsInItsAnswer) {
  store_job(kJob);
  ASSERT_EQ(state_of(kJob), wire::JobState::queued);
  store_job(kJob, kCancelled);
  EXPECT_EQ(state_of(kJob), wire::JobState::cancelled);
  write({{job_key(kJob), "", 0}, {outcome_key(kJob), "{}", 0}});
  EXPECT_EQ(find(kJob).error(), StatusMiss::not_cached);
}

// The same when a sync is under way: a request that comes meanwhile waits for the next one.
TEST_F(StatusCacheTest, ARequestDuringASyncWaitsForTheNextOne) {
  store_job(kJob);
  ASSERT_TRUE(find(kJob));
  auto first = cache_.find(kJob);
  first.start();
  const double deadline = reactor_.now() + cache_.interval() + 0.1;
  while (!first.done() && reactor_.now() < deadline) {
    const int calls = transport_.calls;
    run(kLatencyS / 2);
    if (transport_.calls == calls) continue;
    run(kLatencyS);  // served, and the answer on its way
    break;
  }
  ASSERT_FALSE(first.done());
  store_job(kJob, kCancelled);
  EXPECT_EQ(state_of(kJob), wire::JobState::cancelled);
  ASSERT_TRUE(first.done());
  EXPECT_EQ(first.take().value().state, wire::JobState::queued);
}

// Guards against requests that hang on one that was given up: another carries the sync out.
TEST_F(StatusCacheTest, ASyncWhoseRequestIsGivenUpIsCarriedOutByAnother) {
  store_job(kJob);
  ASSERT_TRUE(find(kJob));
  auto given_up = std::make_unique<net::Task<Status>>(cache_.find(kJob));
  given_up->start();
  auto other = cache_.find(kJob);
  other.start();
  given_up.reset();
  run(1);
  ASSERT_TRUE(other.done());
  EXPECT_TRUE(other.take());
}

TEST_F(StatusCacheTest, ARefusalIsToldAtOnceAndServiceGoesOnAfterIt) {
  store_job(kJob);
  ASSERT_TRUE(find(kJob));
  transport_.refusal_status = 503;
  const double asked = reactor_.now();
  EXPECT_EQ(find(kJob).error(), StatusMiss::store_unavailable);
  EXPECT_LT(reactor_.now(), asked + 2 * cache_.interval());
  transport_.refusal_status = 0;
  EXPECT_TRUE(find(kJob));
}

// More jobs than a page holds, and a revision that the key-value store does not remember any more.
TEST_F(StatusCacheTest, ReadsWhatIsStoredPageByPageAndAnewAfterAGap) {
  constexpr int kJobs = 500;
  constexpr int kFurtherPages = 3;
  constexpr int kMoreWritesThanAreRemembered = 10'500;
  for (int i = 0; i < kJobs; ++i) store_job(numbered_id(i));
  const auto last = numbered_id(kJobs - 1);
  EXPECT_EQ(find(last).error(), StatusMiss::not_cached);  // not read yet: it is looked up
  for (int i = 0; i < kFurtherPages; ++i) (void)find(last);
  EXPECT_TRUE(find(last));
  store_job(last, kCancelled);
  for (int i = 0; i < kMoreWritesThanAreRemembered; ++i) write({{"other", std::to_string(i), 0}});
  for (int i = 0; i <= kFurtherPages; ++i) (void)find(last);
  EXPECT_EQ(state_of(last), wire::JobState::cancelled);
}

// A job that waits for others may be cancelled with them before its own record says so.
TEST_F(StatusCacheTest, AJobThatWaitsForOthersIsLookedUp) {
  const std::string dependent = "j-000002";
  auto job = testing::make_job(dependent, wire::JobKind::service, 2, 1, "red");
  job.spec.dependencies = {kJob};
  write({{job_key(dependent), write_record(job, kMaxBytes)[0], 0}});
  EXPECT_EQ(find(dependent).error(), StatusMiss::not_cached);
  EXPECT_EQ(find(dependent).error(), StatusMiss::not_cached);
}

TEST_F(StatusCacheTest, IsWorthwhileOnceRequestsComeMoreOftenThanSyncs) {
  EXPECT_FALSE(cache_.is_worthwhile());
  const double pause = cache_.interval() / 4;
  for (double seconds = 0; seconds < 5; seconds += pause) {
    cache_.count_read();
    run(pause);
  }
  EXPECT_TRUE(cache_.is_worthwhile());
  run(10);
  EXPECT_FALSE(cache_.is_worthwhile());
}

}  // namespace
}  // namespace cranklock::control
