// The zones that hold tasks of one job, and what the job's zone rules make of them.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// How many tasks of one job each zone holds. Everything that is not proven free counts
/// (invariant 9).
class ZoneCount {
 public:
  void add(const std::string& zone) {
    ++by_zone_[zone];
    ++total_;
  }
  /// Adds a task on a machine that neither the list nor a heartbeat has shown yet: it could be in
  /// any zone.
  void add_unknown() {
    ++unknown_;
    ++total_;
  }
  std::uint32_t in(const std::string& zone) const {
    const auto entry = by_zone_.find(zone);
    return entry == by_zone_.end() ? 0 : entry->second;
  }
  std::uint32_t unknown() const { return unknown_; }
  std::uint32_t total() const { return total_; }

 private:
  std::map<std::string, std::uint32_t> by_zone_;
  std::uint32_t unknown_ = 0, total_ = 0;
};

/// Counts the job's placements. Empty for a job without zone rules, which needs no count.
ZoneCount count_zones(ClusterState& cluster, const Job& job);

/// Whether the job's zone rules (all tasks in one zone; at most half of them, rounded up, in any)
/// allow one more task in the zone.
bool zone_rules_allow(const wire::JobSpec& spec, const ZoneCount& zones, const std::string& zone);

}  // namespace cranklock::sched
