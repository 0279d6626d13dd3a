#include <gtest/gtest.h>

#include "control/job_record.hpp"
#include "fixtures.hpp"
#include "wire/agent_protocol.hpp"
#include "wire/client_api.hpp"
#include "wire/cloud_api.hpp"
#include "wire/json.hpp"
#include "wire/store_api.hpp"

namespace cranklock::wire {
namespace {

using control::PartStatus;

const char* const kJob =
    R"({"Id":"j-000412","Gear":"train","Crew":"vision","Shape":"ensemble","Rank":"high","Teeth":16,
     "Cpus":8.0,"Accelerators":1.0,"MemGb":64.0,"Cast":"img-07","SizeGb":6.2,"Frames":["g8"],
     "Yard":null,"OneZone":true,"Apart":false,"Loaners":true,"ExpectS":240.0,"NotchS":30.0,
     "StowS":4.0,"DueS":900.0,"Later":1})";

/// Error of parsing the job after the replacement; empty if it is valid.
std::string error_after_replacing(std::string text, const std::string& from,
                                  const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  const JsonDocument document(text);
  if (!document.is_object()) return "not an object";
  const auto parsed = parse_job(document.root());
  return parsed ? "" : to_string(parsed.error());
}

TEST(Wire, DependenciesAreDeduplicatedAndValidated) {
  std::string text = kJob;
  text.replace(text.find("\"Later\":1"), 9, R"("WaitsOn":["j-2","j-1","j-2"])");
  const JsonDocument document(text);
  const auto job = parse_job(document.root()).value();
  EXPECT_EQ(job.dependencies, (std::vector<std::string>{"j-2", "j-1"}));
  for (const char* malformed : {R"("j-1")", R"([1])", R"(["x"])", R"({})", "7"}) {
    EXPECT_NE(error_after_replacing(kJob, "\"Later\":1", std::string("\"WaitsOn\":") + malformed)
                  .find("WaitsOn"),
              std::string::npos)
        << malformed;
  }
  EXPECT_EQ(error_after_replacing(kJob, "\"Later\":1", "\"WaitsOn\":null"), "");
  EXPECT_EQ(error_after_replacing(kJob, "\"Later\":1", "\"WaitsOn\":[]"), "");
  std::string too_many = "\"WaitsOn\":[\"j-0\"";
  for (std::size_t i = 1; i <= kMaxDependencies; ++i)
    too_many += ",\"j-" + std::to_string(i) + "\"";
  EXPECT_NE(error_after_replacing(kJob, "\"Later\":1", too_many + "]").find("WaitsOn"),
            std::string::npos);
}

TEST(Wire, JobRecordIsWrittenAndRead) {
  const JsonDocument document(kJob);
  sched::Job job;
  job.spec = parse_job(document.root()).value();
  EXPECT_EQ(job.spec.types, std::vector<std::string>{"g8"});
  EXPECT_EQ(job.spec.zone, "");
  job.created_ms = 123456789012;
  job.last_attempt = 3;
  job.done.add(4);
  job.done.add(5);
  job.placements.emplace_back();
  job.placements[0].task = 1;
  job.placements[0].attempt = 3;
  job.placements[0].machine = "n-000001";
  const auto texts = control::write_record(job, 8192);
  ASSERT_EQ(texts.size(), 1u);
  const auto read = control::read_record(texts[0]);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->record.parts, 0);
  EXPECT_EQ(read->spec.team, "vision");
  EXPECT_EQ(read->created_ms, job.created_ms);
  EXPECT_EQ(read->done.ranges(), job.done.ranges());
  ASSERT_EQ(read->placements.size(), 1u);
  EXPECT_TRUE(read->placements[0].durable());
  EXPECT_EQ(read->placements[0].machine, "n-000001");
}

TEST(Wire, LargeRecordIsSplitAndJoined) {
  auto job = testing::make_job("j-000001", JobKind::job_array, 2000, 1);
  for (std::uint32_t i = 0; i < 900; ++i) {
    job.placements.emplace_back();
    job.placements.back().task = 2 * i;
    job.placements.back().attempt = i + 1;
    job.placements.back().machine = "n-000123";
    job.done.add(2 * i + 1);
  }
  const auto texts = control::write_record(job, 8192);
  ASSERT_GT(texts.size(), 2u);
  for (const auto& t : texts) EXPECT_LE(t.size(), 8192u);
  auto read = control::read_record(texts[0]);
  ASSERT_TRUE(read);
  ASSERT_EQ(static_cast<std::size_t>(read->record.parts), texts.size() - 1);
  for (std::size_t i = 1; i < texts.size(); ++i) {
    ASSERT_EQ(control::add_part(texts[i], read->record.revision, *read), PartStatus::added);
  }
  EXPECT_EQ(read->placements.size(), 900u);
  EXPECT_EQ(read->done.size(), 900u);
}

// A cancellation changes only the revision of a record's main value; its parts remain valid. Parts
// of an earlier or a later write of the record must be rejected.
TEST(Wire, PartsOfAnotherWriteAreRejected) {
  auto job = testing::make_job("j-000001", JobKind::job_array, 2000, 1);
  for (std::uint32_t i = 0; i < 900; ++i) job.done.add(2 * i);
  job.record.revision = 41;
  auto texts = control::write_record(job, 8192);
  ASSERT_GT(texts.size(), 1u);
  job.record.revision = 43;
  const auto later = control::write_record(job, 8192);
  auto read = control::read_record(texts[0]);
  ASSERT_TRUE(read);
  const std::uint64_t same_revision = read->record.revision;
  const std::uint64_t other_revision = same_revision + 1;
  EXPECT_EQ(control::add_part(texts[1], other_revision, *read), PartStatus::added);
  EXPECT_EQ(control::add_part(later[1], same_revision, *read), PartStatus::different_write);
  // Parts without a generation, written by earlier versions, are matched by revision.
  const std::string without_generation = R"({"d":[],"p":[]})";
  EXPECT_EQ(control::add_part(without_generation, same_revision, *read), PartStatus::added);
  EXPECT_EQ(control::add_part(without_generation, other_revision, *read),
            PartStatus::different_write);
  EXPECT_EQ(control::read_cancelled_at_ms(texts[0]), 0);
  texts[0].replace(texts[0].rfind("\"w\":0"), 5, "\"w\":1700000000123");
  EXPECT_EQ(control::read_cancelled_at_ms(texts[0]), 1700000000123);
}

TEST(Wire, MalformedJobIsRejectedWithItsField) {
  EXPECT_EQ(error_after_replacing(kJob, "\"Later\":1", "\"Later\":2"), "");
  EXPECT_EQ(error_after_replacing(kJob, "\"Yard\":null,", ""), "");
  EXPECT_EQ(error_after_replacing(kJob, "{", "["), "not an object");
  EXPECT_NE(error_after_replacing(kJob, "j-000412", "x-1").find("Id"), std::string::npos);
  EXPECT_NE(error_after_replacing(kJob, "\"Teeth\":16", "\"Teeth\":0").find("Teeth"),
            std::string::npos);
  EXPECT_NE(error_after_replacing(kJob, "\"Teeth\":16", "\"Teeth\":100001").find("Teeth"),
            std::string::npos);
  EXPECT_NE(error_after_replacing(kJob, "ensemble", "pair").find("Shape"), std::string::npos);
  EXPECT_NE(error_after_replacing(kJob, "\"high\"", "\"top\"").find("Rank"), std::string::npos);
  EXPECT_NE(error_after_replacing(kJob, "64.0", "-1.0").find("MemGb"), std::string::npos);
  EXPECT_NE(error_after_replacing(kJob, "\"OneZone\":true", "\"OneZone\":1").find("OneZone"),
            std::string::npos);
  EXPECT_NE(error_after_replacing(kJob, "[\"g8\"]", "[8]").find("Frames"), std::string::npos);
}

TEST(Wire, FirstOfSeveralMalformedFieldsIsNamed) {
  std::string text = kJob;
  for (const auto* field : {"\"Crew\":\"vision\"", "\"Rank\":\"high\"", "\"OneZone\":true"}) {
    text.replace(text.find(field), std::string(field).size(), "\"Other\":1");
  }
  const JsonDocument document(text);
  const auto job = parse_job(document.root());
  ASSERT_FALSE(job.has_value());
  EXPECT_EQ(job.error().field, "Crew");
  EXPECT_EQ(job.error().expectation, "a team");
}

TEST(Wire, AbsentNullOrWronglyTypedFieldIsNone) {
  const JsonDocument document(
      R"({"text":"a","number":1.5,"negative":-1,"count":7,"flag":true,"null":null,
          "texts":["a","b"],"mixed":["a",1]})");
  const Json& object = document.root();
  EXPECT_EQ(find(object, "absent"), nullptr);
  EXPECT_EQ(find(object, "null"), nullptr);
  EXPECT_EQ(read_text(object, "text"), "a");
  EXPECT_FALSE(read_text(object, "number"));
  EXPECT_EQ(read_amount(object, "number"), 1.5);
  EXPECT_FALSE(read_amount(object, "text"));
  EXPECT_EQ(read_count(object, "count"), 7U);
  EXPECT_FALSE(read_count(object, "negative"));
  EXPECT_FALSE(read_count(object, "number"));
  EXPECT_EQ(read_flag(object, "flag"), true);
  EXPECT_FALSE(read_flag(object, "count"));
  EXPECT_EQ(read_texts(object, "texts"), (std::vector<std::string>{"a", "b"}));
  EXPECT_FALSE(read_texts(object, "mixed"));
  EXPECT_FALSE(read_texts(object, "text"));
}

TEST(Wire, MalformedHeartbeatsAndResponsesAreNone) {
  EXPECT_FALSE(parse_heartbeat("[]"));
  EXPECT_FALSE(parse_heartbeat(R"({"Rig":"n-1"})"));
  EXPECT_FALSE(parse_heartbeat(
      R"({"Rig":"n-1","Address":"a","Frame":"g","Yard":"a","Loaners":true,"Shift":1,"Tick":1,
          "KeyTurn":0,"Teeth":[{"Tooth":"j-1","Crank":1,"Stance":"running"}]})"));
  EXPECT_FALSE(parse_compare_and_swap_response("{}"));
  EXPECT_FALSE(parse_watch_response(R"({"LedgerTurn":1,"News":[{"Write":"a","Mark":1}]})"));
  EXPECT_FALSE(parse_machine_page(R"({"Rigs":[{"Id":"n-1"}]})"));
  EXPECT_FALSE(parse_scale_out_response(R"({"Rigs":[1]})"));
}

TEST(Wire, TaskSetsMergeAdjacentRanges) {
  sched::TaskSet set;
  for (const std::uint32_t t : {5u, 3u, 4u, 9u, 4u}) set.add(t);
  EXPECT_EQ(set.size(), 4u);
  EXPECT_EQ(set.ranges().size(), 2u);
  EXPECT_TRUE(set.contains(3));
  EXPECT_FALSE(set.contains(6));
}

}  // namespace
}  // namespace cranklock::wire
