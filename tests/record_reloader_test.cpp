// Reloading of job records, and reading of dependency outcomes, by the leader.
#include "control/record_reloader.hpp"

#include <gtest/gtest.h>

#include "control/outcome_reader.hpp"
#include "leader_part.hpp"

namespace cranklock::control {
namespace {

class RecordReloaderTest : public testing::LeaderPartTest {
 protected:
  /// Adds a job to the leader's cluster state, at the given revision.
  sched::Job& hold(const std::string& id, std::uint64_t revision) {
    sched::Job& job = cluster_.upsert_job(make_service(id), reactor_.now());
    job.record.revision = revision;
    return job;
  }
  std::uint64_t stored_revision(const std::string& id) const {
    return stand_in_.values.at(job_key(id)).revision;
  }

  RecordReloader reloader_{
      context_, [this](sched::Job job) { cluster_.upsert_job(std::move(job), reactor_.now()); }};
};

TEST_F(RecordReloaderTest, AJobWithoutARecordIsRemoved) {
  hold(kJob, 1);
  EXPECT_EQ(await(reloader_.reload(kJob)), RecordReadStatus::complete);
  EXPECT_EQ(cluster_.job(kJob), nullptr);
}

TEST_F(RecordReloaderTest, ANewerRecordReplacesTheHeldOne) {
  hold(kJob, 0);
  store_cancelled_job(kJob);
  EXPECT_EQ(await(reloader_.reload(kJob)), RecordReadStatus::complete);
  ASSERT_NE(cluster_.job(kJob), nullptr);
  EXPECT_TRUE(cluster_.job(kJob)->cancelled());
  EXPECT_EQ(cluster_.job(kJob)->record.revision, stored_revision(kJob));
}

// A read must not settle the outcome of an unanswered write, which may still be applied later.
TEST_F(RecordReloaderTest, ARecordOfTheHeldRevisionChangesNothing) {
  store_cancelled_job(kJob);
  hold(kJob, stored_revision(kJob));
  EXPECT_EQ(await(reloader_.reload(kJob)), RecordReadStatus::complete);
  EXPECT_FALSE(cluster_.job(kJob)->cancelled());
}

TEST_F(RecordReloaderTest, AReadOlderThanTheHeldRecordIsNotApplied) {
  store_cancelled_job(kJob);
  hold(kJob, stored_revision(kJob) + 1);
  EXPECT_EQ(await(reloader_.reload(kJob)), RecordReadStatus::unavailable);
  EXPECT_FALSE(cluster_.job(kJob)->cancelled());
}

TEST_F(RecordReloaderTest, ARecordIsAppliedOnlyWithAllItsParts) {
  auto job = make_service(kJob);
  job.spec.tasks = 400;
  for (std::uint32_t task = 0; task < 200; ++task) job.done.add(2 * task);
  const auto values = write_record(job, 1024);
  ASSERT_GT(values.size(), 2U);
  std::vector<wire::Mutation> mutations{{job_key(kJob), values[0], 0}};
  for (std::size_t i = 1; i + 1 < values.size(); ++i) {
    mutations.push_back({part_key(kJob, static_cast<int>(i) - 1), values[i], 0});
  }
  write(mutations);
  EXPECT_EQ(await(reloader_.reload(kJob)), RecordReadStatus::unavailable);
  EXPECT_EQ(cluster_.job(kJob), nullptr);
  mutations.push_back({part_key(kJob, static_cast<int>(values.size()) - 2), values.back(), 0});
  write(mutations);
  EXPECT_EQ(await(reloader_.reload(kJob)), RecordReadStatus::complete);
  ASSERT_NE(cluster_.job(kJob), nullptr);
  EXPECT_EQ(cluster_.job(kJob)->done.size(), 200U);
}

TEST_F(RecordReloaderTest, ARequestIsRetriedUntilTheRecordIsRead) {
  auto running = reloader_.run();
  running.start();
  transport_.refusal_status = 503;
  reloader_.request(kJob);
  run(5);
  EXPECT_TRUE(reloader_.is_requested(kJob));
  store_job(kJob);
  transport_.refusal_status = 0;
  run(5);
  EXPECT_FALSE(reloader_.is_requested(kJob));
  EXPECT_NE(cluster_.job(kJob), nullptr);
}

class OutcomeReaderTest : public testing::LeaderPartTest {
 protected:
  static constexpr const char* kDependent = "j-000002";

  OutcomeReaderTest() {
    auto dependent = make_service(kDependent);
    dependent.spec.dependencies = {kJob};
    cluster_.upsert_job(std::move(dependent), reactor_.now());
  }
  void read_once() {
    reader_.read_unknown_outcomes();
    run(0.1);
  }
  bool dependencies_met() { return cluster_.job(kDependent)->dependencies_met; }

  OutcomeReader reader_{context_};
};

TEST_F(OutcomeReaderTest, AStoredOutcomeSatisfiesADependency) {
  EXPECT_FALSE(dependencies_met());
  store_outcome(kJob, R"({"s":"done","n":2})");
  read_once();
  EXPECT_TRUE(dependencies_met());
  EXPECT_TRUE(cluster_.unknown_outcomes().empty());
}

TEST_F(OutcomeReaderTest, ACancelledDependencyCancelsItsDependent) {
  store_outcome(kJob, R"({"s":"withdrawn","n":0})");
  read_once();
  EXPECT_FALSE(dependencies_met());
  EXPECT_TRUE(cluster_.job(kDependent)->cancelled());
}

// A missing outcome leaves the dependency unmet (invariant 14) and is read again after a delay.
TEST_F(OutcomeReaderTest, AMissingOutcomeIsReadAgainAfterADelay) {
  store_job(kJob);
  read_once();
  const int calls = transport_.calls;
  read_once();
  EXPECT_EQ(transport_.calls, calls);
  EXPECT_FALSE(dependencies_met());
  store_outcome(kJob, R"({"s":"done","n":2})");
  run(settings_.heartbeat_interval_s / 2);
  read_once();
  EXPECT_TRUE(dependencies_met());
}

}  // namespace
}  // namespace cranklock::control
