// The planner compared with an exhaustive search, and the move budget.
#include "defrag/planner.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "defrag/move_budget.hpp"
#include "fragmented_fleet.hpp"

namespace cranklock::defrag {
namespace {

using testing::FragmentedFleet;

constexpr FragmentedFleet::Size kSmall{4, 3, 2};

RC_GTEST_PROP(Planner, PlansAreValidAndNoCheaperThanTheOptimum, (unsigned seed)) {
  const FragmentedFleet fleet(kSmall, seed);
  const auto result = plan_moves(fleet.hosts, fleet.demand, {});
  const auto best = fleet.best_cost();
  if (!result.plan) return;
  RC_ASSERT(fleet.find_violation(*result.plan) == "");
  RC_ASSERT(best.has_value());
  RC_ASSERT(result.plan->cost_s >= *best - 1e-6);
}

// Compares the greedy search with the optimum on fleets where moves are needed. The bounds are the
// measured values with a small margin; docs/defragmentation.md has the figures.
TEST(Planner, FindsMostPlansAtNearlyOptimalCost) {
  int needed = 0, found = 0, cheapest = 0;
  double cost = 0, best_cost = 0;
  for (unsigned seed = 1; seed <= 3000; ++seed) {
    const FragmentedFleet fleet(kSmall, seed);
    const auto best = fleet.best_cost();
    if (!best || *best <= 0) continue;
    ++needed;
    const auto result = plan_moves(fleet.hosts, fleet.demand, {});
    if (!result.plan) continue;
    ++found;
    cheapest += result.plan->cost_s < *best + 1e-6 ? 1 : 0;
    cost += result.plan->cost_s;
    best_cost += *best;
  }
  RecordProperty("needed", needed);
  RecordProperty("found", found);
  std::cout << "needed " << needed << ", found " << found << ", cheapest " << cheapest
            << ", cost over best " << cost / best_cost << "\n";
  ASSERT_GT(needed, 300);
  EXPECT_GE(found, 0.9 * needed);
  EXPECT_GE(cheapest, 0.7 * found);
  EXPECT_LE(cost, 1.2 * best_cost);
}

TEST(Planner, ADemandThatFitsNeedsNoMove) {
  FragmentedFleet fleet({2, 0, 1}, 1);
  for (auto& host : fleet.hosts) host.accepts_tasks = true;
  const auto result = plan_moves(fleet.hosts, fleet.demand, {});
  ASSERT_TRUE(result.plan);
  EXPECT_TRUE(result.plan->moves.empty());
}

/// Two machines, each half occupied by one task of four GPUs, and a job that needs a whole machine.
struct TwoHalves {
  wire::JobSpec small, large;
  std::vector<Host> hosts;
  TwoHalves() {
    small.id = "j-000001";
    small.resources = {48, 4, 384};
    large.id = "j-000002";
    large.resources = {96, 8, 768};
    for (std::uint32_t i = 0; i < 2; ++i) {
      Host host;
      host.id = "n-" + std::to_string(i);
      host.kind = {"g8", "a", false};
      host.free = small.resources;
      host.images = {""};
      host.hosted_tasks = {{{small.id, i}, &small, 10.0 + i, false}};
      hosts.push_back(host);
    }
  }
  PlanResult plan(const PlanLimits& limits = {}) const {
    return plan_moves(hosts, {&large, 1}, limits);
  }
};

TEST(Planner, MovesTheCheaperOfTwoHalves) {
  const TwoHalves fleet;
  const auto result = fleet.plan();
  ASSERT_TRUE(result.plan);
  ASSERT_EQ(result.plan->moves.size(), 1U);
  EXPECT_EQ(result.plan->moves[0].from, 0U);
  EXPECT_EQ(result.plan->places, std::vector<std::size_t>{0});
  EXPECT_DOUBLE_EQ(result.plan->cost_s, 10);
}

TEST(Planner, ReportsWhyThereIsNoPlan) {
  TwoHalves fleet;
  EXPECT_EQ(fleet.plan({64, 9.0}).no_plan_reason, NoPlanReason::too_expensive);
  EXPECT_EQ(fleet.plan({0}).no_plan_reason, NoPlanReason::too_expensive);
  EXPECT_EQ(fleet.plan({64, 1e9, 1}).no_plan_reason, NoPlanReason::search_limit_reached);
  for (auto& host : fleet.hosts) host.hosted_tasks[0].move_cost_s.reset();
  EXPECT_EQ(fleet.plan().no_plan_reason, NoPlanReason::no_capacity);
}

// A spot machine accepts only tasks that allow spot, and a machine that accepts no new tasks is no
// target.
TEST(Planner, MachineRulesApplyToMovedTasks) {
  TwoHalves fleet;
  fleet.hosts[1].kind.spot = true;
  EXPECT_FALSE(fleet.plan().plan);
  fleet.hosts[1].kind.spot = false;
  fleet.hosts[1].accepts_tasks = false;
  EXPECT_FALSE(fleet.plan().plan);
  fleet.hosts[1].accepts_tasks = true;
  fleet.hosts[1].kind.zone = "b";
  EXPECT_TRUE(fleet.plan().plan);
  for (auto& host : fleet.hosts) host.hosted_tasks[0].zone_bound = true;
  EXPECT_FALSE(fleet.plan().plan);
}

TEST(Planner, SearchTimeIsBoundedInALargeFleet) {
  const FragmentedFleet fleet({4200, 6, 3}, 1);
  wire::JobSpec spec = *fleet.demand.spec;
  spec.one_zone = spec.spread = false;
  spec.tasks = 64;
  PlanLimits limits;
  const auto whole = plan_moves(fleet.hosts, {&spec, spec.tasks}, limits);
  ASSERT_TRUE(whole.plan);
  EXPECT_EQ(whole.plan->places.size(), spec.tasks);
  limits.max_evaluated_hosts = 2 * fleet.hosts.size();
  EXPECT_EQ(plan_moves(fleet.hosts, {&spec, spec.tasks}, limits).no_plan_reason,
            NoPlanReason::search_limit_reached);
}

struct BudgetStep {
  int job, took_s, pause_s;
  bool begins;
};

std::ostream& operator<<(std::ostream& out, const BudgetStep& step) {
  return out << (step.begins ? "begin " : "end ") << step.job << " after " << step.pause_s;
}

rc::Gen<BudgetStep> any_budget_step() {
  return rc::gen::construct<BudgetStep>(rc::gen::inRange(0, 3), rc::gen::inRange(1, 60),
                                        rc::gen::inRange(0, 600), rc::gen::arbitrary<bool>());
}

// Tasks are not moved repeatedly: for any sequence of moves, no job exceeds its moves in any hour.
RC_GTEST_PROP(MoveBudget, NoJobMovesMoreOftenInAnyHourThanIsAllowed, ()) {
  const auto steps = *rc::gen::container<std::vector<BudgetStep>>(any_budget_step());
  const MoveBudgetSettings settings;
  constexpr std::size_t kTasks = 8;
  MoveBudget budget(settings);
  std::map<std::string, std::vector<double>> begin_times;
  std::map<std::string, std::size_t> active_moves;
  double now = 0;
  for (const auto& step : steps) {
    now += step.pause_s;
    const std::string job = "j-" + std::to_string(step.job);
    if (!step.begins) {
      if (active_moves[job] > 0) --active_moves[job];
      budget.record_end(job, step.took_s);
    } else if (budget.may_begin(job, kTasks, now)) {
      budget.record_begin(job, now);
      begin_times[job].push_back(now);
      ++active_moves[job];
    }
    RC_ASSERT(active_moves[job] <= kTasks * settings.max_concurrent_share);
    RC_ASSERT(budget.concurrency_limit() >= 1U);
    RC_ASSERT(budget.concurrency_limit() <= settings.max_concurrent_moves);
    const auto& times = begin_times[job];
    const auto max_moves = settings.max_moves_per_job_per_hour;
    if (times.size() > max_moves) {
      RC_ASSERT(times.back() - times[times.size() - 1 - max_moves] >= 3600);
    }
  }
}

TEST(MoveBudget, SlowMovesHalveTheConcurrencyLimitAndFastOnesIncrementIt) {
  MoveBudget budget({100, 1, 8, 30});
  double now = 0;
  const auto move = [&](double took_s) {
    ASSERT_TRUE(budget.may_begin("j-1", 10, now));
    budget.record_begin("j-1", now);
    budget.record_end("j-1", took_s);
    now += took_s;
  };
  for (int i = 0; i < 20; ++i) move(5);
  EXPECT_EQ(budget.concurrency_limit(), 8U);
  move(31);
  EXPECT_EQ(budget.concurrency_limit(), 4U);
  for (int i = 0; i < 5; ++i) move(31);
  EXPECT_EQ(budget.concurrency_limit(), 1U);
  EXPECT_EQ(budget.active_moves(), 0U);
}

}  // namespace
}  // namespace cranklock::defrag
