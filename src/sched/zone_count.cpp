#include "sched/zone_count.hpp"

#include <algorithm>

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
  return tasks_allowed_in_zone(spec, zones, zone) > 0;
}

std::uint32_t tasks_allowed_in_zone(const wire::JobSpec& spec, const ZoneCount& zones,
                                    const std::string& zone) {
  if (!spec.one_zone && !spec.spread) return spec.tasks;
  const std::uint32_t tasks_in_zone = zones.tasks_in(zone);
  if (spec.one_zone && tasks_in_zone != zones.total()) return 0;
  if (!spec.spread) return spec.tasks;
  const std::uint32_t max_tasks_per_zone = (spec.tasks + 1) / 2;
  const std::uint32_t counted = tasks_in_zone + zones.in_unknown_zone();
  return max_tasks_per_zone - std::min(max_tasks_per_zone, counted);
}

}  // namespace cranklock::sched
