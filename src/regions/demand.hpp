// Quota that teams use and that their waiting jobs need in one region, computed from the leader's
// cluster state. No I/O.
#pragma once

#include <map>
#include <string>

#include "regions/quota_policy.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::regions {

/// Demand of every team with waiting work. Iterates over all jobs, so it is called at intervals and
/// not for each message.
std::map<std::string, TeamDemand> demands_of_waiting_work(sched::ClusterState& cluster, double now);

/// Quota that the team's placements use now, or would use again under a new leader: also that of
/// placements that have ended and that a stored record may still contain. Iterates over all jobs.
QuotaAmounts allocated_quota(const sched::ClusterState& cluster, const std::string& team);

}  // namespace cranklock::regions
