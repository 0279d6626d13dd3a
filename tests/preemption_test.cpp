// Handling of tasks that a placement pass could not place: preemption and the shortfall estimate.
#include "sched/preemption.hpp"

#include <gtest/gtest.h>

#include <utility>

#include "fixtures.hpp"
#include "sched/shortfall_estimator.hpp"

namespace cranklock::sched {
namespace {

using testing::Fleet;
using testing::make_job;
using wire::JobKind;
using wire::Priority;

constexpr double kNow = 1;

/// A full machine with two low-priority tasks, the first of which has been running for longer.
struct FullMachine {
  Fleet fleet;
  Job& victim = add_victim();
  Job urgent = make_job("j-000002", JobKind::job_array, 1, 4, "blue");
  PlacedPriorities placed;

  FullMachine() {
    fleet.run_pass();
    fleet.mark_written(victim);
    victim.placements[0].running_since = 1;
    victim.placements[1].running_since = 50;
    placed.add(victim);
    urgent.urgency.priority = Priority::production;
  }
  Job& add_victim() {
    Job job = make_job("j-000001", JobKind::job_array, 2, 4);
    job.spec.priority = Priority::best_effort;
    Job& added = fleet.add(std::move(job));
    fleet.settings.teams[0] = {"red", 0, 0, 0, 16};  // guarantees nothing
    return added;
  }
  int preempt(std::size_t max_examined = 100) {
    CandidateSet candidates(fleet.cluster);
    Preemptor preemptor(candidates, placed, max_examined, 100);
    preemptor.preempt_for(urgent);
    return preemptor.preempted();
  }
};

TEST(Preemption, TheTaskWithLeastLostWorkIsPreemptedAndNoMoreThanNeeded) {
  FullMachine full;
  EXPECT_EQ(full.preempt(), 1);
  EXPECT_FALSE(full.victim.placements[0].stop_requested);
  EXPECT_TRUE(full.victim.placements[1].stop_requested);
  EXPECT_EQ(full.preempt(), 0);  // the resources being released suffice
}

// Guards against victims that are stopped again and again for a job that is not placed there.
TEST(Preemption, NothingIsPreemptedOnAMachineThatTheJobAvoidsUntilARetryIsDue) {
  FullMachine full;
  full.urgent.retry.failed_machines = {"n-1"};
  full.urgent.retry.same_machine.due_at = 101;
  EXPECT_EQ(full.preempt(), 0);
  full.urgent.retry.same_machine.due_at = 100;
  EXPECT_EQ(full.preempt(), 1);
}

TEST(Preemption, ATaskThatCheckpointsGetsAGracePeriod) {
  FullMachine full;
  full.victim.spec.checkpoint_interval_s = 60;
  full.victim.spec.checkpoint_save_s = 7;
  ASSERT_EQ(full.preempt(), 1);
  const auto& first = full.victim.placements[0];
  const auto& stopped = first.stop_requested ? first : full.victim.placements[1];
  EXPECT_DOUBLE_EQ(stopped.grace_s, 7);
}

TEST(Preemption, APlacementThatIsNotDurableIsNotPreempted) {
  FullMachine full;
  for (auto& placement : full.victim.placements) placement.write = PlacementWrite::pending;
  EXPECT_EQ(full.preempt(), 0);
}

TEST(Preemption, NoSearchBeginsBeyondTheBudget) {
  FullMachine full;
  EXPECT_EQ(full.preempt(0), 0);
}

TEST(Preemption, AGangOfSeveralTasksIsNotPreempted) {
  FullMachine full;
  full.victim.spec.kind = JobKind::gang;
  EXPECT_EQ(full.preempt(), 0);
}

/// The shortfall of a job if none of its tasks can be placed.
Shortfall shortfall_of(Fleet& fleet, const Job& job) {
  CandidateSet candidates(fleet.cluster);
  ShortfallEstimator estimator(candidates, fleet.refused_until, kNow);
  estimator.add_pending(job);
  return estimator.take();
}

int machines_in(const Shortfall& shortfall) {
  int machines = 0;
  for (const auto& [kind, count] : shortfall.wanted) machines += count;
  return machines;
}

TEST(ShortfallEstimator, TasksArePackedOntoAsFewMachinesAsPossible) {
  Fleet fleet(std::initializer_list<Fleet::MachineLocation>{});
  const Job& job = fleet.add(make_job("j-000001", JobKind::job_array, 4, 3));
  const Shortfall shortfall = shortfall_of(fleet, job);
  EXPECT_EQ(machines_in(shortfall), 2);
  EXPECT_DOUBLE_EQ(shortfall.requested.at({"g8", false}).gpus, 12);
}

TEST(ShortfallEstimator, NothingIsWantedBeyondTheTeamsLimit) {
  Fleet fleet(std::initializer_list<Fleet::MachineLocation>{});
  const Job& job = fleet.add(make_job("j-000001", JobKind::job_array, 4, 8));
  EXPECT_EQ(machines_in(shortfall_of(fleet, job)), 2);  // 16 GPUs
}

TEST(ShortfallEstimator, StartingMachinesAreUsedFirst) {
  Fleet fleet(std::initializer_list<Fleet::MachineLocation>{});
  fleet.cluster.upsert_machine("n-1", {"g8", "a", false}, 0);
  const Job& job = fleet.add(make_job("j-000001", JobKind::job_array, 2, 8));
  EXPECT_EQ(machines_in(shortfall_of(fleet, job)), 1);
}

TEST(ShortfallEstimator, TheCheapestKindThatWasNotRefusedIsWanted) {
  Fleet fleet(std::initializer_list<Fleet::MachineLocation>{});
  Job spot = make_job("j-000001", JobKind::job_array, 1, 8);
  spot.spec.spot = true;
  const Job& job = fleet.add(std::move(spot));
  const auto kind = [&] { return shortfall_of(fleet, job).wanted.begin()->first; };
  EXPECT_EQ(kind(), (MachineKind{"g8", "a", true}));
  fleet.refused_until[{"g8", "a", true}] = kNow + 1;
  EXPECT_EQ(kind(), (MachineKind{"g8", "b", true}));
  fleet.refused_until[{"g8", "b", true}] = kNow + 1;
  EXPECT_EQ(kind(), (MachineKind{"g8", "a", false}));
  fleet.refused_until[{"g8", "a", true}] = kNow;  // the backoff has ended
  EXPECT_EQ(kind(), (MachineKind{"g8", "a", true}));
}

TEST(ShortfallEstimator, AJobWhoseTasksFailAddsNoDemand) {
  Fleet fleet(std::initializer_list<Fleet::MachineLocation>{});
  Job& job = fleet.add(make_job("j-000001", JobKind::job_array, 1, 8));
  job.retry.failed_rounds = 1;
  EXPECT_EQ(machines_in(shortfall_of(fleet, job)), 0);
}

}  // namespace
}  // namespace cranklock::sched
