#include "sched/run_time.hpp"

#include <algorithm>
#include <limits>

namespace cranklock::sched {
namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();

}  // namespace

bool stands(const wire::JobSpec& spec) {
  return spec.kind == wire::JobKind::service;
}

double image_fetch_s(const wire::JobSpec& spec, double fetch_gb_per_s) {
  constexpr double kMinFetchGbPerS = 0.01;  // for machine types that state no rate
  return spec.image_gb / std::max(fetch_gb_per_s, kMinFetchGbPerS);
}

double max_run_s(const wire::JobSpec& spec, const wire::MachineType& type) {
  constexpr double kEstimateMargin = 1.5;  // estimates are often wrong by half (PROTOCOL)
  if (stands(spec) || spec.estimate_s <= 0) return kForever;
  return kEstimateMargin * (spec.estimate_s + image_fetch_s(spec, type.fetch_gb_per_s));
}

double remaining_run_s(const wire::JobSpec& spec, const Placement& placement, double now) {
  // A task that has outlasted its estimate is expected to go on for a part of its run time so far.
  constexpr double kOverrunShare = 0.25;
  if (stands(spec)) return kForever;
  if (spec.estimate_s <= 0) return 0;
  if (placement.running_since <= 0) return spec.estimate_s;
  const double ran_s = std::max(now - placement.running_since, 0.0);
  return std::max(spec.estimate_s - ran_s, kOverrunShare * ran_s);
}

}  // namespace cranklock::sched
