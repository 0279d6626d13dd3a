#include "sched/availability.hpp"

#include <algorithm>

namespace cranklock::sched {

std::size_t max_live_tasks(const base::Settings& settings) {
  constexpr double kTaskBytes = 44;   // its number, attempt and machine, and a range of done tasks
  constexpr double kValueBytes = 80;  // what stands around the lists, and does not fill up, in each
  constexpr double kTxnBytes = 60.0 * 1024;
  const double value = settings.value_kb * 1024 - kValueBytes;
  // The description takes up to a value's worth.
  const double resources = std::min(value * (settings.txn_ops - 1), kTxnBytes - value);
  return static_cast<std::size_t>(std::max(resources / kTaskBytes, 1.0));
}

bool within_quota_limit(const ClusterState& cluster, const std::string& team,
                        const wire::Resources& more) {
  const auto* settings = cluster.settings().team(team);
  if (settings == nullptr) return false;
  const wire::Resources sum = cluster.team_allocation(team) + more;
  const wire::Resources limit = cluster.limit_for(*settings);
  constexpr double kSlack = 1e-6;
  return (settings->gpus_max <= 0 || sum.gpus <= limit.gpus + kSlack) &&
         (settings->cpus_max <= 0 || sum.cpus <= limit.cpus + kSlack);
}

namespace {
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

std::map<std::string, ZoneWorkers> count_workers(ClusterState& cluster, double now) {
  std::map<std::string, ZoneWorkers> zones;
  for (const auto& [id, machine] : cluster.machines()) {
    if (!machine.agent.heartbeat_received || machine.lease.expired || machine.cloud.terminating ||
        machine.cloud.reclaim_at)
      continue;
    auto& zone = zones[machine.kind.zone];
    ++zone.workers;
    if (now - machine.agent.last_heartbeat < 2 * cluster.settings().heartbeat_interval_s)
      ++zone.heard;
  }
  return zones;
}

bool is_reclaimed(const ClusterState& cluster, const Machine& machine,
                  const std::map<std::string, ZoneWorkers>& zones, double now) {
  const double heartbeat_interval_s = cluster.settings().heartbeat_interval_s;
  if (!machine.kind.spot || !machine.agent.heartbeat_received || machine.cloud.terminating)
    return false;
  const double quiet = now - machine.agent.last_heartbeat;
  if (machine.cloud.reclaim_at && now > *machine.cloud.reclaim_at)
    return quiet > 1.5 * heartbeat_interval_s;
  const auto zone = zones.find(machine.kind.zone);
  if (quiet < 3 * heartbeat_interval_s || zone == zones.end()) return false;
  const int others =
      zone->second.workers - (machine.lease.expired || machine.cloud.reclaim_at ? 0 : 1);
  return others > 0 && zone->second.heard >= 0.9 * others;
}

}  // namespace cranklock::sched
