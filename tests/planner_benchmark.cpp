// Planning time by number of machines and waiting tasks. Not part of the tests:
//   cmake -S . -B target-bench -DCRANKLOCK_BENCHMARKS=ON && cmake --build target-bench -j8 --target
//   planner_benchmark
#include <benchmark/benchmark.h>

#include "fragmented_fleet.hpp"

namespace {

using cranklock::testing::FragmentedFleet;

void plan(benchmark::State& state) {
  const FragmentedFleet fleet({static_cast<int>(state.range(0)), 6, 3, 4}, 1);
  auto spec = *fleet.demand.spec;
  spec.resources = {96, 8, 768};  // a whole machine
  spec.one_zone = spec.spread = false;
  const cranklock::defrag::Demand demand{&spec, static_cast<std::size_t>(state.range(1))};
  cranklock::defrag::PlanLimits limits;
  limits.max_moves = 1000;
  limits.max_evaluated_hosts = static_cast<std::size_t>(state.range(2));
  std::size_t moves = 0;
  bool found = false;
  for (auto _ : state) {
    auto result = plan_moves(fleet.hosts, demand, limits);
    found = result.plan.has_value();
    moves = found ? result.plan->moves.size() : 0;
    benchmark::DoNotOptimize(result);
  }
  state.counters["found"] = found ? 1 : 0;
  state.counters["moves"] = static_cast<double>(moves);
}

}  // namespace

BENCHMARK(plan)
    ->ArgNames({"machines", "tasks", "max_evaluated_hosts"})
    ->ArgsProduct({{100, 800, 2600, 4200}, {1, 8, 32}, {10'000'000}})
    ->Args({4200, 32, 100'000})
    ->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
