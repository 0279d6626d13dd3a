// Memory that a new leader takes to load waiting jobs and to place what fits, and the time of the
// longest placement pass, by the number of machines, the number of jobs, their tasks, their kind,
// the length of their descriptions and the memory limit. Not part of the tests:
//   cmake -S . -B target-bench -DCRANKLOCK_BENCHMARKS=ON && cmake --build target-bench -j8 --target
//   waiting_jobs_benchmark
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <new>

#include "control/job_record.hpp"
#include "control/job_watcher.hpp"
#include "control/record_keys.hpp"
#include "term_fixture.hpp"

namespace {

/// Bytes allocated by the process now, and the most since the last reset.
struct HeapUse {
  std::size_t now = 0, peak = 0;
};
HeapUse heap_use;

}  // namespace

void* operator new(std::size_t size) {
  void* block = std::malloc(size);
  if (block == nullptr) throw std::bad_alloc();
  heap_use.now += malloc_usable_size(block);
  heap_use.peak = std::max(heap_use.peak, heap_use.now);
  return block;
}

void operator delete(void* block) noexcept {
  if (block != nullptr) heap_use.now -= malloc_usable_size(block);
  std::free(block);
}

void operator delete(void* block, std::size_t) noexcept {
  operator delete(block);
}

namespace {

using namespace cranklock;

/// The key-value store's contents and the fleet; what a leader holds is created by each run.
struct Queue {
  testing::TermFixture fixture;
  control::RecordReloader reloader{fixture.context, [](const sched::Job&) {}};

  struct Size {
    int machines, jobs;
    std::uint32_t tasks;
    wire::JobKind kind;
    std::size_t description_bytes;
    double ram_mb;
  };

  static constexpr std::size_t kTypeNameBytes = 120;

  explicit Queue(const Size& size) {
    const auto& [machines, jobs, tasks, kind, description_bytes, ram_mb] = size;
    fixture.settings.ram_mb = ram_mb;
    fixture.settings.teams = {{"red", 0, 0, 0, 0}};
    for (int i = 0; i < machines; ++i) {
      const std::string id = "n-" + std::to_string(100'000 + i);
      fixture.cluster.reconcile_heartbeat(testing::heartbeat(id, 1, 1), true, 100);
    }
    for (int i = 0; i < jobs; ++i) {
      sched::Job job = testing::make_job("j-" + std::to_string(1'000'000 + i), kind, tasks, 5);
      job.spec.estimate_s = 60;
      for (std::size_t bytes = 0; bytes < description_bytes; bytes += kTypeNameBytes) {
        job.spec.types.emplace_back(kTypeNameBytes, 't');
      }
      if (!job.spec.types.empty()) job.spec.types.emplace_back("g8");
      fixture.store_value(control::job_key(job.spec.id), control::write_record(job, 8192)[0]);
    }
  }
};

void load_and_place(benchmark::State& state) {
  const Queue::Size size{
      static_cast<int>(state.range(0)),           static_cast<int>(state.range(1)),
      static_cast<std::uint32_t>(state.range(2)), static_cast<wire::JobKind>(state.range(3)),
      static_cast<std::size_t>(state.range(4)),   static_cast<double>(state.range(5))};
  double load_mb = 0, pass_mb = 0, held = 0;
  for (auto _ : state) {
    Queue queue(size);
    const std::size_t before = heap_use.peak = heap_use.now;
    control::JobWatcher watcher(queue.fixture.context, queue.reloader, {[] {}, [] {}});
    auto loading = watcher.load();
    loading.start();
    while (!loading.done()) queue.fixture.run_for(1);
    constexpr double kMb = 1024 * 1024;
    load_mb = static_cast<double>(heap_use.peak - before) / kMb;
    heap_use.peak = heap_use.now;
    double longest_pass_s = 0;
    for (bool incomplete = true; incomplete;) {
      const auto began = std::chrono::steady_clock::now();
      incomplete = sched::place_waiting_jobs(queue.fixture.cluster, {}, 200).incomplete;
      const std::chrono::duration<double> pass_s = std::chrono::steady_clock::now() - began;
      longest_pass_s = std::max(longest_pass_s, pass_s.count());
    }
    state.SetIterationTime(longest_pass_s);
    pass_mb = static_cast<double>(heap_use.peak - before) / kMb;
    held = static_cast<double>(queue.fixture.cluster.jobs().size());
  }
  state.counters["load_mb"] = load_mb;
  state.counters["pass_mb"] = pass_mb;
  state.counters["held_jobs"] = held;
}

constexpr auto kArray = static_cast<int>(wire::JobKind::job_array);
constexpr auto kGang = static_cast<int>(wire::JobKind::gang);
constexpr auto kService = static_cast<int>(wire::JobKind::service);

void jobs_by_size(benchmark::internal::Benchmark* benchmark) {
  constexpr int kShort = 0, kLong = 7000;  // bytes of the description
  for (const int machines : {3, 560, 4000}) {
    const int ram_mb = machines < 1000 ? 40 : 128;
    benchmark->Args({machines, 6, 100'000, kArray, kShort, ram_mb});
    for (const int kind : {kArray, kService, kGang}) {
      benchmark->Args({machines, 1000, 100'000, kind, kShort, ram_mb});
    }
    benchmark->Args({machines, 1000, 1000, kGang, kShort, ram_mb});
    benchmark->Args({machines, 30'000, 4, kGang, kShort, ram_mb});
    for (const int jobs : {1000, 30'000}) {
      benchmark->Args({machines, jobs, 1, kArray, kShort, ram_mb});
    }
    benchmark->Args({machines, 30'000, 100'000, kArray, kShort, ram_mb});
    benchmark->Args({machines, 5000, 100'000, kArray, kLong, ram_mb});
  }
}

}  // namespace

BENCHMARK(load_and_place)
    ->ArgNames({"machines", "jobs", "tasks", "kind", "description", "ram_mb"})
    ->Apply(jobs_by_size)
    ->Iterations(1)
    ->UseManualTime()
    ->Unit(benchmark::kMillisecond);

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::err);
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
}
