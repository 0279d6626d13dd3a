// Job lookups and dependency checks against the key-value store.
#include "control/job_lookup.hpp"

#include <gtest/gtest.h>

#include "control/dependency_check.hpp"
#include "stored_jobs.hpp"

namespace cranklock::control {
namespace {

class JobLookupTest : public testing::StoredJobsTest {
 protected:
  static constexpr const char* kDone = R"({"s":"done","n":2})";
  static constexpr const char* kCancelledOutcome = R"({"s":"withdrawn","n":0})";

  base::Result<StoredJob, LookupError> find(const std::string& id) {
    return await(lookup_.find(id));
  }

  bool store_reachable_ = true;
  JobLookup lookup_{store_, [this] { return store_reachable_; }};
};

TEST_F(JobLookupTest, AJobWithoutRecordOrOutcomeIsAbsent) {
  const auto found = find(kJob);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->state, StoredJob::State::absent);
  EXPECT_FALSE(found->cancelled());
}

TEST_F(JobLookupTest, ALiveJobHasTheRevisionAndTextOfItsRecord) {
  const auto job = make_service(kJob);
  store_job(job);
  const auto found = find(kJob);
  ASSERT_TRUE(found);
  EXPECT_EQ(found->state, StoredJob::State::live);
  EXPECT_EQ(found->job.spec.id, kJob);
  EXPECT_EQ(found->job.record.revision, stand_in_.values.at(job_key(kJob)).revision);
  EXPECT_EQ(found->main_value, write_record(job, kMaxBytes)[0]);
  EXPECT_FALSE(found->started());
  EXPECT_FALSE(found->cancelled());
}

TEST_F(JobLookupTest, ACancelledJobIsReportedAsCancelledBothLiveAndEnded) {
  store_cancelled_job(kJob);
  EXPECT_TRUE(find(kJob)->cancelled());
  store_outcome(kJob, kCancelledOutcome);
  const auto ended = find(kJob);
  EXPECT_EQ(ended->state, StoredJob::State::ended);
  EXPECT_TRUE(ended->cancelled());
}

TEST_F(JobLookupTest, AnOutcomeIsCachedAndNotReadAgain) {
  store_outcome(kJob, kDone);
  EXPECT_EQ(lookup_.known_outcome(kJob), nullptr);
  EXPECT_EQ(find(kJob)->outcome.tasks, 2U);
  ASSERT_NE(lookup_.known_outcome(kJob), nullptr);
  const int calls_before = transport_.calls;
  store_reachable_ = false;
  EXPECT_EQ(find(kJob)->state, StoredJob::State::ended);
  EXPECT_EQ(transport_.calls, calls_before);
}

TEST_F(JobLookupTest, AMalformedRecordIsAnErrorAndNotAbsence) {
  write({{job_key(kJob), "{}", 0}});
  EXPECT_EQ(find(kJob).error(), LookupError::record_malformed);
  store_outcome(kJob, "{}");
  EXPECT_EQ(find(kJob).error(), LookupError::record_malformed);
}

TEST_F(JobLookupTest, ARefusedReadIsAnErrorAndNotAbsence) {
  transport_.refusal_status = 503;
  EXPECT_EQ(find(kJob).error(), LookupError::store_unavailable);
}

// Clients must not wait for the timeout of a key-value store that this node cannot reach.
TEST_F(JobLookupTest, AnUnreachableStoreIsNotRead) {
  store_reachable_ = false;
  EXPECT_EQ(find(kJob).error(), LookupError::store_unavailable);
  EXPECT_EQ(transport_.calls, 0);
}

class DependencyCheckTest : public JobLookupTest {
 protected:
  using Verdict = DependencyCheck::Verdict;

  static constexpr const char* kOther = "j-000002";
  static constexpr const char* kIndirect = "j-000003";

  Verdict check(std::vector<std::string> dependencies) {
    return await(check_.check(std::move(dependencies)));
  }
  /// Stores a live job that depends on another.
  void store_dependent(const std::string& id, const std::string& dependency) {
    auto job = make_service(id);
    job.spec.dependencies = {dependency};
    store_job(job);
  }

  DependencyCheck check_{reactor_, settings_.cancel_s, lookup_};
};

TEST_F(DependencyCheckTest, LiveAndDoneDependenciesAreNotCancelled) {
  store_job(kJob);
  store_outcome(kOther, kDone);
  EXPECT_EQ(check({kJob, kOther}), Verdict::not_cancelled);
}

TEST_F(DependencyCheckTest, ACancelledDependencyIsFoundBothLiveAndEnded) {
  store_cancelled_job(kJob);
  EXPECT_EQ(check({kJob}), Verdict::cancelled);
  store_outcome(kJob, kCancelledOutcome);
  EXPECT_EQ(check({kJob}), Verdict::cancelled);
}

TEST_F(DependencyCheckTest, ACancelledIndirectDependencyIsFound) {
  store_dependent(kJob, kIndirect);
  store_cancelled_job(kIndirect);
  EXPECT_EQ(check({kJob}), Verdict::cancelled);
}

TEST_F(DependencyCheckTest, ANeverAcceptedDirectDependencyTakesPrecedenceOverACancelledOne) {
  store_cancelled_job(kJob);
  EXPECT_EQ(check({kJob, kOther}), Verdict::never_accepted);
}

TEST_F(DependencyCheckTest, WithoutAStoreResponseTheVerdictIsUndetermined) {
  store_job(kJob);
  transport_.refusal_status = 503;
  EXPECT_EQ(check({kJob}), Verdict::undetermined);
}

// The cache must not report `queued` long after a dependency was cancelled (invariant 14).
TEST_F(DependencyCheckTest, ALiveDependencyIsCachedForAQuarterOfCancelS) {
  store_job(kJob);
  ASSERT_EQ(check({kJob}), Verdict::not_cancelled);
  store_cancelled_job(kJob);
  EXPECT_EQ(check({kJob}), Verdict::not_cancelled);
  run(settings_.cancel_s / 4);
  EXPECT_EQ(check({kJob}), Verdict::cancelled);
}

TEST_F(DependencyCheckTest, DependenciesBeyondTheReadLimitAreCheckedByARetry) {
  constexpr int kDependencies = 40;
  std::vector<std::string> dependencies;
  for (int i = 0; i < kDependencies; ++i) {
    dependencies.push_back(testing::job_id(i));
    store_job(dependencies.back());
  }
  EXPECT_EQ(check(dependencies), Verdict::undetermined);
  EXPECT_EQ(check(dependencies), Verdict::not_cancelled);
}

TEST_F(DependencyCheckTest, ADependencyCycleTerminates) {
  store_dependent(kJob, kOther);
  store_dependent(kOther, kJob);
  EXPECT_EQ(check({kJob}), Verdict::not_cancelled);
}

}  // namespace
}  // namespace cranklock::control
