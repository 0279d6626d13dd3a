// Which machines take work, and how much of it a team or a job may have: what placement, the scaler
// and plans of moves ask alike. Pure: no I/O, time passed in.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// Tasks of one job that may be on machines at a time: its record is written whole in one
/// transaction, so the limits of the state service bound it.
std::size_t max_live_tasks(const base::Settings& settings);

/// Whether the team may use this much more.
bool within_quota_limit(const ClusterState& cluster, const std::string& team,
                        const wire::Resources& more);

/// Whether new work may be put on this machine.
bool is_schedulable(const ClusterState& cluster, const Machine& machine);

/// Whether it boots, or has only to show our fencing token, to become usable.
bool is_starting(const ClusterState& cluster, const Machine& machine);

struct ZoneWorkers {
  int workers = 0, heard = 0;  ///< heard: within two heartbeats
};
/// The workers of each zone that should report.
std::map<std::string, ZoneWorkers> count_workers(ClusterState& cluster, double now);

/// A spot machine that has gone quiet after its notice, or for three heartbeats while the other
/// workers of its zone are heard. Those whose zone is quiet too may only be cut off.
bool is_reclaimed(const ClusterState& cluster, const Machine& machine,
                  const std::map<std::string, ZoneWorkers>& zones, double now);

}  // namespace cranklock::sched
