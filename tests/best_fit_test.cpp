// Machine selection: bin packing, gangs, failed searches and nominations.
#include "sched/best_fit.hpp"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "fixtures.hpp"
#include "sched/failed_searches.hpp"
#include "sched/gang_placement.hpp"
#include "sched/nomination.hpp"

namespace cranklock::sched {
namespace {

using testing::Fleet;
using testing::make_job;
using wire::JobKind;

constexpr double kNow = 1;

TEST(BestFit, TheDominantShareIsTheLargestOfAllResources) {
  EXPECT_DOUBLE_EQ(dominant_share({1, 0, 6}, {4, 0, 8}), 0.75);
  EXPECT_DOUBLE_EQ(dominant_share({1, 2, 0}, {4, 0, 8}), 0.25);  // not in the whole: ignored
}

TEST(BestFit, TheFullerMachineIsChosen) {
  Fleet fleet({{"n-1", "a"}, {"n-2", "a"}});
  Job& running = fleet.add(make_job("j-000001", JobKind::job_array, 1, 4));
  fleet.cluster.add_placement(running, 0, 1, "n-2", 0);
  Job& job = fleet.add(make_job("j-000002", JobKind::job_array, 1, 4));
  CandidateSet candidates(fleet.cluster);
  const Candidate* best = find_best_fit(candidates, job, {});
  ASSERT_NE(best, nullptr);
  EXPECT_EQ(best->machine->id, "n-2");
  EXPECT_EQ(candidates.examined(), 2U);
}

TEST(BestFit, AMachineNominatedForAnotherJobIsSkipped) {
  Fleet fleet({{"n-1", "a"}});
  Job& holder = fleet.add(make_job("j-000001", JobKind::job_array, 1, 4));
  Job& job = fleet.add(make_job("j-000002", JobKind::job_array, 1, 4));
  CandidateSet candidates(fleet.cluster);
  candidates.schedulable()[0].nominated_for = &holder;
  EXPECT_EQ(find_best_fit(candidates, job, {}), nullptr);
  EXPECT_NE(find_best_fit(candidates, holder, {}), nullptr);
}

TEST(BestFit, OneMachineThatFailedAJobIsAvoidedAndTwoAreNot) {
  Fleet fleet({{"n-1", "a"}});
  Job& job = fleet.add(make_job("j-000001", JobKind::job_array, 1, 4));
  CandidateSet candidates(fleet.cluster);
  job.retry.failed_machines = {"n-1"};
  EXPECT_EQ(find_best_fit(candidates, job, {}), nullptr);
  job.retry.failed_machines = {"n-1", "n-2"};
  EXPECT_NE(find_best_fit(candidates, job, {}), nullptr);
}

/// A fleet of one machine on which one job has failed, and the time from which it may be retried.
struct FailedOnce {
  Fleet fleet;
  Job& job = fleet.add(make_job("j-000001", JobKind::job_array, 1, 4));
  double due_at = kNow + fleet.settings.lease_s / 2;

  FailedOnce() {
    job.retry.failed_machines = {"n-1"};
    job.retry.same_machine.due_at = due_at;
    fleet.cluster.machine("n-1")->faults.last_failure_at = kNow;
  }
};

TEST(RetryFit, AMachineThatTheJobAvoidsIsFoundOnceARetryIsDue) {
  FailedOnce failed;
  CandidateSet candidates(failed.fleet.cluster);
  EXPECT_EQ(find_retry_fit(candidates, failed.job, {}, failed.due_at - 0.1), nullptr);
  EXPECT_NE(find_retry_fit(candidates, failed.job, {}, failed.due_at), nullptr);
  failed.job.spec.resources.gpus = 9;
  EXPECT_EQ(find_retry_fit(candidates, failed.job, {}, failed.due_at), nullptr);
}

TEST(RetryFit, OnlyAQuarantinedMachineWithTasksIsFound) {
  Fleet fleet;
  Job& running = fleet.add(make_job("j-000001", JobKind::service, 1, 4));
  Job& job = fleet.add(make_job("j-000002", JobKind::job_array, 1, 4));
  fleet.cluster.machine("n-1")->faults.quarantine = Quarantine::suspected;
  CandidateSet idle(fleet.cluster);  // it is deleted instead
  EXPECT_EQ(find_retry_fit(idle, job, {}, kNow), nullptr);
  fleet.cluster.add_placement(running, 0, 1, "n-1", 0);
  CandidateSet busy(fleet.cluster);
  EXPECT_EQ(find_best_fit(busy, job, {}), nullptr);
  EXPECT_NE(find_retry_fit(busy, job, {}, kNow), nullptr);
}

// Guards against tasks that fail one after the other while another machine boots, and against a
// job that waits for ever for one that never boots.
TEST(RetryFit, AMachineThatIsStartingIsAwaitedForABootTime) {
  FailedOnce failed;
  failed.fleet.cluster.upsert_machine("n-2", {"g8", "a", false}, kNow);
  CandidateSet candidates(failed.fleet.cluster);
  ASSERT_EQ(candidates.starting().size(), 1U);
  const double boot_s = testing::machine_type().ready_s;
  EXPECT_EQ(find_retry_fit(candidates, failed.job, {}, kNow + boot_s - 0.1), nullptr);
  EXPECT_NE(find_retry_fit(candidates, failed.job, {}, kNow + boot_s), nullptr);
}

TEST(RetryFit, AnAvoidedMachineIsNominatedOnlyOnceARetryIsDue) {
  FailedOnce failed;
  failed.due_at = kNow + 2 * testing::machine_type().ready_s;
  failed.job.retry.same_machine.due_at = failed.due_at;
  CandidateSet candidates(failed.fleet.cluster);
  nominate_machine(candidates, failed.job, failed.due_at - 0.1);
  EXPECT_EQ(candidates.schedulable()[0].nominated_for, nullptr);
  nominate_machine(candidates, failed.job, failed.due_at);
  EXPECT_EQ(candidates.schedulable()[0].nominated_for, &failed.job);
}

// A gang is retried as a whole on the machine that it avoids.
TEST(RetryFit, AGangIsRetriedOnTheMachineThatItAvoids) {
  FailedOnce failed;
  failed.job.spec.kind = JobKind::gang;
  failed.job.spec.tasks = 2;
  CandidateSet candidates(failed.fleet.cluster);
  EXPECT_TRUE(fit_gang(candidates, failed.job).empty());
  EXPECT_TRUE(fit_gang_for_retry(candidates, failed.job, failed.due_at - 0.1).empty());
  EXPECT_EQ(fit_gang_for_retry(candidates, failed.job, failed.due_at).size(), 2U);
}

TEST(FailedSearches, JobsWithEqualOrHigherRequirementsAreRuledOut) {
  Fleet fleet;
  const CandidateSet candidates(fleet.cluster);
  const Job failed = make_job("j-000001", JobKind::job_array, 1, 4);
  FailedSearches searches;
  EXPECT_FALSE(searches.rules_out(fleet.cluster, failed));
  searches.record(candidates, failed);
  EXPECT_TRUE(searches.rules_out(fleet.cluster, make_job("j-000002", JobKind::service, 1, 4)));
  EXPECT_FALSE(searches.rules_out(fleet.cluster, make_job("j-000003", JobKind::service, 1, 3)));
  Job spot = make_job("j-000004", JobKind::job_array, 1, 4);
  spot.spec.spot = true;  // more machines are suitable
  EXPECT_FALSE(searches.rules_out(fleet.cluster, spot));
}

TEST(FailedSearches, AFailureWithAJobSpecificCauseIsNotRecorded) {
  Fleet fleet;
  const CandidateSet candidates(fleet.cluster);
  Job spread = make_job("j-000001", JobKind::service, 1, 4);
  spread.spec.spread = true;
  Job one_zone = make_job("j-000002", JobKind::service, 1, 4);
  one_zone.spec.one_zone = true;
  Job failed_once = make_job("j-000003", JobKind::service, 1, 4);
  failed_once.retry.failed_machines = {"n-1"};
  FailedSearches searches;
  for (const Job* job : {&spread, &one_zone, &failed_once}) searches.record(candidates, *job);
  EXPECT_FALSE(searches.rules_out(fleet.cluster, make_job("j-000004", JobKind::service, 1, 4)));
}

TEST(FailedSearches, AFailureDueToAReservationIsNotRecorded) {
  Fleet fleet;
  Job& holder = fleet.add(make_job("j-000001", JobKind::job_array, 1, 6));
  fleet.cluster.set_reservations(Reservations(
      std::vector<Reservation>{{"n-1", holder.spec.id, std::nullopt, holder.spec.resources, ""}}));
  CandidateSet candidates(fleet.cluster);
  const Job job = make_job("j-000002", JobKind::job_array, 1, 4, "blue");
  ASSERT_EQ(find_best_fit(candidates, job, {}), nullptr);
  FailedSearches searches;
  searches.record(candidates, job);
  EXPECT_FALSE(searches.rules_out(fleet.cluster, job));
}

TEST(GangPlacement, ATrialLeavesTheCandidatesExactlyAsTheyWere) {
  Fleet fleet({{"n-1", "a"}, {"n-2", "b"}});
  Job gang = make_job("j-000001", JobKind::gang, 3, 0.1);
  gang.spec.resources.gpus = 2.7;
  CandidateSet candidates(fleet.cluster);
  const wire::Resources before = candidates.schedulable()[0].free;
  EXPECT_EQ(fit_gang(candidates, gang).size(), 3U);
  EXPECT_EQ(candidates.schedulable()[0].free, before);
  gang.spec.tasks = 9;
  EXPECT_TRUE(fit_gang(candidates, gang).empty());
  EXPECT_EQ(candidates.schedulable()[0].free, before);
  EXPECT_EQ(candidates.schedulable()[1].free, before);
}

TEST(GangPlacement, TheFirstZoneThatFitsTheWholeGangIsChosen) {
  Fleet fleet({{"n-1", "a"}, {"n-2", "b"}, {"n-3", "b"}});
  Job gang = make_job("j-000001", JobKind::gang, 2, 8);
  gang.spec.one_zone = true;
  CandidateSet candidates(fleet.cluster);
  const auto chosen = fit_gang(candidates, gang);
  ASSERT_EQ(chosen.size(), 2U);
  for (const Candidate* candidate : chosen) EXPECT_EQ(candidate->kind.zone, "b");
  EXPECT_NE(chosen[0], chosen[1]);
}

TEST(Nomination, AMachineThatReleasesEnoughIsNominatedAtOnce) {
  Fleet fleet;
  Job& running = fleet.add(make_job("j-000001", JobKind::job_array, 1, 8));
  ASSERT_EQ(fleet.run_pass().placed, 1);
  const Job& small = fleet.add(make_job("j-000002", JobKind::job_array, 1, 1));
  CandidateSet before(fleet.cluster);
  nominate_machine(before, small, kNow);
  EXPECT_EQ(before.schedulable()[0].nominated_for, nullptr);
  running.placements[0].request_stop(0, kNow);
  CandidateSet after(fleet.cluster);
  nominate_machine(after, small, kNow);
  EXPECT_EQ(after.schedulable()[0].nominated_for, &small);
}

TEST(Nomination, ALargeTaskGetsAMachineAfterWaitingForABootTime) {
  Fleet fleet;
  const Job& large = fleet.add(make_job("j-000001", JobKind::job_array, 1, 4));
  const Job& small = fleet.add(make_job("j-000002", JobKind::job_array, 1, 3));
  const double boot_s = testing::machine_type().ready_s;
  CandidateSet candidates(fleet.cluster);
  nominate_machine(candidates, small, boot_s);
  nominate_machine(candidates, large, boot_s - 1);
  EXPECT_EQ(candidates.schedulable()[0].nominated_for, nullptr);
  nominate_machine(candidates, large, boot_s);
  EXPECT_EQ(candidates.schedulable()[0].nominated_for, &large);
}

TEST(Nomination, AGangGetsMachinesOnlyIfThereAreEnough) {
  Fleet fleet({{"n-1", "a"}, {"n-2", "a"}, {"n-3", "a"}});
  Job& gang = fleet.add(make_job("j-000001", JobKind::gang, 4, 8));
  CandidateSet candidates(fleet.cluster);
  const auto nominated = [&] {
    std::size_t count = 0;
    for (const auto& candidate : candidates.schedulable()) {
      if (candidate.nominated_for == &gang) ++count;
    }
    return count;
  };
  nominate_gang_machines(candidates, gang, kNow);
  EXPECT_EQ(nominated(), 0U);
  gang.spec.tasks = 2;
  nominate_gang_machines(candidates, gang, kNow);
  EXPECT_EQ(nominated(), 2U);
}

}  // namespace
}  // namespace cranklock::sched
