#include "sched/pool_reading.hpp"

#include <algorithm>
#include <cmath>

#include "sched/availability.hpp"

namespace cranklock::sched {
namespace {

/// The larger of the CPU and GPU fractions that `part` takes of `whole`. Memory does not count for
/// scaling.
double dominant_compute_share(const wire::Resources& part, const wire::Resources& whole) {
  double share = 0;
  if (whole.cpus > 0) share = std::max(share, part.cpus / whole.cpus);
  if (whole.gpus > 0) share = std::max(share, part.gpus / whole.gpus);
  return share;
}

/// Sums over the machines of a pool.
struct PoolUsage {
  double allocated = 0;  ///< in machines
  int schedulable = 0, starting = 0;
  wire::Resources requested;  ///< by waiting tasks, and by tasks that should move to spot machines
};

/// Whether the machine is an ordinary one and all its tasks, if any, may run on spot machines.
bool is_replaceable_by_spot(const Machine& machine) {
  if (machine.kind.spot) return false;
  const MachineKind as_spot{machine.kind.type, machine.kind.zone, true};
  return std::all_of(machine.tasks.begin(), machine.tasks.end(),
                     [&](const PlacementRef& ref) { return allows(ref.job->spec, as_spot); });
}

std::map<PoolId, PoolUsage> measure_usage(ClusterState& cluster, const Shortfall& shortfall) {
  std::map<PoolId, PoolUsage> usage;
  for (const auto& [name, type] : cluster.types()) {
    usage[{name, false}];  // pools without machines are measured too
    usage[{name, true}];
  }
  for (const auto& [id, machine] : cluster.machines()) {
    const auto* type = cluster.type(machine.kind.type);
    if (type == nullptr || machine.cloud.failed || machine.cloud.terminating) continue;
    PoolUsage& pool = usage[pool_of(machine.kind)];
    if (is_schedulable(cluster, machine)) {
      ++pool.schedulable;
      pool.allocated += dominant_compute_share(machine.allocated, type->resources);
    } else if (is_starting(cluster, machine)) {
      ++pool.starting;
    }
    if (is_replaceable_by_spot(machine))
      usage[{machine.kind.type, true}].requested += machine.allocated;
  }
  for (const auto& [pool, resources] : shortfall.requested) usage[pool].requested += resources;
  return usage;
}

PoolReading make_reading(const PoolUsage& usage, const wire::MachineType& type, int wanted,
                         double high) {
  constexpr double kMachineTolerance = 1e-9;  // rounding of sums
  const double requested = dominant_compute_share(usage.requested, type.resources);
  PoolReading reading;
  reading.wanted = wanted;
  reading.machines = usage.schedulable + usage.starting;
  if (usage.schedulable > 0) reading.score = usage.allocated / usage.schedulable;
  if (reading.machines > 0) reading.score += requested / reading.machines;
  const double needed = std::ceil((usage.allocated + requested) / high - kMachineTolerance);
  reading.deficit = static_cast<int>(needed) - reading.machines;
  if (usage.schedulable == 0 && requested > 0) reading.score = std::max(reading.score, high + 1);
  return reading;
}

}  // namespace

std::map<PoolId, PoolReading> read_pools(ClusterState& cluster, const Shortfall& shortfall,
                                         double high) {
  std::map<PoolId, int> wanted;
  for (const auto& [kind, count] : shortfall.wanted) wanted[pool_of(kind)] += count;
  std::map<PoolId, PoolReading> readings;
  for (const auto& [pool, usage] : measure_usage(cluster, shortfall)) {
    readings[pool] = make_reading(usage, *cluster.type(pool.type), wanted[pool], high);
  }
  return readings;
}

}  // namespace cranklock::sched
