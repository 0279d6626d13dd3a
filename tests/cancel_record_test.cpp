// Records that are cancelled in little space, and descriptions that are accepted only if all
// records of their job's life fit.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "control/job_record.hpp"
#include "fixtures.hpp"
#include "older_version.hpp"
#include "sched/availability.hpp"

namespace cranklock::testing {
namespace {

using control::cancel_record;
using control::fits_for_life;
using control::read_record;
using control::write_record;
using wire::JobKind;

constexpr std::int64_t kCancelledAtMs = 1'796'000'000'000;
constexpr std::uint64_t kRevision = 4711;
constexpr std::size_t kMaxBytes = 2048;
constexpr int kDependencies = 120;

/// A waiting job whose main value has `bytes` bytes because of its dependencies and its image.
sched::Job waiting_job(std::size_t bytes) {
  sched::Job job = make_job("j-000001", JobKind::job_array, 3, 1);
  for (int i = 0; i < kDependencies; ++i)
    job.spec.dependencies.push_back("j-" + std::to_string(100'000 + i));
  job.spec.image.append(bytes - write_record(job, kMaxBytes)[0].size(), 'x');
  return job;
}

TEST(CancelRecord, ARecordWithRoomChangesOnlyByTheCancellationTime) {
  const auto record = write_record(waiting_job(kMaxBytes - 12), kMaxBytes);
  const auto cancelled = cancel_record(record[0], kRevision, kCancelledAtMs, kMaxBytes);
  ASSERT_TRUE(cancelled && *cancelled);
  EXPECT_EQ((*cancelled)->main_value, *control::with_cancellation(record[0], kCancelledAtMs));
  EXPECT_TRUE((*cancelled)->new_parts.empty());
}

TEST(CancelRecord, AFullRecordLosesWhatNoCancelledJobNeeds) {
  auto job = waiting_job(1700);
  job.spec.types = {"g8", std::string(300, 't')};
  job.spec.zone = "a";
  job.spec.deadline_s = 900;
  const auto record = write_record(job, kMaxBytes);
  const auto cancelled = cancel_record(record[0], kRevision, kCancelledAtMs, record[0].size());
  ASSERT_TRUE(cancelled && *cancelled);
  EXPECT_TRUE(older_version_reads((*cancelled)->main_value));
  const auto read = read_record((*cancelled)->main_value);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->cancelled_at_ms, kCancelledAtMs);
  EXPECT_EQ(control::read_cancelled_at_ms((*cancelled)->main_value), kCancelledAtMs);
  EXPECT_EQ(read->spec.id, job.spec.id);
  EXPECT_EQ(read->spec.team, job.spec.team);
  EXPECT_EQ(read->spec.kind, job.spec.kind);
  EXPECT_EQ(read->spec.tasks, job.spec.tasks);
  EXPECT_EQ(read->spec.resources, job.spec.resources);
  EXPECT_EQ(read->spec.image, job.spec.image);
  EXPECT_TRUE(read->spec.dependencies.empty());
  EXPECT_TRUE(read->spec.types.empty());
}

TEST(CancelRecord, LongLabelsAreShortenedOnlyIfTheyLeaveNoRoom) {
  auto job = waiting_job(1900);
  job.spec.job_class = std::string(200, 'c');
  job.spec.image = std::string(500, 'i');
  const auto record = write_record(job, 8192);
  for (const auto& [max_bytes, is_shortened] : {std::pair(1024, true), std::pair(2048, false)}) {
    const auto cancelled =
        cancel_record(record[0], kRevision, kCancelledAtMs, static_cast<std::size_t>(max_bytes));
    ASSERT_TRUE(cancelled && *cancelled);
    EXPECT_LE((*cancelled)->main_value.size(), static_cast<std::size_t>(max_bytes));
    const auto read = read_record((*cancelled)->main_value);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->spec.image == job.spec.image, !is_shortened);
    EXPECT_EQ(read->spec.job_class == job.spec.job_class, !is_shortened);
  }
}

// Versions before generations match parts by revision, which a smaller main value would change.
TEST(CancelRecord, PartsWithoutAGenerationAreNotAddedTo) {
  std::string record = write_record(waiting_job(kMaxBytes), kMaxBytes)[0];
  const std::string no_parts = "\"parts\":0";
  record.replace(record.find(no_parts), no_parts.size(), "\"parts\":1");
  const auto cancelled = cancel_record(record, kRevision, kCancelledAtMs, kMaxBytes);
  ASSERT_TRUE(cancelled);
  EXPECT_FALSE(*cancelled);
}

TEST(FitsForLife, TheDependenciesOfAStartedJobAreOmittedIfTheyLeaveNoRoom) {
  auto job = waiting_job(kMaxBytes);
  ASSERT_TRUE(fits_for_life(job, kMaxBytes));
  EXPECT_FALSE(fits_for_life(waiting_job(kMaxBytes + 1), kMaxBytes));
  EXPECT_EQ(read_record(write_record(job, kMaxBytes)[0])->spec.dependencies.size(),
            static_cast<std::size_t>(kDependencies));
  job.last_attempt = 1;  // a task was placed, so that all dependencies are done
  const auto started = write_record(job, kMaxBytes);
  EXPECT_TRUE(read_record(started[0])->spec.dependencies.empty());
  EXPECT_TRUE(older_version_reads(started[0]));
  job.spec.image = "img";  // there is room again
  EXPECT_EQ(read_record(write_record(job, kMaxBytes)[0])->spec.dependencies.size(),
            static_cast<std::size_t>(kDependencies));
}

TEST(FitsForLife, TheNumbersOfAStartedJobNeedRoom) {
  sched::Job job = make_job("j-000001", JobKind::job_array, 3, 1);
  job.spec.image.append(kMaxBytes - write_record(job, kMaxBytes)[0].size(), 'x');
  EXPECT_FALSE(fits_for_life(job, kMaxBytes));
  job.spec.image.resize(job.spec.image.size() - 60);
  EXPECT_TRUE(fits_for_life(job, kMaxBytes));
}

std::string random_text(std::size_t max_bytes) {
  const auto length = *rc::gen::inRange<std::size_t>(1, max_bytes + 1);
  std::string text(length, 'a');
  if (*rc::gen::inRange(0, 4) == 0) text[length / 2] = '"';  // longer as JSON
  return text;
}

/// A job as users may describe it.
sched::Job random_job() {
  const auto kind = *rc::gen::element(JobKind::job_array, JobKind::gang, JobKind::service);
  sched::Job job = make_job("j-000001", kind, 100'000, 0.5);
  job.created_ms = kCancelledAtMs - 1000;
  job.spec.job_class = random_text(200);
  job.spec.image = random_text(500);
  job.spec.priority = *rc::gen::element(wire::Priority::production, wire::Priority::best_effort);
  if (*rc::gen::inRange(0, 2) == 0) job.spec.deadline_s = *rc::gen::inRange(0, 100'000);
  if (*rc::gen::inRange(0, 3) == 0) job.spec.types = {"g8", random_text(1200)};
  const int dependencies = *rc::gen::inRange(0, 200);
  for (int i = 0; i < dependencies; ++i)
    job.spec.dependencies.push_back("j-" + std::to_string(100'000 + i));
  return job;
}

/// Places so many tasks, with tasks between them that are done.
void place_tasks(sched::Job& job, std::size_t count) {
  for (std::uint32_t i = 0; i < count; ++i) {
    job.done.add(50'000 + 2 * i);
    sched::Placement placement;
    placement.task = 50'001 + 2 * i;
    placement.attempt = ++job.last_attempt;
    placement.machine = "n-000" + std::to_string(i % 1000);
    placement.write = sched::PlacementWrite::durable;
    job.placements.push_back(std::move(placement));
  }
}

/// Reads a record with all its parts.
sched::Job read_all(const std::string& main_value, const std::vector<std::string>& parts) {
  auto job = read_record(main_value);
  RC_ASSERT(static_cast<bool>(job));
  RC_ASSERT(static_cast<std::size_t>(job->record.parts) == parts.size());
  for (const auto& part : parts) {
    RC_ASSERT(control::add_part(part, kRevision, *job) == control::PartStatus::added);
  }
  return std::move(*job);
}

bool fit(const std::vector<std::string>& values, std::size_t max_bytes) {
  return std::all_of(values.begin(), values.end(),
                     [&](const std::string& value) { return value.size() <= max_bytes; });
}

/// Cancels a stored record within a limit, and checks that nothing but labels and constraints is
/// lost.
void check_cancellation(const std::vector<std::string>& record, std::size_t max_bytes) {
  const std::vector<std::string> old_parts(record.begin() + 1, record.end());
  const sched::Job before = read_all(record[0], old_parts);
  const auto cancelled = cancel_record(record[0], kRevision, kCancelledAtMs, max_bytes);
  RC_ASSERT(cancelled && *cancelled);
  RC_ASSERT((*cancelled)->main_value.size() <= max_bytes);
  RC_ASSERT(fit((*cancelled)->new_parts, max_bytes));
  std::vector<std::string> parts = old_parts;
  if (!(*cancelled)->new_parts.empty()) {
    RC_ASSERT(static_cast<std::size_t>((*cancelled)->first_new_part) == parts.size());
  }
  for (const auto& part : (*cancelled)->new_parts) parts.push_back(part);
  const sched::Job after = read_all((*cancelled)->main_value, parts);
  RC_ASSERT(after.cancelled_at_ms == kCancelledAtMs);
  RC_ASSERT(after.placements.size() == before.placements.size());
  RC_ASSERT(after.done.size() == before.done.size());
  RC_ASSERT(after.spec.resources == before.spec.resources);
  RC_ASSERT(after.spec.team == before.spec.team);
}

// Whatever is accepted under some limits can be placed, ended and cancelled under them.
RC_GTEST_PROP(FitsForLife, AcceptedJobsFitUntilTheyEnd, ()) {
  auto settings = small_settings();
  settings.value_kb = *rc::gen::element(1.0, 2.0, 8.0);
  settings.txn_ops = *rc::gen::element(4, 12, 24);
  const auto max_bytes = static_cast<std::size_t>(settings.value_kb * 1024);
  sched::Job job = random_job();
  RC_PRE(fits_for_life(job, max_bytes));
  const auto accepted = write_record(job, max_bytes);
  RC_ASSERT(accepted.size() == 1U);
  RC_ASSERT(fit(accepted, max_bytes));
  check_cancellation(accepted, max_bytes);
  const auto max_live = sched::max_live_tasks(settings);
  job.last_attempt = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
  job.record.revision = *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000);
  place_tasks(job, *rc::gen::inRange<std::size_t>(1, max_live + 1));
  const auto started = write_record(job, max_bytes);
  RC_ASSERT(fit(started, max_bytes));
  check_cancellation(started, max_bytes);
}

// What was stored under larger limits can be cancelled under smaller ones.
RC_GTEST_PROP(CancelRecord, RecordsStoredUnderLargerLimitsAreCancelledUnderSmallerOnes, ()) {
  sched::Job job = random_job();
  job.record.revision = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  place_tasks(job, *rc::gen::inRange<std::size_t>(0, 400));
  const auto max_bytes = *rc::gen::element<std::size_t>(1024, 2048);
  check_cancellation(write_record(job, 8192), max_bytes);
}

}  // namespace
}  // namespace cranklock::testing
