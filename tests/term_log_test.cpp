// Counters of a leader's term.
#include "control/term_log.hpp"

#include <gtest/gtest.h>

#include "term_fixture.hpp"

namespace cranklock::testing {
namespace {

using control::StartChannel;
using sched::EndProof;

struct TermLogTest : ::testing::Test, TermFixture {
  control::TermLog log{context};
  sched::Job& job =
      cluster.upsert_job(make_job("j-000001", wire::JobKind::job_array, 2, 1), kTermStart);

  TermLogTest() {
    cluster.set_end_observer([this](const sched::Job& ended, const sched::Placement& placement,
                                    EndProof proof) { log.record_end(ended, placement, proof); });
  }
};

TEST_F(TermLogTest, EndsAreCountedOnceByTheirProof) {
  cluster.upsert_machine("n-1", {"g8", "a", false}, kTermStart);
  cluster.add_placement(job, 0, 1, "n-1", kTermStart);
  cluster.add_placement(job, 1, 2, "n-1", kTermStart);
  cluster.end_placement(job, job.placements[0], EndProof::exit_reported, kTermStart);
  cluster.end_placement(job, job.placements[0], EndProof::not_reported, kTermStart);
  cluster.remove_machine("n-1", kTermStart);
  EXPECT_EQ(counters.ended_by(EndProof::exit_reported), 1U);
  EXPECT_EQ(counters.ended_by(EndProof::not_reported), 0U);
  EXPECT_EQ(counters.ended_by(EndProof::machine_deleted), 1U);
}

TEST_F(TermLogTest, StartsAreCountedByTheMessageThatCarriesThem) {
  record_start(context, {"j-000001", 0}, "n-1", StartChannel::command);
  record_start(context, {"j-000001", 1}, "n-1", StartChannel::heartbeat_response);
  record_start(context, {"j-000009", 0}, "n-1", StartChannel::heartbeat_response);
  EXPECT_EQ(counters.starts_in_commands, 1U);
  EXPECT_EQ(counters.starts_in_responses, 2U);
}

}  // namespace
}  // namespace cranklock::testing
