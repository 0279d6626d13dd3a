#include "control/zone_choice.hpp"

#include <algorithm>

namespace cranklock::control {
namespace {

using MachinesByKind = std::map<sched::MachineKind, int>;

/// Allocates machines in turn, one at a time, to the kinds of the shortfall; returns the number
/// left.
int allocate_shortfall(const ScaleOutDemand& demand, MachinesByKind& chosen) {
  int remaining = demand.machines;
  auto missing = demand.shortfall;
  std::erase_if(missing,
                [&](const auto& entry) { return sched::pool_of(entry.first) != demand.pool; });
  for (bool any_allocated = true; any_allocated && remaining > 0;) {
    any_allocated = false;
    for (auto& [kind, machines] : missing) {
      if (machines == 0 || remaining == 0) continue;
      --machines;
      --remaining;
      ++chosen[kind];
      any_allocated = true;
    }
  }
  return remaining;
}

/// Allocates the machines one at a time to the zone with the lowest weighted machine count.
void balance_zones(const ScaleOutDemand& demand, int machines, MachinesByKind& chosen) {
  if (demand.zones.empty()) return;
  std::map<std::string, int> weighted_machines;
  for (const auto& [zone, load] : demand.zones) {
    weighted_machines[zone] = load.machines * load.weight;
  }
  for (; machines > 0; --machines) {
    const auto least_loaded =
        std::min_element(weighted_machines.begin(), weighted_machines.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    least_loaded->second += demand.zones.at(least_loaded->first).weight;
    ++chosen[{demand.pool.type, least_loaded->first, demand.pool.spot}];
  }
}

}  // namespace

std::map<sched::MachineKind, int> choose_zones(const ScaleOutDemand& demand) {
  MachinesByKind chosen;
  const int remaining = allocate_shortfall(demand, chosen);
  balance_zones(demand, remaining, chosen);
  return chosen;
}

}  // namespace cranklock::control
