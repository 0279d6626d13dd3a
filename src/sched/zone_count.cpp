#include "sched/zone_count.hpp"

namespace cranklock::sched {

ZoneCount count_zones(ClusterState& cluster, const Job& job) {
  ZoneCount zones;
  if (!job.spec.one_zone && !job.spec.spread) return zones;
  for (const auto& placement : job.placements) {
    if (placement.ended) continue;
    const Machine* machine = cluster.machine(placement.machine);
    if (machine == nullptr) {
      zones.add_unknown();
    } else {
      zones.add(machine->kind.zone);
    }
  }
  return zones;
}

bool zone_rules_allow(const wire::JobSpec& spec, const ZoneCount& zones, const std::string& zone) {
  if (!spec.one_zone && !spec.spread) return true;
  const std::uint32_t here = zones.in(zone);
  if (spec.one_zone && here != zones.total()) return false;
  const std::uint32_t most_in_a_zone = (spec.tasks + 1) / 2;
  return !spec.spread || here + zones.unknown() + 1 <= most_in_a_zone;
}

}  // namespace cranklock::sched
