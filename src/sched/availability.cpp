#include "sched/availability.hpp"

#include <algorithm>

namespace cranklock::sched {

std::size_t max_live_tasks(const base::Settings& settings) {
  constexpr double kBytesPerTask = 44;  // number, attempt and machine, and a range of done tasks
  constexpr double kValueOverheadBytes = 80;  // fixed part of each value, outside the lists
  constexpr double kMaxTransactionBytes = 60.0 * 1024;
  const double list_bytes_per_value = settings.value_kb * 1024 - kValueOverheadBytes;
  // The job specification occupies up to one value.
  const double total_list_bytes = std::min(list_bytes_per_value * (settings.txn_ops - 1),
                                           kMaxTransactionBytes - list_bytes_per_value);
  return static_cast<std::size_t>(std::max(total_list_bytes / kBytesPerTask, 1.0));
}

std::size_t remaining_placements(const ClusterState& cluster) {
  constexpr double kMemoryShare = 3.0 / 8;  // of which waiting jobs take up to an eighth
  constexpr double kBytesPerPlacement = 384;
  std::size_t held = 0;
  for (const auto& [id, machine] : cluster.machines()) held += machine.tasks.size();
  const double used_bytes = static_cast<double>(cluster.job_memory_bytes()) +
                            kBytesPerPlacement * static_cast<double>(held);
  const double max_bytes = base::memory_bytes(cluster.settings(), kMemoryShare);
  return static_cast<std::size_t>(std::max(max_bytes - used_bytes, 0.0) / kBytesPerPlacement);
}

bool is_within_limit(const ClusterState& cluster, const std::string& team,
                     const wire::Resources& sum) {
  const auto* team_settings = cluster.settings().find_team(team);
  return team_settings != nullptr && cluster.is_within_limit(*team_settings, sum);
}

bool within_quota_limit(const ClusterState& cluster, const std::string& team,
                        const wire::Resources& additional) {
  return is_within_limit(cluster, team, cluster.team_allocation(team) + additional);
}

namespace {

/// False if the machine's zone, lease or cloud status rules out placement. Does not check that the
/// machine is up.
bool is_reachable(const ClusterState& cluster, const Machine& machine) {
  return !cluster.is_unreachable(machine.kind.zone) && !machine.lease.expired &&
         !machine.cloud.terminating && !machine.cloud.failed && !machine.cloud.reclaim_at;
}

/// Whether the machine could take tasks if none had failed on it.
bool is_up(const ClusterState& cluster, const Machine& machine) {
  return is_reachable(cluster, machine) && machine.agent.heartbeat_received &&
         machine.confirmed() && machine.agent.unknown_tasks == 0 &&
         machine.agent.unresponsive_until == 0;
}

}  // namespace

bool is_schedulable(const ClusterState& cluster, const Machine& machine) {
  return is_up(cluster, machine) && !machine.quarantined();
}

bool is_retriable(const ClusterState& cluster, const Machine& machine) {
  return is_up(cluster, machine) && machine.quarantined() && !machine.idle();
}

bool is_starting(const ClusterState& cluster, const Machine& machine) {
  return is_reachable(cluster, machine) && !machine.quarantined() && !machine.cloud.overdue &&
         (!machine.agent.heartbeat_received ||
          (!machine.confirmed() && machine.agent.unresponsive_until == 0));
}

namespace {

/// Whether the agent is expected to send heartbeats.
bool should_send_heartbeats(const Machine& machine) {
  return machine.agent.heartbeat_received && !machine.lease.expired && !machine.cloud.terminating &&
         !machine.cloud.reclaim_at;
}

}  // namespace

std::map<std::string, ZoneAgents> count_agents_by_zone(ClusterState& cluster, double now) {
  constexpr double kResponsiveWithinIntervals = 2;
  std::map<std::string, ZoneAgents> zones;
  for (const auto& [id, machine] : cluster.machines()) {
    if (!should_send_heartbeats(machine)) continue;
    ZoneAgents& zone = zones[machine.kind.zone];
    ++zone.agents;
    const double since_heartbeat_s = now - machine.agent.last_heartbeat;
    if (since_heartbeat_s < kResponsiveWithinIntervals * cluster.settings().heartbeat_interval_s)
      ++zone.responsive;
  }
  return zones;
}

bool is_reclaimed(const ClusterState& cluster, const Machine& machine,
                  const std::map<std::string, ZoneAgents>& zones, double now) {
  constexpr double kSilentIntervalsAfterNotice = 1.5;  // after the announced time of reclaim
  constexpr double kSilentIntervals = 3;               // tolerates one or two lost heartbeats
  constexpr double kMinResponsiveShare = 0.9;          // of the other agents in the zone
  if (!machine.kind.spot || !machine.agent.heartbeat_received || machine.cloud.terminating)
    return false;
  const double interval_s = cluster.settings().heartbeat_interval_s;
  const double since_heartbeat_s = now - machine.agent.last_heartbeat;
  if (machine.cloud.reclaim_at && now > *machine.cloud.reclaim_at) {
    return since_heartbeat_s > kSilentIntervalsAfterNotice * interval_s;
  }
  if (since_heartbeat_s < kSilentIntervals * interval_s) return false;
  const auto zone = zones.find(machine.kind.zone);
  if (zone == zones.end()) return false;
  const int others = zone->second.agents - (should_send_heartbeats(machine) ? 1 : 0);
  return others > 0 && zone->second.responsive >= kMinResponsiveShare * others;
}

}  // namespace cranklock::sched
