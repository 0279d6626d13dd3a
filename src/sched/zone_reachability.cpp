#include "sched/zone_reachability.hpp"

#include <algorithm>

namespace cranklock::sched {

namespace {
constexpr int kMinAgents = 3;                ///< fewer may fail together by chance
constexpr double kQuietIntervals = 3;        ///< heartbeat intervals after which a zone is quiet
constexpr double kReportingIntervals = 1.5;  ///< within which somebody must have been heard
constexpr double kMaxUnreachable = 3;        ///< in units of cancel_s
constexpr double kReturnLeases = 2;          ///< leases within which the agents of a zone are back
}  // namespace

std::vector<std::string> ZoneReachability::update(double now) {
  const FleetActivity activity = measure_activity();
  const double interval_s = settings_.heartbeat_interval_s;
  // Guards against blaming the zones when nobody is heard: then it is this node that is cut off.
  const bool others_reporting = now - activity.last_heard < kReportingIntervals * interval_s;
  std::vector<std::string> newly_unreachable;
  for (const auto& [name, zone] : activity.zones) {
    if (now - zone.last_heard < kQuietIntervals * interval_s) {
      if (is_unreachable(name)) mark_reachable(name, now);
    } else if (others_reporting && zone.agents >= kMinAgents && !is_unreachable(name)) {
      mark_unreachable(name, now);
      newly_unreachable.push_back(name);
    }
  }
  // After that its silent machines are deleted, and others are tried there.
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
    const double heard =
        machine.agent.heartbeat_received ? machine.agent.last_heartbeat : machine.known_since;
    zone.last_heard = std::max(zone.last_heard, heard);
    if (machine.agent.heartbeat_received)
      activity.last_heard = std::max(activity.last_heard, heard);
  }
  return activity;
}

void ZoneReachability::mark_unreachable(const std::string& zone, double now) {
  // Its machines come back with it, and with their images, but are not waited for indefinitely.
  const double until = now + kMaxUnreachable * settings_.cancel_s;
  unreachable_until_[zone] = until;
  extend_lease_grace(zone, until);
  changes_.raise();
}

void ZoneReachability::mark_reachable(const std::string& zone, double now) {
  unreachable_until_.erase(zone);
  extend_lease_grace(zone, now + kReturnLeases * settings_.lease_s);
  changes_.raise();
}

void ZoneReachability::extend_lease_grace(const std::string& zone, double until) {
  for (auto& [id, machine] : machines_.all()) {
    if (machine.kind.zone == zone) machine.lease.grace_until = until;
  }
}

}  // namespace cranklock::sched
