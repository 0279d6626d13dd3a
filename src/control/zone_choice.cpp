#include "control/zone_choice.hpp"

#include <algorithm>

namespace cranklock::control {
namespace {

using MachinesByKind = std::map<sched::MachineKind, int>;

/// Gives one machine after the other to the kinds that lack any; returns how many are left.
int serve_shortfall(const ScaleOutDemand& demand, MachinesByKind& chosen) {
  int left = demand.machines;
  auto missing = demand.shortfall;
  std::erase_if(missing,
                [&](const auto& entry) { return sched::pool_of(entry.first) != demand.pool; });
  for (bool any_served = true; any_served && left > 0;) {
    any_served = false;
    for (auto& [kind, machines] : missing) {
      if (machines == 0 || left == 0) continue;
      --machines;
      --left;
      ++chosen[kind];
      any_served = true;
    }
  }
  return left;
}

/// Gives the machines one by one to the zone with the least weighted machines.
void spread_over_zones(const ScaleOutDemand& demand, int machines, MachinesByKind& chosen) {
  if (demand.zones.empty()) return;
  std::map<std::string, int> weighted_machines;
  for (const auto& [zone, load] : demand.zones) {
    weighted_machines[zone] = load.machines * load.weight;
  }
  for (; machines > 0; --machines) {
    const auto least =
        std::min_element(weighted_machines.begin(), weighted_machines.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    least->second += demand.zones.at(least->first).weight;
    ++chosen[{demand.pool.type, least->first, demand.pool.spot}];
  }
}

}  // namespace

std::map<sched::MachineKind, int> choose_zones(const ScaleOutDemand& demand) {
  MachinesByKind chosen;
  const int left = serve_shortfall(demand, chosen);
  spread_over_zones(demand, left, chosen);
  return chosen;
}

}  // namespace cranklock::control
