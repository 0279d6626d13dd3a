// Keys and records in the key-value store, as literal bytes. Controllers of other versions read and
// write the same data, so no key and no field may be renamed.
#include <gtest/gtest.h>

#include "complete_job.hpp"
#include "control/job_record.hpp"
#include "control/move_service.hpp"
#include "control/record_keys.hpp"
#include "control/small_records.hpp"
#include "defrag/move_plan.hpp"
#include "regions/records.hpp"
#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

using control::PartStatus;
using control::RecordError;

constexpr std::size_t kMaxValueBytes = 8192;

using Texts = std::vector<std::string>;

sched::Placement placement(std::uint32_t task, std::uint64_t attempt, const std::string& machine) {
  sched::Placement result;
  result.task = task;
  result.attempt = attempt;
  result.machine = machine;
  return result;
}

/// A job with a value in every stored field.
sched::Job stored_job() {
  sched::Job job;
  job.spec = complete_job();
  job.created_ms = 1700000000001;
  job.cancelled_at_ms = 1700000000002;
  job.last_attempt = 9;
  job.record.revision = 17;
  job.done.add_range({0, 2});
  job.done.add_range({4, 5});
  job.placements = {placement(2, 7, "n-000007"), placement(3, 8, "n-000008"),
                    placement(6, 9, "n-000009")};
  return job;
}

const std::string kDependentRecordHead =
    R"({"dependent":)" + kCompleteJob + R"(,"at":1700000000001,"w":1700000000002,"n":9,"g":17,)";

RecordError malformed(const char* field) {
  return {RecordError::Kind::malformed_field, field};
}

// ---- keys ----

TEST(StorageKeys, JobKeys) {
  EXPECT_STREQ(control::kJobsPrefix, "jobs/");
  EXPECT_EQ(control::job_key("j-000412"), "jobs/j-000412");
  EXPECT_EQ(control::job_id_from_key("jobs/j-000412"), "j-000412");
  EXPECT_EQ(control::part_key("j-000412", 2), "parts/j-000412/2");
  EXPECT_EQ(control::outcome_key("j-000412"), "ended/j-000412");
}

TEST(StorageKeys, LeaderMachineTypePoolAndMoveKeys) {
  EXPECT_STREQ(control::kLeaderKey, "leader");
  EXPECT_STREQ(control::kTypesKey, "types");
  EXPECT_STREQ(control::kPoolsPrefix, "pools/");
  EXPECT_EQ(control::pool_key("g8/spot"), "pools/g8/spot");
  EXPECT_EQ(control::pool_name_from_key("pools/g8/spot"), "g8/spot");
  EXPECT_STREQ(control::kMovesKey, "moves/record");
  EXPECT_STREQ(control::kMovesOffKey, "moves/off");
}

TEST(StorageKeys, RegionKeys) {
  EXPECT_STREQ(regions::kRegionsPrefix, "regions/");
  EXPECT_STREQ(regions::kBootstrapRegionKey, "regions/founder");
  EXPECT_STREQ(regions::kQuotaPrefix, "regions/shares/");
  EXPECT_STREQ(regions::kSentPrefix, "regions/sent/");
  EXPECT_STREQ(regions::kOutPrefix, "regions/out/");
  EXPECT_STREQ(regions::kReceivedPrefix, "regions/received/");
  EXPECT_EQ(regions::quota_key("red"), "regions/shares/red");
  EXPECT_EQ(regions::sent_key("west"), "regions/sent/west");
  EXPECT_EQ(regions::received_key("west"), "regions/received/west");
  EXPECT_EQ(regions::out_key("west", 42), "regions/out/west/00000000000000000042");
}

// ---- jobs ----

TEST(StoredJob, EveryFieldIsWritten) {
  const std::string expected =
      kDependentRecordHead +
      R"("d":[[0,2],[4,5]],"p":[[2,7,"n-000007"],[3,8,"n-000008"],[6,9,"n-000009"]],"parts":0})";
  EXPECT_EQ(control::write_record(stored_job(), kMaxValueBytes), Texts{expected});
}

TEST(StoredJob, AJobWithoutDependenciesIsStoredUnderAnotherFieldName) {
  sched::Job job = stored_job();
  job.spec.dependencies.clear();
  job.cancelled_at_ms = 0;
  const auto texts = control::write_record(job, kMaxValueBytes);
  ASSERT_EQ(texts.size(), 1U);
  EXPECT_EQ(texts[0].substr(0, 23), R"({"job":{"Id":"j-000412")");
  EXPECT_NE(texts[0].find(R"(,"at":1700000000001,"w":0,"n":9,"g":17,"d":)"), std::string::npos);
}

TEST(StoredJob, ItemsBeyondTheMainValueAreWrittenInParts) {
  constexpr std::size_t kMaxBytes = 130;  // less than the main value with empty lists
  EXPECT_EQ(control::write_record(stored_job(), kMaxBytes),
            (Texts{kDependentRecordHead + R"("d":[],"p":[],"parts":2})",
                   R"({"g":17,"d":[[0,2],[4,5]],"p":[[2,7,"n-000007"],[3,8,"n-000008"]]})",
                   R"({"g":17,"d":[],"p":[[6,9,"n-000009"]]})"}));
}

TEST(StoredJob, EveryFieldOfTheMainValueAndItsPartsIsRead) {
  auto job = control::read_record(kDependentRecordHead +
                                  R"("d":[[0,2]],"p":[[2,7,"n-000007"]],"parts":1})");
  ASSERT_TRUE(job);
  const std::uint64_t other_revision = job->record.revision + 1;
  ASSERT_EQ(
      control::add_part(R"({"g":17,"d":[[4,5]],"p":[[3,8,"n-000008"]]})", other_revision, *job),
      PartStatus::added);
  expect_complete_job(job->spec);
  EXPECT_EQ(job->created_ms, 1700000000001);
  EXPECT_EQ(job->cancelled_at_ms, 1700000000002);
  EXPECT_EQ(job->last_attempt, 9U);
  EXPECT_EQ(job->record.generation, 17U);
  EXPECT_EQ(job->record.parts, 1);
  EXPECT_EQ(job->done.ranges(), (std::vector<sched::TaskSet::Range>{{0, 2}, {4, 5}}));
  ASSERT_EQ(job->placements.size(), 2U);
  EXPECT_EQ(job->placements[0].task, 2U);
  EXPECT_EQ(job->placements[0].attempt, 7U);
  EXPECT_EQ(job->placements[0].machine, "n-000007");
  EXPECT_TRUE(job->placements[0].durable());
  EXPECT_EQ(job->placements[1].task, 3U);
  EXPECT_EQ(job->placements[1].attempt, 8U);
  EXPECT_EQ(job->placements[1].machine, "n-000008");
}

TEST(StoredJob, APartOfAnotherWriteIsRefused) {
  auto job = control::read_record(kDependentRecordHead + R"("parts":1})");
  ASSERT_TRUE(job);
  EXPECT_EQ(control::add_part(R"({"g":18,"d":[],"p":[]})", job->record.revision, *job),
            PartStatus::different_write);
}

TEST(StoredJob, TheCancellationTimeIsReadFromTheText) {
  EXPECT_EQ(control::read_cancelled_at_ms(kDependentRecordHead + R"("parts":0})"), 1700000000002);
}

TEST(StoredJob, ACancellationChangesOnlyItsTime) {
  const std::string head = R"({"job":)" + kCompleteJob + R"(,"at":1700000000001,"w":)";
  const std::string tail = R"(,"n":9,"g":17,"d":[],"p":[],"parts":2})";
  const auto cancelled = control::with_cancellation(head + "0" + tail, 1700000000002);
  ASSERT_TRUE(cancelled);
  EXPECT_EQ(*cancelled, head + "1700000000002" + tail);
}

TEST(StoredJob, ACancelledJobKeepsItsCancellationTime) {
  const auto again =
      control::with_cancellation(kDependentRecordHead + R"("parts":0})", 1700000000009);
  ASSERT_FALSE(again);
  EXPECT_EQ(again.error(), malformed("w"));
}

TEST(StoredJob, AnErrorNamesTheMalformedFieldOfAMainValue) {
  const auto error_of = [](std::string text, const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
    return control::read_record(text).error();
  };
  const std::string record =
      kDependentRecordHead + R"("d":[[0,2]],"p":[[2,7,"n-000007"]],"parts":64})";
  ASSERT_TRUE(control::read_record(record));
  EXPECT_EQ(error_of(record, "{", "["), (RecordError{RecordError::Kind::not_an_object, ""}));
  EXPECT_EQ(error_of(record, R"("dependent")", R"("dependant")"), malformed("job"));
  EXPECT_EQ(error_of(record, R"("Id")", R"("Di")"), malformed("job"));
  EXPECT_EQ(error_of(record, R"("at":1700000000001)", R"("at":"x")"), malformed("at"));
  EXPECT_EQ(error_of(record, R"("w":1700000000002)", R"("w":null)"), malformed("w"));
  EXPECT_EQ(error_of(record, R"("n":9)", R"("n":-9)"), malformed("n"));
  EXPECT_EQ(error_of(record, R"("parts":64)", R"("parts":65)"), malformed("parts"));
  EXPECT_EQ(error_of(record, "[[0,2]]", "[[0]]"), malformed("d"));
  EXPECT_EQ(error_of(record, R"("n-000007"])", "7]"), malformed("p"));
}

TEST(StoredJob, AMalformedPartIsNotAdded) {
  auto job = control::read_record(kDependentRecordHead + R"("parts":1})");
  ASSERT_TRUE(job);
  EXPECT_EQ(control::add_part("[]", job->record.revision, *job), PartStatus::malformed);
  EXPECT_EQ(control::add_part(R"({"g":17,"d":7,"p":[]})", job->record.revision, *job),
            PartStatus::malformed);
}

TEST(StoredOutcome, EveryFieldAndStateIsWrittenAndRead) {
  const std::string done = R"({"s":"done","n":16,"t":1700000000003})";
  EXPECT_EQ(control::write_outcome({wire::JobState::done, 16, 1700000000003}), done);
  const auto read_done = control::read_outcome(done);
  ASSERT_TRUE(read_done);
  EXPECT_EQ(read_done->state, wire::JobState::done);
  EXPECT_EQ(read_done->tasks, 16U);
  EXPECT_EQ(read_done->ended_ms, 1700000000003);
  const std::string cancelled = R"({"s":"withdrawn","n":2})";
  EXPECT_EQ(control::write_outcome({wire::JobState::cancelled, 2, 0}), cancelled);
  const auto read_cancelled = control::read_outcome(cancelled);
  ASSERT_TRUE(read_cancelled);
  EXPECT_EQ(read_cancelled->state, wire::JobState::cancelled);
  EXPECT_EQ(read_cancelled->tasks, 2U);
  EXPECT_EQ(read_cancelled->ended_ms, 0);
}

TEST(StoredLeader, EveryFieldIsWrittenAndRead) {
  const std::string text = R"({"node":"winch-1","nonce":"4f2a"})";
  EXPECT_EQ(control::write_leader({"winch-1", "4f2a"}), text);
  const auto leader = control::read_leader(text);
  ASSERT_TRUE(leader);
  EXPECT_EQ(leader->name, "winch-1");
  EXPECT_EQ(leader->nonce, "4f2a");
}

TEST(StoredOutcome, AnErrorNamesTheMalformedFieldOfAnOutcomeOrLeader) {
  EXPECT_EQ(control::read_outcome("").error().kind, RecordError::Kind::not_an_object);
  EXPECT_EQ(control::read_outcome(R"({"s":"running","n":2})").error(), malformed("s"));
  EXPECT_EQ(control::read_outcome(R"({"s":"done"})").error(), malformed("n"));
  EXPECT_EQ(control::read_leader(R"({"nonce":"4f2a"})").error(), malformed("node"));
  EXPECT_EQ(control::read_leader(R"({"node":"winch-1"})").error(), malformed("nonce"));
}

TEST(StoredPool, EveryFieldIsWrittenAndRead) {
  const std::string text = R"({"count":12,"scaled":1700000000007})";
  const sched::PoolState pool{12, 1700000000007};
  EXPECT_EQ(control::write_pool(pool), text);
  const auto read = control::read_pool(text);
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, pool);
}

TEST(StoredPool, AMissingFieldIsReadAsZero) {
  const auto read = control::read_pool(R"({"count":12})");
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, (sched::PoolState{12, 0}));
  EXPECT_FALSE(control::read_pool("12"));
}

// ---- moves ----

const std::string kMoveRecord =
    R"({"plan":{"id":"41-1","job":"j-000412","begun_ms":1700000000004,"cost_s":12.5,)"
    R"("boot_s":360.25,"places":[{"machine":"n-000001","tasks":2},{"machine":"n-000002",)"
    R"("tasks":1}],"moves":[)"
    R"({"task":"j-000007/0","attempt":20,"from":"n-000001","to":"n-000010","step":"reserved"},)"
    R"({"task":"j-000007/1","attempt":21,"from":"n-000001","to":"n-000011","step":"draining"},)"
    R"({"task":"j-000007/2","attempt":22,"from":"n-000001","to":"n-000012","step":"stopping"},)"
    R"({"task":"j-000007/3","attempt":23,"from":"n-000001","to":"n-000013","step":"freed"},)"
    R"({"task":"j-000007/4","attempt":24,"from":"n-000001","to":"n-000014","step":"restarting"},)"
    R"({"task":"j-000007/5","attempt":25,"from":"n-000001","to":"n-000015","step":"done"},)"
    R"({"task":"j-000007/6","attempt":26,"from":"n-000001","to":"n-000016","step":"diverted"}]},)"
    R"("past":[{"job":"j-000008","begun_ms":1700000000005},)"
    R"({"job":"j-000009","begun_ms":1700000000006}]})";

defrag::MoveRecord move_record() {
  using defrag::MoveStep;
  defrag::MovePlan plan;
  plan.id = "41-1";
  plan.job = "j-000412";
  plan.begun_ms = 1700000000004;
  plan.cost_s = 12.5;
  plan.boot_s = 360.25;
  plan.places = {{"n-000001", 2}, {"n-000002", 1}};
  const auto add = [&](std::uint32_t task, std::uint64_t attempt, const char* to, MoveStep step) {
    plan.moves.push_back({{"j-000007", task}, attempt, "n-000001", to, step});
  };
  add(0, 20, "n-000010", MoveStep::reserved);
  add(1, 21, "n-000011", MoveStep::draining);
  add(2, 22, "n-000012", MoveStep::stopping);
  add(3, 23, "n-000013", MoveStep::freed);
  add(4, 24, "n-000014", MoveStep::restarting);
  add(5, 25, "n-000015", MoveStep::done);
  add(6, 26, "n-000016", MoveStep::diverted);
  return {plan, {{"j-000008", 1700000000005}, {"j-000009", 1700000000006}}};
}

TEST(StoredMoves, EveryFieldOfAPlanAndEveryStepIsWritten) {
  EXPECT_EQ(defrag::write_move_record(move_record()), kMoveRecord);
}

TEST(StoredMoves, EveryFieldOfAPlanAndEveryStepIsRead) {
  EXPECT_EQ(defrag::read_move_record(kMoveRecord), move_record());
}

TEST(StoredMoves, ARecordWithoutAPlanOmitsTheField) {
  EXPECT_EQ(defrag::write_move_record({}), R"({"past":[]})");
  EXPECT_EQ(defrag::read_move_record(R"({"past":[]})"), defrag::MoveRecord{});
}

// ---- regions ----

// In this order: guaranteed CPUs, CPU limit, guaranteed GPUs, GPU limit.
const regions::QuotaAmounts kAmounts({1500, 2500, 3000, 4000});

TEST(StoredRegions, AmountsAreInProtocolOrder) {
  EXPECT_EQ(kAmounts[regions::Resource::guaranteed_cpus], 1500);
  EXPECT_EQ(kAmounts[regions::Resource::cpus], 2500);
  EXPECT_EQ(kAmounts[regions::Resource::guaranteed_gpus], 3000);
  EXPECT_EQ(kAmounts[regions::Resource::gpus], 4000);
}

TEST(StoredRegions, AQuotaIsWrittenAndRead) {
  const std::string text = R"({"amounts":[1500,2500,3000,4000]})";
  EXPECT_EQ(regions::write_quota(kAmounts), text);
  EXPECT_EQ(regions::read_quota(text), kAmounts);
}

TEST(StoredRegions, ATransferCounterIsWrittenAndRead) {
  EXPECT_EQ(regions::write_counter(42), R"({"n":42})");
  EXPECT_EQ(regions::read_counter(R"({"n":42})"), 42U);
}

TEST(StoredRegions, ATransferIsWrittenAndRead) {
  const regions::QuotaTransfer transfer{42, "red", kAmounts};
  const std::string text = R"({"n":42,"team":"red","amounts":[1500,2500,3000,4000]})";
  EXPECT_EQ(regions::write_transfer(transfer), text);
  EXPECT_EQ(regions::read_transfer(text), transfer);
}

TEST(StoredRegions, TheBootstrapRegionIsWrittenAndRead) {
  EXPECT_EQ(regions::write_bootstrap_region("east"), R"({"region":"east"})");
  EXPECT_EQ(regions::read_bootstrap_region(R"({"region":"east"})"), "east");
}

// ---- records stored by a cluster ----

/// The text with each sequence of digits replaced by `#`.
std::string without_numbers(const std::string& text) {
  std::string result;
  for (const char c : text) {
    const bool digit = c >= '0' && c <= '9';
    if (!digit) {
      result += c;
    } else if (result.empty() || result.back() != '#') {
      result += '#';
    }
  }
  return result;
}

TEST(StoredPool, AClusterStoresTheCountAndLastScalingTimeOfAPool) {
  TestCluster cluster;
  cluster.run(1);
  cluster.submit(0, make_job("j-000001", wire::JobKind::service, 2, 8).spec);
  cluster.run(60);
  const auto& values = cluster.state_service.values;
  const auto pool = values.lower_bound("pools/");
  ASSERT_NE(pool, values.end());
  EXPECT_TRUE(pool->first == "pools/g8" || pool->first == "pools/g8/spot") << pool->first;
  EXPECT_EQ(without_numbers(pool->second.data), R"({"count":#,"scaled":#})");
}

TEST(StoredTypes, AClusterStoresTheMachineTypesOfTheCloud) {
  TestCluster cluster;
  cluster.run(5);
  const auto& values = cluster.state_service.values;
  const auto types = values.find("types");
  ASSERT_NE(types, values.end());
  EXPECT_EQ(types->second.data.substr(0, 20), R"({"Frames":[{"Label":)");
}

}  // namespace
}  // namespace cranklock::testing
