// Status requests served from shared syncs with the key-value store.
#include "control/status_cache.hpp"

#include <gtest/gtest.h>

#include "stored_jobs.hpp"

namespace cranklock::control {
namespace {

using testing::job_id;

class StatusCacheTest : public testing::StoredJobsTest {
 protected:
  using Status = base::Result<JobStatus, StatusMiss>;

  /// Sends a status request and waits for the result.
  Status find(const std::string& id) { return await(cache_.find(id)); }
  wire::JobState state_of(const std::string& id) { return find(id).value().state; }

  StatusCache cache_{reactor_, settings_, store_};
};

TEST_F(StatusCacheTest, ConcurrentRequestsShareOneSync) {
  constexpr int kJobs = 50;
  for (int i = 0; i < kJobs; ++i) store_job(job_id(i));
  ASSERT_TRUE(find(job_id(0)));
  const int calls_before = transport_.calls;
  std::vector<net::Task<Status>> requests;
  for (int i = 0; i < kJobs; ++i) {
    requests.push_back(cache_.find(job_id(i)));
    requests.back().start();
  }
  run(1);
  for (auto& request : requests) {
    ASSERT_TRUE(request.done());
    EXPECT_TRUE(request.take());
  }
  EXPECT_EQ(transport_.calls, calls_before + 1);
}

// A response must not be older than one already given by another node: it includes all writes
// before the request, however recent the last sync was (invariant 13).
TEST_F(StatusCacheTest, AResponseIncludesAllWritesBeforeTheRequest) {
  store_job(kJob);
  ASSERT_EQ(state_of(kJob), wire::JobState::queued);
  store_cancelled_job(kJob);
  EXPECT_EQ(state_of(kJob), wire::JobState::cancelled);
  store_outcome(kJob, "{}");
  EXPECT_EQ(find(kJob).error(), StatusMiss::not_cached);
}

// A request that arrives after the running sync was sent waits for the next sync.
TEST_F(StatusCacheTest, ARequestDuringASyncWaitsForTheNextOne) {
  store_job(kJob);
  ASSERT_TRUE(find(kJob));
  auto first = cache_.find(kJob);
  first.start();
  const double deadline = reactor_.now() + cache_.sync_interval_s() + 0.1;
  while (!first.done() && reactor_.now() < deadline) {
    const int calls = transport_.calls;
    run(testing::kLatencyS / 2);
    if (transport_.calls == calls) continue;
    run(testing::kLatencyS);  // the store has served it; the response is in flight
    break;
  }
  ASSERT_FALSE(first.done());
  store_cancelled_job(kJob);
  EXPECT_EQ(state_of(kJob), wire::JobState::cancelled);
  ASSERT_TRUE(first.done());
  EXPECT_EQ(first.take().value().state, wire::JobState::queued);
}

// Waiting requests must not hang when the request that runs the sync is cancelled: another runs it.
TEST_F(StatusCacheTest, AWaiterRunsTheSyncOfACancelledRequest) {
  store_job(kJob);
  ASSERT_TRUE(find(kJob));
  auto cancelled_request = std::make_unique<net::Task<Status>>(cache_.find(kJob));
  cancelled_request->start();
  auto other = cache_.find(kJob);
  other.start();
  cancelled_request.reset();
  run(1);
  ASSERT_TRUE(other.done());
  EXPECT_TRUE(other.take());
}

TEST_F(StatusCacheTest, ARefusedSyncIsReportedAtOnceAndTheNextOneSucceeds) {
  store_job(kJob);
  ASSERT_TRUE(find(kJob));
  transport_.refusal_status = 503;
  const double requested_at = reactor_.now();
  EXPECT_EQ(find(kJob).error(), StatusMiss::store_unavailable);
  EXPECT_LT(reactor_.now(), requested_at + 2 * cache_.sync_interval_s());
  transport_.refusal_status = 0;
  EXPECT_TRUE(find(kJob));
}

// More jobs than one page holds, and then a revision that the key-value store has compacted.
TEST_F(StatusCacheTest, FullSyncsReadPageByPageAndRepeatAfterCompaction) {
  constexpr int kJobs = 500;
  constexpr int kFurtherPages = 3;
  constexpr int kWritesBeyondHistory = 10'500;
  for (int i = 0; i < kJobs; ++i) store_job(job_id(i));
  const auto last = job_id(kJobs - 1);
  EXPECT_EQ(find(last).error(), StatusMiss::not_cached);  // its page is not read yet
  for (int i = 0; i < kFurtherPages; ++i) (void)find(last);
  EXPECT_TRUE(find(last));
  store_cancelled_job(last);
  for (int i = 0; i < kWritesBeyondHistory; ++i) write({{"other", std::to_string(i), 0}});
  for (int i = 0; i <= kFurtherPages; ++i) (void)find(last);
  EXPECT_EQ(state_of(last), wire::JobState::cancelled);
}

// A job that waits for dependencies may be cancelled with them before its own record shows it.
TEST_F(StatusCacheTest, AJobThatWaitsForDependenciesIsNotCached) {
  const std::string dependent = "j-000002";
  auto job = make_service(dependent);
  job.spec.dependencies = {kJob};
  store_job(job);
  EXPECT_EQ(find(dependent).error(), StatusMiss::not_cached);
  EXPECT_EQ(find(dependent).error(), StatusMiss::not_cached);
}

TEST_F(StatusCacheTest, IsCheaperThanReadsOnceRequestsAreMoreFrequentThanSyncs) {
  EXPECT_FALSE(cache_.is_cheaper_than_reads());
  const double pause = cache_.sync_interval_s() / 4;
  for (double seconds = 0; seconds < 5; seconds += pause) {
    cache_.count_read();
    run(pause);
  }
  EXPECT_TRUE(cache_.is_cheaper_than_reads());
  run(10);
  EXPECT_FALSE(cache_.is_cheaper_than_reads());
}

}  // namespace
}  // namespace cranklock::control
