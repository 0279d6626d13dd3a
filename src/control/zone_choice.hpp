// Chooses the zones of the machines that a pool is scaled out by. Pure: no I/O, no clock.
#pragma once

#include <map>
#include <string>

#include "sched/placement.hpp"

namespace cranklock::control {

/// A zone in which the pool may be scaled out now.
struct ZoneLoad {
  int machines = 0;  ///< of the pool that are there already
  /// The zone's machines count this many times: a zone of weight 2 gets half as many as one of
  /// weight 1.
  int weight = 1;
};

struct ScaleOutDemand {
  sched::PoolId pool;
  int machines = 0;
  /// Machines that waiting work lacks, by kind; those of other pools are passed over.
  std::map<sched::MachineKind, int> shortfall;
  /// Zones by name that are reachable and were not lately out of capacity.
  std::map<std::string, ZoneLoad> zones;
};

/// How many machines of each kind to request. Kinds that waiting work lacks are served first, in
/// turn, whatever their zone; what the step adds beyond that goes to the zone with the least
/// weighted machines, by name where several have as many. Where no zone is available, fewer
/// machines than demanded are chosen.
std::map<sched::MachineKind, int> choose_zones(const ScaleOutDemand& demand);

}  // namespace cranklock::control
