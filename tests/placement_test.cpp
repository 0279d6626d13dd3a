// Whole placement passes: order, zones, quota, gangs, preemption, and what a burst may cost.
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
  // What is not proven free still counts.
  job.placements[0].request_stop(0, 1);
  EXPECT_EQ(fleet.run_pass().placed, 0);
  // Nor is room beyond the limit asked of the cloud.
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

TEST(Placement, KindZoneAndTypeAreTheJobsToAllow) {
  wire::JobSpec spec;
  EXPECT_FALSE(allows(spec, {"g8", "a", true}));
  spec.spot = true;
  EXPECT_TRUE(allows(spec, {"g8", "a", true}));
  spec.zone = "b";
  EXPECT_FALSE(allows(spec, {"g8", "a", true}));
  spec.types = {"g4"};
  EXPECT_FALSE(allows(spec, {"g8", "b", true}));
}

// Guards against replicas where nobody would keep them through a cut, when there is room elsewhere.
TEST(Placement, ReplicasPreferZonesWhereAControllerStands) {
  Fleet fleet({{"n-1", "b"}, {"n-2", "a"}});  // the only controller stands in a
  Job& service = fleet.add(make_job("j-000001", JobKind::service, 2, 4));
  Job& batch = fleet.add(make_job("j-000002", JobKind::job_array, 2, 4));
  EXPECT_EQ(fleet.run_pass().placed, 4);
  for (const auto& placement : service.placements) EXPECT_EQ(placement.machine, "n-2");
  for (const auto& placement : batch.placements) EXPECT_EQ(placement.machine, "n-1");
}

// An index is only as good as its upkeep.
TEST(Placement, WhatMachinesHoldIsWhatTheJobsPlacementsSay) {
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
  fleet.cluster.upsert_machine("n-9", {"g8", "a", false}, 1);  // a record named it before
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

// Guards against a fleet searched once for each of thousands of equal tasks, and against a pass
// that holds up everything else: counted in machines looked at.
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
  EXPECT_GT(passes, 10);  // 10,400 tasks find a placement
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

TEST(Placement, LowerPriorityMakesRoomAndEqualPriorityDoesNot) {
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
  // The room is on its way; nothing more is stopped for the same job.
  EXPECT_EQ(fleet.run_pass().preempted, 0);
}

TEST(Placement, GuaranteedWorkIsNotStoppedForPriorityAlone) {
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
  // Once it has waited as long as a machine takes to boot, the room that frees is kept for it.
  EXPECT_EQ(fleet.run_pass(60).placed, 0);
}

TEST(Placement, MachinesUnderNoticeOrFaultyTakeNothingNew) {
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

  void hear(const std::string& machine, std::uint64_t sequence, double now,
            std::optional<double> preemption_notice_s = std::nullopt) {
    auto message = heartbeat(machine, 1, sequence);
    message.spot = true;
    message.preemption_notice_s = preemption_notice_s;
    fleet.cluster.reconcile_heartbeat(message, true, now);
  }
  bool is_first_reclaimed(double now) {
    return is_reclaimed(fleet.cluster, *fleet.cluster.machine("n-1"),
                        count_workers(fleet.cluster, now), now);
  }
};

// Guards against work of a spot machine taken without notice waiting for a lease that may be as
// long as the work itself; and against giving back a whole zone that is only cut off.
TEST(Placement, ASpotMachineThatAloneGoesQuietIsReclaimed) {
  SpotFleet spot;
  for (const char* id : {"n-1", "n-2", "n-3"}) spot.hear(id, 1, 0);
  EXPECT_FALSE(spot.is_first_reclaimed(5));  // the others are quiet too
  for (const char* id : {"n-2", "n-3"}) spot.hear(id, 2, 4);
  EXPECT_TRUE(spot.is_first_reclaimed(5));
  EXPECT_FALSE(spot.is_first_reclaimed(2.9));  // a heartbeat or two may be lost
  spot.fleet.cluster.machine("n-1")->kind.spot = false;
  EXPECT_FALSE(spot.is_first_reclaimed(5));  // an ordinary one may only hang
}

TEST(Placement, ASpotMachineQuietAfterItsNoticeIsReclaimed) {
  SpotFleet spot;
  spot.hear("n-1", 1, 0, 10);
  spot.hear("n-1", 2, 9, 1);
  EXPECT_FALSE(spot.is_first_reclaimed(10.1));
  EXPECT_TRUE(spot.is_first_reclaimed(10.6));
}

/// Machines full of durable tasks of low priority, half a machine each, and a gang of two whole
/// machines in one zone that may preempt them.
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
      if (placement.machine == machine) fleet.cluster.end_placement(batch, placement, now);
    }
  }
};

// Guards against a gang that waits while lower work holds its machines: room is made for all of it
// at once, in one zone, and kept for it until the last has left.
TEST(Placement, RoomIsMadeForAWholeGangInOneZone) {
  GangBehindBatch scenario({{"n-1", "a"}, {"n-2", "b"}, {"n-3", "b"}});
  Fleet& fleet = scenario.fleet;
  EXPECT_EQ(fleet.run_pass().preempted, 4);
  for (const auto& placement : scenario.batch.placements) {
    EXPECT_EQ(placement.stop, placement.machine != "n-1");
  }
  EXPECT_EQ(fleet.run_pass().preempted, 0);  // what leaves will do
  // The first machine is free: what waits behind the gang does not get it.
  scenario.end_batch_on("n-2", 2);
  EXPECT_EQ(fleet.run_pass(2).placed, 0);
  scenario.end_batch_on("n-3", 3);
  EXPECT_EQ(fleet.run_pass(3).placed, 2);
  EXPECT_EQ(scenario.gang->live(), 2u);
}

TEST(Placement, NothingIsStoppedForAGangThatWouldNotBeWhole) {
  GangBehindBatch scenario({{"n-1", "a"}, {"n-2", "b"}});
  EXPECT_EQ(scenario.fleet.run_pass().preempted, 0);
}

}  // namespace
}  // namespace cranklock::sched
