// Which machines take work, and how much of it a team or a job may have: what placement, the scaler
// and plans of moves ask alike. Pure: no I/O, time passed in.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// How many tasks of one job may be placed at a time, at least one: its record is written whole in
/// one transaction, so the limits of the key-value store bound it.
std::size_t max_live_tasks(const base::Settings& settings);

/// Whether the team may use this much beside what it uses now, which counts every placement that is
/// not proven free (invariant 9). False for a team that the settings do not name.
bool within_quota_limit(const ClusterState& cluster, const std::string& team,
                        const wire::Resources& more);

/// Whether new tasks may be placed on the machine.
bool is_schedulable(const ClusterState& cluster, const Machine& machine);

/// Whether the machine boots, or has only to show our fencing token, to become schedulable.
bool is_starting(const ClusterState& cluster, const Machine& machine);

/// The agents of one zone that should send heartbeats.
struct ZoneWorkers {
  int workers = 0;
  int heard = 0;  ///< those whose last heartbeat is younger than two intervals
};
/// Counts them by zone. Zones without any are left out.
std::map<std::string, ZoneWorkers> count_workers(ClusterState& cluster, double now);

/// Whether the cloud has certainly reclaimed a spot machine: it is quiet after its preemption
/// notice, or has been for three heartbeats while the other agents of its zone are heard. One whose
/// zone is quiet too may only be cut off. The machine is then deleted, which proves its tasks gone
/// (invariant 4) long before its lease would.
bool is_reclaimed(const ClusterState& cluster, const Machine& machine,
                  const std::map<std::string, ZoneWorkers>& zones, double now);

}  // namespace cranklock::sched
