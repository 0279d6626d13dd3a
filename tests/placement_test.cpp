// Complete placement passes: order, zones, quota, gangs, preemption, and the cost of a burst.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "fixtures.hpp"
#include "sched/availability.hpp"

namespace cranklock::sched {
namespace {

using testing::Fleet;
using testing::heartbeat;
using testing::make_job;
using wire::JobKind;

TEST(Placement, ATeamNeverUsesMoreThanItsLimit) {
  Fleet fleet({{"n-1", "a"}, {"n-2", "a"}, {"n-3", "a"}});
  Job& job = fleet.add(make_job("j-000001", JobKind::job_array, 24, 1));
  EXPECT_EQ(fleet.run_pass().placed, 16);
  // Resources that are not proven free still count.
  job.placements[0].request_stop(0, 1);
  EXPECT_EQ(fleet.run_pass().placed, 0);
  // No machines are requested for demand beyond the limit either.
  EXPECT_TRUE(fleet.run_pass().shortfall.wanted.empty());
}

TEST(Placement, OneZoneCountsOldAttemptsToo) {
  Fleet fleet({{"n-1", "a"}, {"n-2", "b"}});
  auto job = make_job("j-000001", JobKind::service, 2, 8);
  job.spec.one_zone = true;
  fleet.add(std::move(job));
  EXPECT_EQ(fleet.run_pass().placed, 1);
  EXPECT_EQ(fleet.run_pass().placed, 0);
}

TEST(Placement, SpreadPutsAtMostHalfRoundedUpInAZone) {
  Fleet fleet({{"n-1", "a"}, {"n-2", "a"}});
  auto spec = make_job("j-000001", JobKind::service, 5, 1);
  spec.spec.spread = true;
  fleet.add(std::move(spec));
  const auto result = fleet.run_pass();
  EXPECT_EQ(result.placed, 3);
  ASSERT_EQ(result.shortfall.wanted.size(), 1u);
  EXPECT_EQ(result.shortfall.wanted.begin()->first.zone, "b");
}

TEST(Placement, SpotZoneAndTypeMustBeAllowedByTheJob) {
  wire::JobSpec spec;
  EXPECT_FALSE(allows(spec, {"g8", "a", true}));
  spec.spot = true;
  EXPECT_TRUE(allows(spec, {"g8", "a", true}));
  spec.zone = "b";
  EXPECT_FALSE(allows(spec, {"g8", "a", true}));
  spec.types = {"g4"};
  EXPECT_FALSE(allows(spec, {"g8", "b", true}));
}

// Guards against placing replicas in zones where no controller keeps them running during a network
// partition while other zones have free resources.
TEST(Placement, ReplicasPreferZonesWithAController) {
  Fleet fleet({{"n-1", "b"}, {"n-2", "a"}});  // the only controller is in a
  Job& service = fleet.add(make_job("j-000001", JobKind::service, 2, 4));
  Job& batch = fleet.add(make_job("j-000002", JobKind::job_array, 2, 4));
  EXPECT_EQ(fleet.run_pass().placed, 4);
  for (const auto& placement : service.placements) EXPECT_EQ(placement.machine, "n-2");
  for (const auto& placement : batch.placements) EXPECT_EQ(placement.machine, "n-1");
}

// Guards against an index of tasks by machine that drifts from the placements of the jobs.
TEST(Placement, TasksOfMachinesMatchThePlacementsOfJobs) {
  Fleet fleet({{"n-1", "a"}, {"n-2", "a"}, {"n-3", "b"}});
  fleet.add(make_job("j-000001", JobKind::job_array, 12, 1));
  auto stored = make_job("j-000002", JobKind::job_array, 2, 1);
  for (std::uint32_t i = 0; i < 2; ++i) {
    Placement placement;
    placement.task = i;
    placement.attempt = i + 1;
    placement.machine = "n-9";
    placement.write = PlacementWrite::durable;
    stored.placements.push_back(placement);
  }
  fleet.add(stored);
  const auto recount = [&] {
    for (const auto& [id, machine] : fleet.cluster.machines()) {
      const std::string& name = id;  // not all compilers let a lambda capture a structured binding
      std::size_t held = 0;
      for (auto& [job_id, job] : fleet.cluster.jobs()) {
        held += static_cast<std::size_t>(std::count_if(
            job.placements.begin(), job.placements.end(), [&](const Placement& placement) {
              return !placement.ended && placement.machine == name;
            }));
      }
      EXPECT_EQ(machine.tasks.size(), held) << id;
      EXPECT_DOUBLE_EQ(machine.allocated.gpus, static_cast<double>(held)) << id;
    }
  };
  fleet.run_pass();
  recount();
  fleet.cluster.upsert_machine("n-9", {"g8", "a", false}, 1);  // a job record has already named it
  recount();
  EXPECT_EQ(fleet.cluster.machine("n-9")->tasks.size(), 2u);
  stored.placements.pop_back();
  fleet.cluster.upsert_job(stored, 2);
  recount();
  fleet.cluster.remove_machine("n-1", 3);
  fleet.run_pass(4);
  recount();
  fleet.cluster.remove_job("j-000001");
  recount();
}

// Guards against one search of the fleet for each of thousands of equal tasks, and against a pass
// that delays all other work. The cost is measured in machines examined.
TEST(Placement, ABurstInALargeFleetCostsFewSearches) {
  Fleet fleet;
  fleet.settings.teams = {{"red", 0, 0, 100'000, 100'000}, {"blue", 0, 0, 0, 100'000}};
  constexpr std::size_t kMachines = 1300;
  for (std::size_t i = 0; i < kMachines; ++i) {
    fleet.cluster.reconcile_heartbeat(heartbeat("n-" + std::to_string(i + 10), 1, 1), true, 0);
  }
  const auto add = [&](int from, int jobs, std::uint32_t tasks, wire::Priority priority,
                       const char* team) {
    for (int i = 0; i < jobs; ++i) {
      auto job = make_job("j-" + std::to_string(from + i), JobKind::job_array, tasks, 1, team);
      job.spec.priority = priority;
      fleet.add(std::move(job));
    }
  };
  add(1000, 600, 18, wire::Priority::standard, "blue");
  std::size_t examined = 0;
  int passes = 0;
  for (PassResult result; passes == 0 || result.incomplete; ++passes) {
    result = fleet.run_pass();
    examined += result.candidates_examined;
  }
  EXPECT_GT(passes, 10);  // 10,400 tasks are placed
  EXPECT_LT(examined, 3000 * kMachines);
  for (auto& [id, job] : fleet.cluster.jobs()) fleet.mark_written(job);
  add(2000, 400, 18, wire::Priority::best_effort, "blue");
  EXPECT_LT(fleet.run_pass().candidates_examined, 10 * kMachines);
  add(3000, 100, 8, wire::Priority::production, "red");
  const auto result = fleet.run_pass();
  EXPECT_GT(result.preempted, 50);
  EXPECT_LT(result.candidates_examined, 120 * kMachines);
}

TEST(Placement, AGangIsPlacedWholeOrNotAtAll) {
  Fleet fleet({{"n-1", "a"}});
  fleet.add(make_job("j-000001", JobKind::gang, 2, 8));
  const auto result = fleet.run_pass();
  EXPECT_EQ(result.placed, 0);
  ASSERT_EQ(result.shortfall.wanted.size(), 1u);
  EXPECT_EQ(result.shortfall.wanted.begin()->second, 1);
}

TEST(Placement, TheMachineThatHoldsTheImageIsPreferred) {
  Fleet fleet({{"n-1", "a"}, {"n-2", "a"}});
  fleet.cluster.machine("n-2")->images.push_back({"img", 10});
  Job& job = fleet.add(make_job("j-000001", JobKind::service, 1, 1));
  fleet.run_pass();
  EXPECT_EQ(job.placements.at(0).machine, "n-2");
}

TEST(Placement, GuaranteeThenPriorityThenAge) {
  Fleet fleet({{"n-1", "a"}});
  auto big = make_job("j-000001", JobKind::service, 2, 8);  // beyond the guarantee of 8
  big.spec.priority = wire::Priority::production;
  big.created_ms = 1;
  auto within = make_job("j-000002", JobKind::service, 1, 8, "blue");
  within.spec.priority = wire::Priority::best_effort;
  fleet.add(std::move(big));
  fleet.add(std::move(within));
  fleet.run_pass();
  EXPECT_EQ(fleet.cluster.job("j-000002")->placements.size(), 1u);
}

TEST(Placement, LowerPriorityIsPreemptedAndEqualPriorityIsNot) {
  Fleet fleet({{"n-1", "a"}});
  fleet.settings.teams = {{"red", 0, 0, 0, 16}, {"blue", 0, 0, 0, 16}};
  auto low = make_job("j-000001", JobKind::job_array, 8, 1);
  Job& running = fleet.add(std::move(low));
  fleet.run_pass();
  fleet.mark_written(running);
  fleet.add(make_job("j-000002", JobKind::service, 1, 1, "blue"));
  EXPECT_EQ(fleet.run_pass().preempted, 0);
  auto high = make_job("j-000003", JobKind::service, 1, 2, "blue");
  high.spec.priority = wire::Priority::high;
  fleet.add(std::move(high));
  EXPECT_EQ(fleet.run_pass().preempted, 2);
  // The resources are already being released; nothing more is stopped for the same job.
  EXPECT_EQ(fleet.run_pass().preempted, 0);
}

TEST(Placement, AGuaranteedJobIsNotPreemptedForPriorityAlone) {
  Fleet fleet({{"n-1", "a"}});
  Job& job = fleet.add(make_job("j-000001", JobKind::job_array, 8, 1));
  fleet.run_pass();
  fleet.mark_written(job);
  auto high = make_job("j-000002", JobKind::service, 2, 8, "blue");  // beyond blue's guarantee
  high.spec.priority = wire::Priority::high;
  fleet.add(std::move(high));
  EXPECT_EQ(fleet.run_pass().preempted, 0);
}

TEST(Placement, ALargeTaskDoesNotStarveBehindSmallOnes) {
  Fleet fleet({{"n-1", "a"}});
  Job& small = fleet.add(make_job("j-000001", JobKind::job_array, 1, 1));
  fleet.run_pass();
  fleet.mark_written(small);
  auto big = make_job("j-000002", JobKind::service, 1, 8, "blue");
  fleet.add(std::move(big));
  fleet.run_pass(1);
  auto later = make_job("j-000003", JobKind::job_array, 4, 1);
  later.created_ms = 5000;
  fleet.add(std::move(later));
  // Once it has waited as long as a machine takes to boot, released resources are kept for it.
  EXPECT_EQ(fleet.run_pass(60).placed, 0);
}

TEST(Placement, MachinesUnderNoticeOrFaultyGetNoNewTasks) {
  Fleet fleet({{"n-1", "a"}, {"n-2", "a"}, {"n-3", "a"}});
  fleet.cluster.machine("n-1")->cloud.reclaim_at = 30;
  fleet.cluster.machine("n-2")->faults.quarantine = Quarantine::suspected;
  fleet.cluster.machine("n-3")->agent.unknown_tasks = 1;
  fleet.add(make_job("j-000001", JobKind::service, 1, 1));
  EXPECT_EQ(fleet.run_pass().placed, 0);
}

/// Spot machines of zone a.
struct SpotFleet {
  Fleet fleet{std::initializer_list<Fleet::MachineLocation>{}};

  void receive_heartbeat(const std::string& machine, std::uint64_t sequence, double now,
                         std::optional<double> preemption_notice_s = std::nullopt) {
    auto message = heartbeat(machine, 1, sequence);
    message.spot = true;
    message.preemption_notice_s = preemption_notice_s;
    fleet.cluster.reconcile_heartbeat(message, true, now);
  }
  bool is_first_reclaimed(double now) {
    return is_reclaimed(fleet.cluster, *fleet.cluster.machine("n-1"),
                        count_agents_by_zone(fleet.cluster, now), now);
  }
};

// Guards against tasks of a spot machine that was reclaimed without notice having to wait for its
// lease to expire, which may take as long as the tasks themselves, and against deleting all
// machines of a zone that is only partitioned.
TEST(Placement, ASilentSpotMachineInAResponsiveZoneIsReclaimed) {
  SpotFleet spot;
  for (const char* id : {"n-1", "n-2", "n-3"}) spot.receive_heartbeat(id, 1, 0);
  EXPECT_FALSE(spot.is_first_reclaimed(5));  // the others send no heartbeats either
  for (const char* id : {"n-2", "n-3"}) spot.receive_heartbeat(id, 2, 4);
  EXPECT_TRUE(spot.is_first_reclaimed(5));
  EXPECT_FALSE(spot.is_first_reclaimed(2.9));  // one or two heartbeats may be lost
  spot.fleet.cluster.machine("n-1")->kind.spot = false;
  EXPECT_FALSE(spot.is_first_reclaimed(5));  // an ordinary machine may only hang
}

TEST(Placement, ASpotMachineSilentAfterItsNoticeIsReclaimed) {
  SpotFleet spot;
  spot.receive_heartbeat("n-1", 1, 0, 10);
  spot.receive_heartbeat("n-1", 2, 9, 1);
  EXPECT_FALSE(spot.is_first_reclaimed(10.1));
  EXPECT_TRUE(spot.is_first_reclaimed(10.6));
}

/// Machines that are full of durable low-priority tasks of half a machine each, and a gang that
/// needs two whole machines in one zone and may preempt them.
struct GangBehindBatch {
  Fleet fleet;
  Job& batch;
  Job* gang = nullptr;

  GangBehindBatch(std::initializer_list<Fleet::MachineLocation> machines)
      : fleet(machines), batch(add_batch(static_cast<std::uint32_t>(2 * machines.size()))) {
    EXPECT_EQ(fleet.run_pass().placed, static_cast<int>(batch.spec.tasks));
    fleet.mark_written(batch);
    auto waiting = make_job("j-000002", JobKind::gang, 2, 8);
    waiting.spec.priority = wire::Priority::high;
    waiting.spec.one_zone = true;
    gang = &fleet.add(std::move(waiting));
  }
  Job& add_batch(std::uint32_t tasks) {
    fleet.settings.teams[1].gpus_max = 24;
    auto low = make_job("j-000001", JobKind::job_array, tasks, 4, "blue");
    low.spec.priority = wire::Priority::best_effort;
    return fleet.add(std::move(low));
  }
  void end_batch_on(const std::string& machine, double now) {
    for (auto& placement : batch.placements) {
      if (placement.machine == machine)
        fleet.cluster.end_placement(batch, placement, EndProof::exit_reported, now);
    }
  }
};

// Guards against a gang that waits while lower-priority tasks occupy its machines. Resources are
// freed for the whole gang at once, in one zone, and kept for it until the last victim has ended.
TEST(Placement, PreemptionFreesResourcesForAWholeGangInOneZone) {
  GangBehindBatch scenario({{"n-1", "a"}, {"n-2", "b"}, {"n-3", "b"}});
  Fleet& fleet = scenario.fleet;
  EXPECT_EQ(fleet.run_pass().preempted, 4);
  for (const auto& placement : scenario.batch.placements) {
    EXPECT_EQ(placement.stop_requested, placement.machine != "n-1");
  }
  EXPECT_EQ(fleet.run_pass().preempted, 0);  // the resources being released suffice
  // The first machine is free, but jobs after the gang in the queue are not placed on it.
  scenario.end_batch_on("n-2", 2);
  EXPECT_EQ(fleet.run_pass(2).placed, 0);
  scenario.end_batch_on("n-3", 3);
  EXPECT_EQ(fleet.run_pass(3).placed, 2);
  EXPECT_EQ(scenario.gang->live_count(), 2u);
}

TEST(Placement, NothingIsPreemptedForAGangThatWouldNotFitWhole) {
  GangBehindBatch scenario({{"n-1", "a"}, {"n-2", "b"}});
  EXPECT_EQ(scenario.fleet.run_pass().preempted, 0);
}

}  // namespace
}  // namespace cranklock::sched
