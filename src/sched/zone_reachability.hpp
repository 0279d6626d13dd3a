// Detects zones that are unreachable from this leader.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "sched/change_signal.hpp"
#include "sched/machine_inventory.hpp"

namespace cranklock::sched {

/// Marks a zone as unreachable when the heartbeats of all its agents stop while other zones still
/// report. The machines there may still be running: nothing new is placed on them, and they are
/// kept until the zone is reachable again or a time limit has passed.
class ZoneReachability {
 public:
  /// All three must outlive this object.
  ZoneReachability(const base::Settings& settings, MachineInventory& machines,
                   ChangeSignal& changes)
      : settings_(settings), machines_(machines), changes_(changes) {}

  /// To be called periodically. Returns the zones that have become unreachable since the last call.
  std::vector<std::string> update(double now);
  bool is_unreachable(const std::string& zone) const { return unreachable_until_.contains(zone); }
  bool any_unreachable() const { return !unreachable_until_.empty(); }

 private:
  struct ZoneActivity {
    int agents = 0;
    double last_heartbeat = 0;  ///< or when a listed machine without heartbeats became known
  };
  struct FleetActivity {
    std::map<std::string, ZoneActivity> zones;
    double last_heartbeat = 0;  ///< of any agent
  };
  FleetActivity measure_activity() const;
  void mark_unreachable(const std::string& zone, double now);
  void mark_reachable(const std::string& zone, double now);
  void extend_lease_grace(const std::string& zone, double until);

  const base::Settings& settings_;
  MachineInventory& machines_;
  ChangeSignal& changes_;
  /// By unreachable zone: the time from which it is treated as a reachable zone again, so that its
  /// machines without heartbeats are replaced.
  std::map<std::string, double> unreachable_until_;
};

}  // namespace cranklock::sched
