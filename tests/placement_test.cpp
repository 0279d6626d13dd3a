#include <gtest/gtest.h>

#include <algorithm>

#include "fixtures.hpp"
#include "sched/availability.hpp"

namespace cranklock::sched {
namespace {

using testing::Fleet;
using testing::heartbeat;
using testing::make_job;
using wire::JobKind;

TEST(Placement, ATeamNeverUsesMoreThanItsLimit) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}, {"n-3", "a"}});
  Job& job = s.add(make_job("j-000001", JobKind::job_array, 24, 1));
  EXPECT_EQ(s.pass().placed, 16);
  // What is not proven free still counts.
  ClusterState::request_stop(job.placements[0], 0, 1);
  EXPECT_EQ(s.pass().placed, 0);
  // Nor is room beyond the limit asked of the cloud.
  EXPECT_TRUE(s.pass().shortfall.wanted.empty());
}

TEST(Placement, OneZoneCountsOldAttemptsToo) {
  Fleet s({{"n-1", "a"}, {"n-2", "b"}});
  auto job = make_job("j-000001", JobKind::service, 2, 8);
  job.spec.one_zone = true;
  s.add(std::move(job));
  EXPECT_EQ(s.pass().placed, 1);
  EXPECT_EQ(s.pass().placed, 0);
}

TEST(Placement, ApartPutsAtMostHalfRoundedUpInAZone) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}});
  auto spec = make_job("j-000001", JobKind::service, 5, 1);
  spec.spec.spread = true;
  s.add(std::move(spec));
  const auto result = s.pass();
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
  Fleet s({{"n-1", "b"}, {"n-2", "a"}});  // the only controller stands in a
  Job& service = s.add(make_job("j-000001", JobKind::service, 2, 4));
  Job& batch = s.add(make_job("j-000002", JobKind::job_array, 2, 4));
  EXPECT_EQ(s.pass().placed, 4);
  for (const auto& p : service.placements) EXPECT_EQ(p.machine, "n-2");
  for (const auto& p : batch.placements) EXPECT_EQ(p.machine, "n-1");
}

// An index is only as good as its upkeep.
TEST(Placement, WhatMachinesHoldIsWhatTheJobsPlacesSay) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}, {"n-3", "b"}});
  s.add(make_job("j-000001", JobKind::job_array, 12, 1));
  auto stored = make_job("j-000002", JobKind::job_array, 2, 1);
  for (std::uint32_t i = 0; i < 2; ++i) {
    Placement p;
    p.task = i, p.attempt = i + 1, p.machine = "n-9", p.durable = true;
    stored.placements.push_back(p);
  }
  s.add(stored);
  const auto recount = [&] {
    for (const auto& [id, machine] : s.cluster.machines()) {
      const Machine& m = machine;  // a lambda can't capture a structured binding by all compilers
      std::size_t held = 0;
      for (auto& [name, job] : s.cluster.jobs()) {
        held += static_cast<std::size_t>(
            std::count_if(job.placements.begin(), job.placements.end(),
                          [&](const Placement& p) { return !p.ended && p.machine == m.id; }));
      }
      EXPECT_EQ(m.tasks.size(), held) << id;
      EXPECT_DOUBLE_EQ(m.allocated.gpus, static_cast<double>(held)) << id;
    }
  };
  s.pass();
  recount();
  s.cluster.upsert_machine("n-9", {"g8", "a", false}, 1);  // a record named it before
  recount();
  EXPECT_EQ(s.cluster.machine("n-9")->tasks.size(), 2u);
  stored.placements.pop_back();
  s.cluster.upsert_job(stored, 2);
  recount();
  s.cluster.remove_machine("n-1", 3);
  s.pass(4);
  recount();
  s.cluster.remove_job("j-000001");
  recount();
}

// Guards against a fleet searched once for each of thousands of equal tasks, and against a pass
// that holds up everything else: counted in machines looked at.
TEST(Placement, ABurstInALargeFleetCostsFewSearches) {
  Fleet s;
  s.settings.teams = {{"red", 0, 0, 100'000, 100'000}, {"blue", 0, 0, 0, 100'000}};
  constexpr std::size_t kMachines = 1300;
  for (std::size_t i = 0; i < kMachines; ++i) {
    s.cluster.reconcile_heartbeat(heartbeat("n-" + std::to_string(i + 10), 1, 1), true, 0);
  }
  const auto add = [&](int from, int jobs, std::uint32_t tasks, wire::Priority priority,
                       const char* team) {
    for (int i = 0; i < jobs; ++i) {
      auto job = make_job("j-" + std::to_string(from + i), JobKind::job_array, tasks, 1, team);
      job.spec.priority = priority;
      s.add(std::move(job));
    }
  };
  add(1000, 600, 18, wire::Priority::standard, "blue");
  std::size_t looked = 0;
  int passes = 0;
  for (PassResult r; passes == 0 || r.incomplete; ++passes) {
    r = s.pass();
    looked += r.candidates_examined;
  }
  EXPECT_GT(passes, 10);  // 10,400 tasks find a placement
  EXPECT_LT(looked, 3000 * kMachines);
  for (auto& [id, job] : s.cluster.jobs()) s.written(job);
  add(2000, 400, 18, wire::Priority::best_effort, "blue");
  EXPECT_LT(s.pass().candidates_examined, 10 * kMachines);
  add(3000, 100, 8, wire::Priority::production, "red");
  const auto r = s.pass();
  EXPECT_GT(r.preempted, 50);
  EXPECT_LT(r.candidates_examined, 120 * kMachines);
}

TEST(Placement, AGangIsPlacedWholeOrNotAtAll) {
  Fleet s({{"n-1", "a"}});
  s.add(make_job("j-000001", JobKind::gang, 2, 8));
  const auto result = s.pass();
  EXPECT_EQ(result.placed, 0);
  ASSERT_EQ(result.shortfall.wanted.size(), 1u);
  EXPECT_EQ(result.shortfall.wanted.begin()->second, 1);
}

TEST(Placement, TheMachineThatHoldsTheImageIsPreferred) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}});
  s.cluster.machine("n-2")->images.emplace_back("img", 10);
  Job& job = s.add(make_job("j-000001", JobKind::service, 1, 1));
  s.pass();
  EXPECT_EQ(job.placements.at(0).machine, "n-2");
}

TEST(Placement, GuaranteeThenRankThenAge) {
  Fleet s({{"n-1", "a"}});
  auto big = make_job("j-000001", JobKind::service, 2, 8);  // beyond the guarantee of 8
  big.spec.priority = wire::Priority::production;
  big.created_ms = 1;
  auto within = make_job("j-000002", JobKind::service, 1, 8, "blue");
  within.spec.priority = wire::Priority::best_effort;
  s.add(std::move(big));
  s.add(std::move(within));
  s.pass();
  EXPECT_EQ(s.cluster.job("j-000002")->placements.size(), 1u);
}

TEST(Placement, LowerRankMakesRoomAndEqualRankDoesNot) {
  Fleet s({{"n-1", "a"}});
  s.settings.teams = {{"red", 0, 0, 0, 16}, {"blue", 0, 0, 0, 16}};
  auto low = make_job("j-000001", JobKind::job_array, 8, 1);
  Job& running = s.add(std::move(low));
  s.pass();
  s.written(running);
  s.add(make_job("j-000002", JobKind::service, 1, 1, "blue"));
  EXPECT_EQ(s.pass().preempted, 0);
  auto high = make_job("j-000003", JobKind::service, 1, 2, "blue");
  high.spec.priority = wire::Priority::high;
  s.add(std::move(high));
  EXPECT_EQ(s.pass().preempted, 2);
  // The room is on its way; nothing more is stopped for the same job.
  EXPECT_EQ(s.pass().preempted, 0);
}

TEST(Placement, GuaranteedWorkIsNotStoppedForRankAlone) {
  Fleet s({{"n-1", "a"}});
  Job& job = s.add(make_job("j-000001", JobKind::job_array, 8, 1));
  s.pass();
  s.written(job);
  auto high = make_job("j-000002", JobKind::service, 2, 8, "blue");  // beyond blue's guarantee
  high.spec.priority = wire::Priority::high;
  s.add(std::move(high));
  EXPECT_EQ(s.pass().preempted, 0);
}

TEST(Placement, ALargeTaskDoesNotStarveBehindSmallOnes) {
  Fleet s({{"n-1", "a"}});
  Job& small = s.add(make_job("j-000001", JobKind::job_array, 1, 1));
  s.pass();
  s.written(small);
  auto big = make_job("j-000002", JobKind::service, 1, 8, "blue");
  s.add(std::move(big));
  s.pass(1);
  auto later = make_job("j-000003", JobKind::job_array, 4, 1);
  later.created_ms = 5000;
  s.add(std::move(later));
  // Once it has waited as long as a machine takes to boot, the room that frees is kept for it.
  EXPECT_EQ(s.pass(60).placed, 0);
}

TEST(Placement, MachinesUnderNoticeOrFaultyTakeNothingNew) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}, {"n-3", "a"}});
  s.cluster.machine("n-1")->reclaim_at = 30;
  s.cluster.machine("n-2")->quarantined = true;
  s.cluster.machine("n-3")->unknown_tasks = 1;
  s.add(make_job("j-000001", JobKind::service, 1, 1));
  EXPECT_EQ(s.pass().placed, 0);
}

// Guards against work of a spot machine taken without notice waiting for a lease that may be as
// long as the work itself; and against giving back a whole zone that is only cut off.
TEST(Placement, ASpotMachineThatAloneGoesQuietIsTaken) {
  Fleet s({});
  for (const char* id : {"n-1", "n-2", "n-3"}) {
    auto r = heartbeat(id, 1, 1);
    r.spot = true;
    s.cluster.reconcile_heartbeat(r, true, 0);
  }
  const auto taken = [&](double now) {
    return is_reclaimed(s.cluster, *s.cluster.machine("n-1"), count_workers(s.cluster, now), now);
  };
  EXPECT_FALSE(taken(5));  // the others are quiet too
  for (const char* id : {"n-2", "n-3"}) {
    auto r = heartbeat(id, 1, 2);
    r.spot = true;
    s.cluster.reconcile_heartbeat(r, true, 4);
  }
  EXPECT_TRUE(taken(5));
  EXPECT_FALSE(taken(2.9));  // a heartbeat or two may be lost
  s.cluster.machine("n-1")->kind.spot = false;
  EXPECT_FALSE(taken(5));  // an ordinary one may only hang
}

TEST(Placement, ASpotMachineQuietAfterItsNoticeIsTaken) {
  Fleet s({});
  auto r = heartbeat("n-1", 1, 1);
  r.spot = true;
  r.preemption_notice_s = 10;
  s.cluster.reconcile_heartbeat(r, true, 0);
  r.sequence = 2;
  r.preemption_notice_s = 1;
  s.cluster.reconcile_heartbeat(r, true, 9);
  const auto taken = [&](double now) {
    return is_reclaimed(s.cluster, *s.cluster.machine("n-1"), count_workers(s.cluster, now), now);
  };
  EXPECT_FALSE(taken(10.1));
  EXPECT_TRUE(taken(10.6));
}

// Guards against a gang that waits while lower work holds its machines: room is made for all of it
// at once, in one zone, and kept for it until the last has left.
TEST(Placement, RoomIsMadeForAWholeGangInOneZone) {
  Fleet s({{"n-1", "a"}, {"n-2", "b"}, {"n-3", "b"}});
  auto low = make_job("j-000001", JobKind::job_array, 6, 4, "blue");
  low.spec.priority = wire::Priority::best_effort;
  s.settings.teams[1].gpus_max = 24;
  Job& batch = s.add(std::move(low));
  ASSERT_EQ(s.pass().placed, 6);
  s.written(batch);
  auto spec = make_job("j-000002", JobKind::gang, 2, 8);
  spec.spec.priority = wire::Priority::high;
  spec.spec.one_zone = true;
  Job& gang = s.add(std::move(spec));
  EXPECT_EQ(s.pass().preempted, 4);
  for (const auto& p : batch.placements) EXPECT_EQ(p.stop, p.machine != "n-1");
  EXPECT_EQ(s.pass().preempted, 0);  // what leaves will do
  // The first machine is free: what waits behind the gang does not get it.
  for (auto& p : batch.placements) {
    if (p.machine == "n-2") s.cluster.end_placement(batch, p, 2);
  }
  EXPECT_EQ(s.pass(2).placed, 0);
  for (auto& p : batch.placements) {
    if (p.machine == "n-3") s.cluster.end_placement(batch, p, 3);
  }
  EXPECT_EQ(s.pass(3).placed, 2);
  EXPECT_EQ(gang.live(), 2u);
}

TEST(Placement, NothingIsStoppedForAGangThatWouldNotBeWhole) {
  Fleet s({{"n-1", "a"}, {"n-2", "b"}});
  auto low = make_job("j-000001", JobKind::job_array, 4, 4, "blue");
  low.spec.priority = wire::Priority::best_effort;
  Job& batch = s.add(std::move(low));
  ASSERT_EQ(s.pass().placed, 4);
  s.written(batch);
  auto spec = make_job("j-000002", JobKind::gang, 2, 8);
  spec.spec.priority = wire::Priority::high;
  spec.spec.one_zone = true;
  s.add(std::move(spec));
  EXPECT_EQ(s.pass().preempted, 0);
}

}  // namespace
}  // namespace cranklock::sched
