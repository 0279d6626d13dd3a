// Loading and watching of job records by the leader.
#include "control/job_watcher.hpp"

#include <gtest/gtest.h>

#include "leader_part.hpp"

namespace cranklock::control {
namespace {

class JobWatcherTest : public testing::LeaderPartTest {
 protected:
  static constexpr const char* kOther = "j-000002";

  void SetUp() override {
    store_job(kJob);
    ASSERT_TRUE(await(watcher_.load()));
    lease_.record_renewal(reactor_.now());
  }
  /// Follows changes for one second, with a renewed leader lease.
  void follow() {
    auto following = watcher_.follow();
    following.start();
    run(1);
    lease_.record_renewal(reactor_.now());
  }

  RecordReloader reloader_{context_,
                           [this](sched::Job job) { watcher_.upsert_job(std::move(job)); }};
  int accepted_ = 0;
  int cancelled_ = 0;
  JobWatcher watcher_{context_, reloader_, {[this] { ++accepted_; }, [this] { ++cancelled_; }}};
};

TEST_F(JobWatcherTest, LiveJobsAreLoadedWithTheirRevisions) {
  ASSERT_NE(cluster_.job(kJob), nullptr);
  EXPECT_EQ(cluster_.job(kJob)->record.revision, stand_in_.values.at(job_key(kJob)).revision);
  EXPECT_EQ(accepted_, 0);
}

TEST_F(JobWatcherTest, AMalformedRecordIsLeftUnchangedAndTheOthersAreLoaded) {
  write({{job_key(kOther), "{}", 0}});
  EXPECT_TRUE(await(watcher_.load()));
  EXPECT_EQ(cluster_.job(kOther), nullptr);
  EXPECT_EQ(stand_in_.values.at(job_key(kOther)).data, "{}");
}

TEST_F(JobWatcherTest, LoadFailsWhenTheStoreRefuses) {
  transport_.refusal_status = 503;
  EXPECT_FALSE(await(watcher_.load()));
}

// A change must not be compared with a record whose write by the leader is in flight.
TEST_F(JobWatcherTest, ANewJobIsQueuedUntilChangesAreApplied) {
  store_job(kOther);
  follow();
  EXPECT_EQ(cluster_.job(kOther), nullptr);
  watcher_.apply_changes();
  EXPECT_NE(cluster_.job(kOther), nullptr);
  EXPECT_EQ(accepted_, 1);
}

TEST_F(JobWatcherTest, ACancellationIsAppliedOnReceipt) {
  store_cancelled_job(kJob);
  follow();
  EXPECT_TRUE(cluster_.job(kJob)->cancelled());
  EXPECT_EQ(cancelled_, 1);
}

TEST_F(JobWatcherTest, AJobWhoseRecordIsRemovedIsRemoved) {
  store_outcome(kJob, R"({"s":"done","n":2})");
  follow();
  watcher_.apply_changes();
  EXPECT_EQ(cluster_.job(kJob), nullptr);
}

TEST_F(JobWatcherTest, AChangeOlderThanTheHeldRecordIsDropped) {
  store_cancelled_job(kJob);
  cluster_.job(kJob)->record.revision = stand_in_.revision + 1;
  follow();
  watcher_.apply_changes();
  EXPECT_FALSE(cluster_.job(kJob)->cancelled());
}

TEST_F(JobWatcherTest, ARecordWithPartsIsReloaded) {
  auto job = make_service(kOther);
  job.spec.tasks = 400;
  for (std::uint32_t task = 0; task < 200; ++task) job.done.add(2 * task);
  write({{job_key(kOther), write_record(job, 1024)[0], 0}});
  follow();
  watcher_.apply_changes();
  EXPECT_EQ(cluster_.job(kOther), nullptr);
  EXPECT_TRUE(reloader_.is_requested(kOther));
}

// A successful lease renewal alone does not allow starts (invariant 11).
TEST_F(JobWatcherTest, NoTaskMayStartWhileWatchesAreRefused) {
  follow();
  EXPECT_TRUE(lease_.may_start(reactor_.now()));
  transport_.refusal_status = 503;
  follow();
  EXPECT_FALSE(lease_.may_start(reactor_.now()));
  transport_.refusal_status = 0;
  follow();
  EXPECT_TRUE(lease_.may_start(reactor_.now()));
}

// After a `compacted` response all records are read again and applied as changes.
TEST_F(JobWatcherTest, AWatcherBehindTheCompactedRevisionReadsAllRecords) {
  constexpr int kWritesBeyondHistory = 10'500;
  store_job(kOther);
  for (int i = 0; i < kWritesBeyondHistory; ++i) write({{"other", "1", 0}});
  follow();
  watcher_.apply_changes();
  EXPECT_NE(cluster_.job(kOther), nullptr);
  EXPECT_TRUE(lease_.may_start(reactor_.now()));
}

}  // namespace
}  // namespace cranklock::control
