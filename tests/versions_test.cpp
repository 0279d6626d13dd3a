// Compatibility of stored data between this version and the one in production. Records of the
// production version are literals here; records of this version are checked by a reader with the
// requirements and limits of the production version.
#include <gtest/gtest.h>

#include "control/job_record.hpp"
#include "control/small_records.hpp"
#include "fixtures.hpp"
#include "older_version.hpp"
#include "peer/frames.hpp"
#include "sched/availability.hpp"

namespace cranklock::testing {
namespace {

using control::PartStatus;
using control::read_record;
using control::write_record;

/// Revision of a part whose main value was later changed by a cancellation. It differs from that of
/// the main value, which is 0 unless a test sets it.
constexpr std::uint64_t kOtherRevision = 1;

const char* const kProductionRecord =
    R"({"job":{"Id":"j-000412","Gear":"train","Crew":"red","Shape":"batch","Rank":"high",)"
    R"("Teeth":4,"Cpus":8.0,"Accelerators":1.0,"MemGb":64.0,"Cast":"img-07","SizeGb":6.2,)"
    R"("OneZone":false,"Apart":false,"Loaners":true,"ExpectS":240.0,"NotchS":0.0,"StowS":0.0,)"
    R"("DueS":900.0},"at":1000,"w":0,"n":3,"g":17,"d":[[0,1]],"p":[[1,2,"n-000007"]],"parts":1})";
const char* const kProductionPart = R"({"g":17,"d":[],"p":[[2,3,"n-000008"]]})";

constexpr std::size_t kMaxBytes = 8192;  ///< of a value, by the current limits

/// A job array with all tasks placed.
sched::Job long_job(std::uint32_t tasks) {
  sched::Job job = make_job("j-000001", wire::JobKind::job_array, tasks, 1);
  job.record.revision = 17;
  for (std::uint32_t i = 0; i < tasks; ++i) {
    sched::Placement placement;
    placement.task = i;
    placement.attempt = i + 1;
    placement.machine = "n-" + std::to_string(100'000 + i);
    job.placements.push_back(std::move(placement));
  }
  job.last_attempt = tasks;
  return job;
}

TEST(Versions, RecordsOfTheVersionInProductionAreRead) {
  auto job = read_record(kProductionRecord);
  ASSERT_TRUE(job);
  EXPECT_EQ(job->record.parts, 1);
  EXPECT_TRUE(job->spec.dependencies.empty());
  ASSERT_EQ(control::add_part(kProductionPart, kOtherRevision, *job), PartStatus::added);
  EXPECT_EQ(job->placements.size(), 2U);
  EXPECT_EQ(job->done.size(), 1U);
  const auto outcome = control::read_outcome(R"({"s":"done","n":3})");
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->tasks, 3U);
  EXPECT_EQ(outcome->ended_ms, 0);
}

TEST(Versions, ARecordWithoutDependenciesHasTheProductionFormat) {
  auto job = read_record(kProductionRecord);
  ASSERT_TRUE(job);
  ASSERT_EQ(control::add_part(kProductionPart, kOtherRevision, *job), PartStatus::added);
  job->record.revision = 17;
  const auto texts = write_record(*job, kMaxBytes);
  ASSERT_EQ(texts.size(), 1U);
  std::string expected = kProductionRecord;
  const std::string placements = R"([1,2,"n-000007"])";
  expected.replace(expected.find(placements), placements.size(),
                   placements + R"(,[2,3,"n-000008"])");
  expected.replace(expected.find("\"parts\":1"), 9, "\"parts\":0");
  EXPECT_EQ(texts[0], expected);
  EXPECT_EQ(control::write_outcome({wire::JobState::done, 3, 0}), R"({"s":"done","n":3})");
}

// A record written under the current value limit is rewritten under the announced lower one.
TEST(Versions, ALongRecordIsRewrittenInSmallValuesThatTheOlderVersionReads) {
  constexpr std::size_t kLowerMaxBytes = 2048;
  const auto job = long_job(300);
  const auto before = write_record(job, kMaxBytes);
  auto read = read_record(before[0]);
  ASSERT_TRUE(read);
  ASSERT_EQ(static_cast<std::size_t>(read->record.parts), before.size() - 1);
  for (std::size_t i = 1; i < before.size(); ++i) {
    ASSERT_EQ(control::add_part(before[i], kOtherRevision, *read), PartStatus::added);
  }
  read->record.revision = 18;
  const auto texts = write_record(*read, kLowerMaxBytes);
  EXPECT_GT(texts.size(), before.size());
  for (const auto& text : texts) EXPECT_LE(text.size(), kLowerMaxBytes);
  EXPECT_TRUE(older_version_reads(texts[0]));
  EXPECT_EQ(placements_of_older_version(texts), 300);
}

// The maximum number of live tasks fits one transaction, with as many ranges of done tasks between
// them.
TEST(Versions, TheRecordOfTheMaximumNumberOfLiveTasksFitsATransaction) {
  for (const auto& [value_kb, txn_ops] :
       {std::pair(2.0, 4), std::pair(2.0, 8), std::pair(8.0, 12), std::pair(8.0, 24)}) {
    auto settings = small_settings();
    settings.value_kb = value_kb;
    settings.txn_ops = txn_ops;
    const auto max_tasks = static_cast<std::uint32_t>(sched::max_live_tasks(settings));
    EXPECT_GT(max_tasks, 100U);
    auto job = long_job(max_tasks);
    for (auto& placement : job.placements) {
      job.done.add(50'000 + 2 * placement.task);
      placement.task = 50'001 + 2 * placement.task;
    }
    const auto texts = write_record(job, static_cast<std::size_t>(value_kb * 1024));
    EXPECT_LE(texts.size(), static_cast<std::size_t>(txn_ops)) << value_kb;
  }
}

// The older version does not know dependencies: it would start such a job too early and rewrite its
// record without them.
TEST(Versions, TheOlderVersionRejectsAJobWithDependencies) {
  sched::Job job = long_job(1);
  EXPECT_TRUE(older_version_reads(write_record(job, kMaxBytes)[0]));
  job.spec.dependencies = {"j-000007", "j-000008"};
  const auto texts = write_record(job, kMaxBytes);
  EXPECT_FALSE(older_version_reads(texts[0]));
  const auto read = read_record(texts[0]);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->spec.dependencies, job.spec.dependencies);
  // It requires the first two fields of an outcome and ignores others.
  const std::string outcome = control::write_outcome({wire::JobState::done, 3, 1234});
  EXPECT_EQ(outcome, R"({"s":"done","n":3,"t":1234})");
  EXPECT_EQ(control::read_outcome(outcome)->ended_ms, 1234);
}

// The older version drops a connection on which a frame has another version, kind or length.
TEST(Versions, FramesBetweenControllersHaveTheProductionFormat) {
  peer::PeerHeartbeat peer_heartbeat;
  peer_heartbeat.name = "n0";
  peer_heartbeat.fencing_token = 5;
  peer_heartbeat.reaches_store = true;
  peer_heartbeat.incarnation = 2;
  peer_heartbeat.sent_clock_ms = 3;
  peer_heartbeat.delegate_responded_ms = 7;
  std::string expected("\x00\x31\x02\x01", 4);
  expected += std::string("\x02n0", 3) + std::string("\0\0\0\0\0\0\0\x05", 8);
  expected += std::string("\x01\x00", 2) + std::string("\0\0\0\0\0\0\0\x02", 8);
  expected += std::string("\0\0\0\0\0\0\0\x03", 8) + std::string(16, '\0');
  expected += std::string("\0\0\0\x07", 4);
  EXPECT_EQ(peer::pack(peer_heartbeat), expected);
  const std::string forwarded = peer::pack(peer::ForwardedHeartbeat{9, "ab"});
  EXPECT_EQ(forwarded, std::string("\x00\x0c\x02\x02\0\0\0\0\0\0\0\x09\x00\x02"
                                   "ab",
                                   16));
  const peer::ForwardedResponse answer{9, 200, 5, 1, "c"};
  EXPECT_EQ(peer::pack(answer), std::string("\x00\x19\x02\x03\0\0\0\0\0\0\0\x09\x00\xc8"
                                            "\0\0\0\0\0\0\0\x05\0\0\0\x01\x00\x01"
                                            "c",
                                            29));
}

}  // namespace
}  // namespace cranklock::testing
