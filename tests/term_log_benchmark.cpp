// Time that the log of a term takes for each start, by log level; lines go to /dev/null. Not part
// of the tests:
//   cmake -S . -B target-bench -DCRANKLOCK_BENCHMARKS=ON && cmake --build target-bench -j8 --target
//   term_log_benchmark
#include <benchmark/benchmark.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>

#include "control/term_log.hpp"
#include "term_fixture.hpp"

namespace {

using cranklock::testing::TermFixture;

void log_start(benchmark::State& state) {
  spdlog::set_default_logger(spdlog::basic_logger_mt("null", "/dev/null"));
  spdlog::set_level(state.range(0) != 0 ? spdlog::level::debug : spdlog::level::info);
  TermFixture fixture;
  fixture.cluster.upsert_job(
      cranklock::testing::make_job("j-000001", cranklock::wire::JobKind::job_array, 1, 1), 0);
  for (auto _ : state) {
    cranklock::control::record_start(fixture.context, {"j-000001", 0}, "n-000001",
                                     cranklock::control::StartChannel::command);
  }
  spdlog::drop("null");
}

}  // namespace

BENCHMARK(log_start)->ArgName("debug")->Arg(0)->Arg(1);

BENCHMARK_MAIN();
