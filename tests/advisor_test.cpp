// Which moves the advisor finds for a given cluster state, and how they are logged.
#include "defrag/advisor.hpp"

#include <gtest/gtest.h>

#include "defrag/fleet_view.hpp"
#include "fixtures.hpp"

namespace cranklock::defrag {
namespace {

using testing::kFencingToken;
using testing::make_job;

/// Two machines of eight GPUs, each half occupied by a running task with checkpoints, and a waiting
/// job of the same team and priority that needs a whole machine.
struct Halves {
  testing::Fleet fleet{{"n-1", "a"}, {"n-2", "a"}};
  sched::Job& array = put("j-000001", wire::JobKind::job_array, 4);
  sched::Job& second = put("j-000002", wire::JobKind::job_array, 4);
  sched::Job& large = put("j-000003", wire::JobKind::service, 8);
  Advisor advisor{fleet.cluster, 30};

  sched::Job& put(const std::string& id, wire::JobKind kind, double gpus) {
    auto job = make_job(id, kind, 1, gpus);
    job.spec.checkpoint_interval_s = kind == wire::JobKind::job_array ? 10 : 0;
    job.spec.checkpoint_save_s = 3;
    return fleet.add(std::move(job));
  }
  Halves() {
    fleet.settings.teams = {{"red", 0, 0, 64, 64}};
    run(array, "n-1");
    run(second, "n-2");
  }
  void run(sched::Job& job, const std::string& machine) {
    auto& placement = fleet.cluster.add_placement(job, 0, 1, machine, 0);
    placement.write = sched::PlacementWrite::durable;
    placement.reported = true;
    placement.state = wire::TaskState::running;
    placement.running_since = 0;
  }
};

TEST(Advisor, NamesTheMoveThatFreesCapacity) {
  Halves halves;
  const auto advice = halves.advisor.find_advice(60);
  ASSERT_TRUE(advice);
  EXPECT_EQ(advice->job, "j-000003");
  ASSERT_EQ(advice->moves.size(), 1U);
  EXPECT_NE(advice->moves[0].from, advice->moves[0].to);
  EXPECT_EQ(to_log_line(*advice),
            "moves advised job=j-000003 moves=1 cost_s=7.00 list=\"j-000001/0 from n-1 to n-2\"");
  // Advice moves nothing, and the next search is due only after the interval.
  EXPECT_FALSE(halves.array.placements[0].stop_requested ||
               halves.second.placements[0].stop_requested);
  EXPECT_FALSE(halves.advisor.find_advice(89));
  EXPECT_TRUE(halves.advisor.find_advice(90));
}

TEST(Advisor, NoAdviceForJobsThatLackMoreThanCapacity) {
  Halves young;
  EXPECT_FALSE(young.advisor.find_advice(44));  // a machine boots in 45 s
  Halves limited;
  limited.fleet.settings.teams = {{"red", 0, 0, 64, 12}};
  EXPECT_FALSE(limited.advisor.find_advice(60));
  Halves cancelled;
  cancelled.fleet.cluster.cancel(cancelled.large, 1, 1);
  EXPECT_FALSE(cancelled.advisor.find_advice(60));
}

TEST(Advisor, TasksThatMustNotPauseOrCostMoreThanABootDoNotMove) {
  Halves expensive;
  expensive.array.spec.checkpoint_interval_s = expensive.second.spec.checkpoint_interval_s = 0;
  EXPECT_FALSE(expensive.advisor.find_advice(60));  // a minute of work each
  Halves services;
  services.array.spec.kind = services.second.spec.kind = wire::JobKind::service;
  EXPECT_FALSE(services.advisor.find_advice(60));
  Halves leaving;
  for (auto* job : {&leaving.array, &leaving.second}) {
    job->placements[0].request_stop(3, 50);
  }
  EXPECT_FALSE(leaving.advisor.find_advice(60));
  Halves unconfirmed;
  for (auto* job : {&unconfirmed.array, &unconfirmed.second})
    job->placements[0].write = sched::PlacementWrite::unresolved;
  EXPECT_FALSE(unconfirmed.advisor.find_advice(60));
}

TEST(FleetView, SubtractsUsedResourcesAndOmitsUnschedulableMachines) {
  Halves halves;
  const auto hosts = view_fleet(halves.fleet.cluster, {}, 60);
  ASSERT_EQ(hosts.size(), 2U);
  EXPECT_DOUBLE_EQ(hosts[0].free.gpus, 4);
  ASSERT_EQ(hosts[0].hosted_tasks.size(), 1U);
  EXPECT_DOUBLE_EQ(*hosts[0].hosted_tasks[0].move_cost_s,
                   3 + 2 * halves.fleet.settings.heartbeat_interval_s);
  EXPECT_FALSE(hosts[0].hosted_tasks[0].zone_bound);
  halves.array.spec.spread = halves.second.spec.one_zone = true;
  for (const auto& host : view_fleet(halves.fleet.cluster, {}, 60)) {
    EXPECT_TRUE(host.hosted_tasks.at(0).zone_bound);
  }
  halves.fleet.cluster.machine("n-1")->faults.quarantine = sched::Quarantine::suspected;
  EXPECT_EQ(view_fleet(halves.fleet.cluster, {}, 60).size(), 1U);
}

}  // namespace
}  // namespace cranklock::defrag
