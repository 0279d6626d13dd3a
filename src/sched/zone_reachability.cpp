#include "sched/zone_reachability.hpp"

#include <algorithm>

namespace cranklock::sched {

namespace {
constexpr int kMinAgents = 3;  ///< fewer agents may fail together by chance
/// Heartbeat intervals without a heartbeat from a zone after which it may be marked as unreachable.
constexpr double kSilentZoneIntervals = 3;
/// Heartbeat intervals within which at least one agent of the fleet must have reported.
constexpr double kFleetReportIntervals = 1.5;
constexpr double kMaxUnreachableCancelPeriods = 3;  ///< in units of `cancel_s`
/// Lease durations within which the agents of a zone report again after it becomes reachable.
constexpr double kReconnectLeases = 2;
}  // namespace

std::vector<std::string> ZoneReachability::update(double now) {
  const FleetActivity activity = measure_activity();
  const double interval_s = settings_.heartbeat_interval_s;
  // If no agent at all reports, this node is the one that is cut off, not the zones.
  const bool others_reporting = now - activity.last_heartbeat < kFleetReportIntervals * interval_s;
  std::vector<std::string> newly_unreachable;
  for (const auto& [name, zone] : activity.zones) {
    if (now - zone.last_heartbeat < kSilentZoneIntervals * interval_s) {
      if (is_unreachable(name)) mark_reachable(name, now);
    } else if (others_reporting && zone.agents >= kMinAgents && !is_unreachable(name)) {
      mark_unreachable(name, now);
      newly_unreachable.push_back(name);
    }
  }
  // Zones past the time limit are no longer treated as unreachable: their machines without
  // heartbeats are deleted, and replacements may be provisioned there.
  std::erase_if(unreachable_until_, [&](const auto& entry) { return entry.second < now; });
  return newly_unreachable;
}

ZoneReachability::FleetActivity ZoneReachability::measure_activity() const {
  FleetActivity activity;
  for (const auto& [id, machine] : machines_.all()) {
    if (machine.cloud.failed || machine.cloud.terminating) continue;
    const bool expected_to_report = machine.cloud.listed && !machine.cloud.booting;
    if (!machine.agent.heartbeat_received && !expected_to_report) continue;
    ZoneActivity& zone = activity.zones[machine.kind.zone];
    ++zone.agents;
    const double last_heartbeat =
        machine.agent.heartbeat_received ? machine.agent.last_heartbeat : machine.known_since;
    zone.last_heartbeat = std::max(zone.last_heartbeat, last_heartbeat);
    if (machine.agent.heartbeat_received)
      activity.last_heartbeat = std::max(activity.last_heartbeat, last_heartbeat);
  }
  return activity;
}

void ZoneReachability::mark_unreachable(const std::string& zone, double now) {
  // The machines are kept, with their image caches, in case the zone becomes reachable again, but
  // only for a limited time.
  const double until = now + kMaxUnreachableCancelPeriods * settings_.cancel_s;
  unreachable_until_[zone] = until;
  extend_lease_grace(zone, until);
  changes_.raise();
}

void ZoneReachability::mark_reachable(const std::string& zone, double now) {
  unreachable_until_.erase(zone);
  extend_lease_grace(zone, now + kReconnectLeases * settings_.lease_s);
  changes_.raise();
}

void ZoneReachability::extend_lease_grace(const std::string& zone, double until) {
  for (auto& [id, machine] : machines_.all()) {
    if (machine.kind.zone == zone) machine.lease.grace_until = until;
  }
}

}  // namespace cranklock::sched
