#include "sched/availability.hpp"

#include <algorithm>

namespace cranklock::sched {

std::size_t max_live_tasks(const base::Settings& settings) {
  constexpr double kTaskBytes = 44;   // its number, attempt and machine, and a range of done tasks
  constexpr double kValueBytes = 80;  // what stands around the lists, and does not fill up, in each
  constexpr double kTransactionBytes = 60.0 * 1024;
  const double value_bytes = settings.value_kb * 1024 - kValueBytes;
  // The job's description takes up to one value.
  const double task_bytes =
      std::min(value_bytes * (settings.txn_ops - 1), kTransactionBytes - value_bytes);
  return static_cast<std::size_t>(std::max(task_bytes / kTaskBytes, 1.0));
}

bool within_quota_limit(const ClusterState& cluster, const std::string& team,
                        const wire::Resources& more) {
  constexpr double kSlack = 1e-6;  // sums of decimal amounts
  const auto* team_settings = cluster.settings().find_team(team);
  if (team_settings == nullptr) return false;
  const wire::Resources sum = cluster.team_allocation(team) + more;
  const wire::Resources limit = cluster.limit_for(*team_settings);
  return (team_settings->gpus_max <= 0 || sum.gpus <= limit.gpus + kSlack) &&
         (team_settings->cpus_max <= 0 || sum.cpus <= limit.cpus + kSlack);
}

namespace {

/// Whether nothing speaks against the machine, once it is up.
bool is_healthy(const ClusterState& cluster, const Machine& machine) {
  return !cluster.is_unreachable(machine.kind.zone) && !machine.lease.expired &&
         !machine.cloud.terminating && !machine.cloud.failed && !machine.quarantined() &&
         !machine.cloud.reclaim_at;
}

}  // namespace

bool is_schedulable(const ClusterState& cluster, const Machine& machine) {
  return is_healthy(cluster, machine) && machine.agent.heartbeat_received && machine.confirmed() &&
         machine.agent.unknown_tasks == 0 && machine.agent.unresponsive_until == 0;
}

bool is_starting(const ClusterState& cluster, const Machine& machine) {
  return is_healthy(cluster, machine) && !machine.cloud.overdue &&
         (!machine.agent.heartbeat_received ||
          (!machine.confirmed() && machine.agent.unresponsive_until == 0));
}

namespace {

/// Whether the agent should be sending heartbeats.
bool should_be_heard(const Machine& machine) {
  return machine.agent.heartbeat_received && !machine.lease.expired && !machine.cloud.terminating &&
         !machine.cloud.reclaim_at;
}

}  // namespace

std::map<std::string, ZoneWorkers> count_workers(ClusterState& cluster, double now) {
  constexpr double kHeardWithinIntervals = 2;
  std::map<std::string, ZoneWorkers> zones;
  for (const auto& [id, machine] : cluster.machines()) {
    if (!should_be_heard(machine)) continue;
    ZoneWorkers& zone = zones[machine.kind.zone];
    ++zone.workers;
    const double quiet_s = now - machine.agent.last_heartbeat;
    if (quiet_s < kHeardWithinIntervals * cluster.settings().heartbeat_interval_s) ++zone.heard;
  }
  return zones;
}

bool is_reclaimed(const ClusterState& cluster, const Machine& machine,
                  const std::map<std::string, ZoneWorkers>& zones, double now) {
  constexpr double kQuietIntervalsAfterNotice = 1.5;
  constexpr double kQuietIntervals = 3;  // one or two heartbeats may be lost
  constexpr double kHeardShare = 0.9;    // of the other agents of the zone
  if (!machine.kind.spot || !machine.agent.heartbeat_received || machine.cloud.terminating)
    return false;
  const double interval_s = cluster.settings().heartbeat_interval_s;
  const double quiet_s = now - machine.agent.last_heartbeat;
  if (machine.cloud.reclaim_at && now > *machine.cloud.reclaim_at) {
    return quiet_s > kQuietIntervalsAfterNotice * interval_s;
  }
  if (quiet_s < kQuietIntervals * interval_s) return false;
  const auto zone = zones.find(machine.kind.zone);
  if (zone == zones.end()) return false;
  const int others = zone->second.workers - (should_be_heard(machine) ? 1 : 0);
  return others > 0 && zone->second.heard >= kHeardShare * others;
}

}  // namespace cranklock::sched
