#include "sched/zone_count.hpp"

namespace cranklock::sched {

ZoneCount count_zones(ClusterState& cluster, const Job& job) {
  ZoneCount zones;
  if (!job.spec.one_zone && !job.spec.spread) return zones;
  for (const auto& placement : job.placements) {
    if (placement.ended) continue;
    const Machine* machine = cluster.machine(placement.machine);
    if (machine == nullptr) {
      zones.add_in_unknown_zone();
    } else {
      zones.add(machine->kind.zone);
    }
  }
  return zones;
}

bool zone_rules_allow(const wire::JobSpec& spec, const ZoneCount& zones, const std::string& zone) {
  if (!spec.one_zone && !spec.spread) return true;
  const std::uint32_t tasks_in_zone = zones.tasks_in(zone);
  if (spec.one_zone && tasks_in_zone != zones.total()) return false;
  const std::uint32_t max_tasks_per_zone = (spec.tasks + 1) / 2;
  return !spec.spread || tasks_in_zone + zones.in_unknown_zone() + 1 <= max_tasks_per_zone;
}

}  // namespace cranklock::sched
