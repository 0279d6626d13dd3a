// Availability checks shared by placement, the scaler and move plans: which machines accept new
// tasks and how many resources a team or job may use. Pure: no I/O; the time is passed in.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// The maximum number of concurrently placed tasks of one job, at least 1. A job record is written
/// in a single transaction, so the size limits of the key-value store bound this number.
std::size_t max_live_tasks(const base::Settings& settings);

/// How many more placements the leader may hold, so that those and the jobs together stay within a
/// share of the memory limit (invariant 23). Further tasks wait.
std::size_t remaining_placements(const ClusterState& cluster);

/// Whether this sum of resources is within the team's quota limit. False for a team that is not in
/// the settings.
bool is_within_limit(const ClusterState& cluster, const std::string& team,
                     const wire::Resources& sum);

/// Whether the team stays within its quota limit if it uses `additional` resources on top of its
/// current allocation, which includes every placement not yet proven gone (invariant 9). False for
/// a team that is not in the settings.
bool within_quota_limit(const ClusterState& cluster, const std::string& team,
                        const wire::Resources& additional);

/// Whether new tasks may be placed on the machine.
bool is_schedulable(const ClusterState& cluster, const Machine& machine);

/// Whether the machine is quarantined and only that keeps tasks from it, other than retries. False
/// if it is idle, since it is deleted then.
bool is_retriable(const ClusterState& cluster, const Machine& machine);

/// Whether the machine is expected to become schedulable: it is booting, or its agent has yet to
/// report this leader's fencing token.
bool is_starting(const ClusterState& cluster, const Machine& machine);

/// The agents of one zone that are expected to send heartbeats.
struct ZoneAgents {
  int agents = 0;
  int responsive = 0;  ///< agents whose last heartbeat is less than two intervals old
};
/// Counts the agents by zone. Zones without agents are omitted.
std::map<std::string, ZoneAgents> count_agents_by_zone(ClusterState& cluster, double now);

/// Whether the cloud has certainly reclaimed a spot machine. True if the time announced by its
/// preemption notice has passed and it has sent no heartbeat for one and a half intervals, or if it
/// has sent none for three intervals while at least nine tenths of the other agents of its zone are
/// responsive. If those send none either, the zone may only be partitioned. A reclaimed machine is
/// deleted, which proves its tasks gone (invariant 4) long before its lease expires.
bool is_reclaimed(const ClusterState& cluster, const Machine& machine,
                  const std::map<std::string, ZoneAgents>& zones, double now);

}  // namespace cranklock::sched
