// Chooses the zones for the machines of a scale-out. Pure functions: no I/O, no clock.
#pragma once

#include <map>
#include <string>

#include "sched/placement.hpp"

namespace cranklock::control {

/// A zone in which the pool may be scaled out now.
struct ZoneLoad {
  int machines = 0;  ///< existing machines of the pool in the zone
  /// Factor applied to the zone's machine count: a zone of weight 2 gets half as many machines as
  /// one of weight 1.
  int weight = 1;
};

struct ScaleOutDemand {
  sched::PoolId pool;
  int machines = 0;
  /// Machines that queued tasks lack, by kind; kinds of other pools are ignored.
  std::map<sched::MachineKind, int> shortfall;
  /// Zones by name that are reachable and were not recently out of capacity.
  std::map<std::string, ZoneLoad> zones;
};

/// Returns how many machines of each kind to request. The kinds of the shortfall are served first,
/// in turn, regardless of their zone; any further machines go to the zone with the lowest weighted
/// count, ties broken by name. If no zone is available, fewer machines than demanded are chosen.
std::map<sched::MachineKind, int> choose_zones(const ScaleOutDemand& demand);

}  // namespace cranklock::control
