// Inputs of a placement pass: zone rules, entitlement, the waiting queue and candidates.
#include "sched/candidates.hpp"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "fixtures.hpp"
#include "sched/entitlement.hpp"
#include "sched/waiting_queue.hpp"
#include "sched/zone_count.hpp"

namespace cranklock::sched {
namespace {

using testing::Fleet;
using testing::make_job;
using wire::JobKind;
using wire::Priority;

constexpr double kNow = 1;

Job prioritized(const std::string& id, Priority priority, bool guaranteed,
                const std::string& team = "red") {
  Job job = make_job(id, JobKind::job_array, 1, 1, team);
  job.spec.priority = job.urgency.priority = priority;
  job.guaranteed = guaranteed;
  return job;
}

TEST(ZoneRules, AJobWithoutRulesIsNeitherCountedNorRestricted) {
  Fleet fleet({{"n-1", "a"}});
  Job& job = fleet.add(make_job("j-000001", JobKind::service, 2, 1));
  fleet.cluster.add_placement(job, 0, 1, "n-1", kNow);
  const ZoneCount zones = count_zones(fleet.cluster, job);
  EXPECT_EQ(zones.total(), 0U);
  EXPECT_TRUE(zone_rules_allow(job.spec, zones, "b"));
}

TEST(ZoneRules, AnUnknownMachineMayBeInAnyZone) {
  Fleet fleet({{"n-1", "a"}});
  Job spread = make_job("j-000001", JobKind::service, 3, 1);
  spread.spec.spread = true;
  Job& job = fleet.add(std::move(spread));
  fleet.cluster.add_placement(job, 0, 1, "n-1", kNow);
  ZoneCount zones = count_zones(fleet.cluster, job);
  EXPECT_EQ(zones.tasks_in("a"), 1U);
  EXPECT_TRUE(zone_rules_allow(job.spec, zones, "a"));  // two of three
  fleet.cluster.add_placement(job, 1, 2, "n-9", kNow);
  zones = count_zones(fleet.cluster, job);
  EXPECT_EQ(zones.in_unknown_zone(), 1U);
  EXPECT_EQ(zones.total(), 2U);
  EXPECT_FALSE(zone_rules_allow(job.spec, zones, "a"));
  EXPECT_TRUE(zone_rules_allow(job.spec, zones, "b"));
}

TEST(ZoneRules, OneZoneAllowsOnlyTheZoneOfAllItsTasks) {
  wire::JobSpec spec;
  spec.one_zone = true;
  ZoneCount zones;
  EXPECT_TRUE(zone_rules_allow(spec, zones, "a"));
  zones.add("a");
  EXPECT_TRUE(zone_rules_allow(spec, zones, "a"));
  EXPECT_FALSE(zone_rules_allow(spec, zones, "b"));
  zones.add_in_unknown_zone();
  EXPECT_FALSE(zone_rules_allow(spec, zones, "a"));
}

TEST(Entitlement, AHigherPriorityPreemptsALowerOneUnlessItIsGuaranteed) {
  const Job high = prioritized("j-000001", Priority::high, false);
  const Job high_guaranteed = prioritized("j-000002", Priority::high, true);
  const Job low = prioritized("j-000003", Priority::best_effort, false);
  const Job low_guaranteed = prioritized("j-000004", Priority::best_effort, true);
  EXPECT_TRUE(may_preempt(high, low));
  EXPECT_FALSE(may_preempt(high, low_guaranteed));
  EXPECT_TRUE(may_preempt(high_guaranteed, low_guaranteed));
  EXPECT_FALSE(may_preempt(low, high));
}

TEST(Entitlement, AGuaranteedJobPreemptsAnotherTeamsJobBeyondItsGuarantee) {
  const Job guaranteed = prioritized("j-000001", Priority::best_effort, true);
  const Job others = prioritized("j-000002", Priority::production, false, "blue");
  const Job own = prioritized("j-000003", Priority::production, false);
  EXPECT_TRUE(may_preempt(guaranteed, others));
  EXPECT_FALSE(may_preempt(guaranteed, own));
}

TEST(Entitlement, PlacedPrioritiesMatchMayPreempt) {
  for (const auto victim_priority : {Priority::production, Priority::best_effort}) {
    for (const bool victim_guaranteed : {false, true}) {
      const Job victim = prioritized("j-000001", victim_priority, victim_guaranteed, "blue");
      PlacedPriorities placed;
      placed.add(victim);
      for (const auto priority : {Priority::production, Priority::best_effort}) {
        for (const bool guaranteed : {false, true}) {
          const Job preemptor = prioritized("j-000002", priority, guaranteed);
          EXPECT_EQ(placed.any_preemptible_by(preemptor), may_preempt(preemptor, victim));
        }
      }
    }
  }
  EXPECT_FALSE(
      PlacedPriorities().any_preemptible_by(prioritized("j-000002", Priority::production, true)));
}

TEST(WaitingQueue, AJobLateByItsDeadlineGoesBeforeOlderJobs) {
  Fleet fleet;
  const auto add = [&](const std::string& id, std::int64_t ready_ms) {
    Job& job = fleet.add(make_job(id, JobKind::job_array, 1, 1));
    job.ready_ms = ready_ms;
  };
  add("j-000001", 1000);
  add("j-000002", 2000);
  Job due = make_job("j-000003", JobKind::job_array, 1, 1);
  due.created_ms = -100'000;
  due.spec.deadline_s = 1;
  fleet.add(std::move(due)).ready_ms = 3000;
  const WaitingQueue queue = queue_waiting_jobs(fleet.cluster, kNow);
  ASSERT_EQ(queue.jobs.size(), 3U);
  EXPECT_EQ(queue.jobs[0]->spec.id, "j-000003");
  EXPECT_EQ(queue.jobs[1]->spec.id, "j-000001");
  EXPECT_EQ(queue.jobs[2]->spec.id, "j-000002");
}

TEST(WaitingQueue, AJobInBackoffKeepsItsPartOfTheGuarantee) {
  Fleet fleet;
  Job& first = fleet.add(make_job("j-000001", JobKind::job_array, 1, 8));  // the whole guarantee
  first.retry.backoff_until = kNow + 1;
  Job& second = fleet.add(make_job("j-000002", JobKind::job_array, 1, 1));
  const WaitingQueue queue = queue_waiting_jobs(fleet.cluster, kNow);
  ASSERT_EQ(queue.jobs.size(), 1U);
  EXPECT_EQ(queue.jobs[0], &second);
  EXPECT_TRUE(first.guaranteed);
  EXPECT_FALSE(second.guaranteed);
}

TEST(Candidates, BootingMachinesAreNotSchedulable) {
  Fleet fleet({{"n-1", "a"}});
  fleet.cluster.upsert_machine("n-2", {"g8", "b", false}, kNow);
  fleet.cluster.upsert_machine("n-3", {"unknown", "b", false}, kNow);
  CandidateSet candidates(fleet.cluster);
  ASSERT_EQ(candidates.schedulable().size(), 1U);
  EXPECT_EQ(candidates.schedulable()[0].machine->id, "n-1");
  ASSERT_EQ(candidates.starting().size(), 1U);
  EXPECT_EQ(candidates.starting()[0].kind.zone, "b");
  EXPECT_EQ(candidates.find("n-1"), &candidates.schedulable()[0]);
  EXPECT_EQ(candidates.find("n-2"), nullptr);
}

TEST(Candidates, ResourcesOfStoppingTasksAreNotFreeYet) {
  Fleet fleet;
  Job& job = fleet.add(make_job("j-000001", JobKind::job_array, 2, 3));
  ASSERT_EQ(fleet.run_pass().placed, 2);
  job.placements[0].request_stop(0, kNow);
  CandidateSet candidates(fleet.cluster);
  EXPECT_DOUBLE_EQ(candidates.schedulable()[0].free.gpus, 2);
  EXPECT_DOUBLE_EQ(candidates.schedulable()[0].releasing.gpus, 3);
}

TEST(Candidates, ReservedResourcesAreAvailableOnlyToTheHolderAndToEntitledJobs) {
  Fleet fleet;
  Job& holder = fleet.add(make_job("j-000001", JobKind::job_array, 1, 6));
  fleet.cluster.set_reservations(Reservations(
      std::vector<Reservation>{{"n-1", holder.spec.id, std::nullopt, holder.spec.resources, ""}}));
  CandidateSet candidates(fleet.cluster);
  const Candidate& candidate = candidates.schedulable()[0];
  const Job equal = make_job("j-000002", JobKind::job_array, 1, 6, "blue");
  EXPECT_DOUBLE_EQ(candidates.available_to(holder, candidate).gpus, 8);
  EXPECT_FALSE(candidates.blocked_by_reservation());
  EXPECT_DOUBLE_EQ(candidates.available_to(equal, candidate).gpus, 2);
  EXPECT_TRUE(candidates.blocked_by_reservation());
  candidates.begin_search();
  const Job urgent = prioritized("j-000003", Priority::production, false, "blue");
  EXPECT_DOUBLE_EQ(candidates.available_to(urgent, candidate).gpus, 8);
  EXPECT_FALSE(candidates.blocked_by_reservation());
}

TEST(Candidates, AGangIsTriedZoneByZoneOnlyIfItMustBeInOne) {
  Fleet fleet({{"n-1", "b"}, {"n-2", "a"}, {"n-3", "b"}});
  const CandidateSet candidates(fleet.cluster);
  wire::JobSpec spec;
  EXPECT_EQ(gang_zones(candidates, spec), std::vector<std::string>{""});
  spec.one_zone = true;
  EXPECT_EQ(gang_zones(candidates, spec), (std::vector<std::string>{"b", "a"}));
}

}  // namespace
}  // namespace cranklock::sched
