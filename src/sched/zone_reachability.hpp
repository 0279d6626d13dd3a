// Which zones are cut off from this leader.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "sched/change_signal.hpp"
#include "sched/machine_inventory.hpp"

namespace cranklock::sched {

/// Finds zones whose agents have all gone quiet at once while others are heard. The machines there
/// may well run on: nothing new is asked of them, and they are kept for a while, until the zone
/// comes back.
class ZoneReachability {
 public:
  /// All three must outlive this object.
  ZoneReachability(const base::Settings& settings, MachineInventory& machines,
                   ChangeSignal& changes)
      : settings_(settings), machines_(machines), changes_(changes) {}

  /// To be called periodically; returns the zones that have become unreachable since the last call.
  std::vector<std::string> update(double now);
  bool is_unreachable(const std::string& zone) const { return unreachable_until_.contains(zone); }
  bool any_unreachable() const { return !unreachable_until_.empty(); }

 private:
  struct ZoneActivity {
    int agents = 0;
    double last_heard = 0;
  };
  struct FleetActivity {
    std::map<std::string, ZoneActivity> zones;
    double last_heard = 0;  ///< from any agent
  };
  FleetActivity measure_activity() const;
  void mark_unreachable(const std::string& zone, double now);
  void mark_reachable(const std::string& zone, double now);
  void extend_lease_grace(const std::string& zone, double until);

  const base::Settings& settings_;
  MachineInventory& machines_;
  ChangeSignal& changes_;
  /// By unreachable zone: when it is treated as an ordinary one again, whose silent machines are
  /// replaced.
  std::map<std::string, double> unreachable_until_;
};

}  // namespace cranklock::sched
