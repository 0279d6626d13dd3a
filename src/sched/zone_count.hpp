// Counts the tasks of a job by zone and applies the job's zone rules.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// The number of tasks of one job in each zone, including all that are not proven gone
/// (invariant 9).
class ZoneCount {
 public:
  void add(const std::string& zone, std::uint32_t tasks = 1) {
    by_zone_[zone] += tasks;
    total_ += tasks;
  }
  /// Adds a task on a machine that neither the cloud's machine list nor a heartbeat has named yet,
  /// and that may therefore be in any zone.
  void add_in_unknown_zone() {
    ++in_unknown_zone_;
    ++total_;
  }
  std::uint32_t tasks_in(const std::string& zone) const {
    const auto entry = by_zone_.find(zone);
    return entry == by_zone_.end() ? 0 : entry->second;
  }
  std::uint32_t in_unknown_zone() const { return in_unknown_zone_; }
  std::uint32_t total() const { return total_; }

 private:
  std::map<std::string, std::uint32_t> by_zone_;
  std::uint32_t in_unknown_zone_ = 0, total_ = 0;
};

/// Counts the job's placements by zone. Empty for a job without zone rules.
ZoneCount count_zones(ClusterState& cluster, const Job& job);

/// Whether the job's zone rules (one_zone: all tasks in one zone; spread: at most half of them,
/// rounded up, in any zone) allow one more task in the zone.
bool zone_rules_allow(const wire::JobSpec& spec, const ZoneCount& zones, const std::string& zone);

/// How many more tasks of the job its zone rules allow in the zone; at most `spec.tasks`.
std::uint32_t tasks_allowed_in_zone(const wire::JobSpec& spec, const ZoneCount& zones,
                                    const std::string& zone);

}  // namespace cranklock::sched
