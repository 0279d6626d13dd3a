// What teams' work takes and waits for in one region, read from the leader's cluster state. Pure.
#pragma once

#include <map>
#include <string>

#include "regions/quota_policy.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::regions {

/// Every team with waiting work. Goes over all jobs once, so it is asked now and then, not for each
/// message.
std::map<std::string, TeamDemand> demands_of_waiting_work(sched::ClusterState& cluster, double now);

/// What the team's placements take at this moment.
QuotaAmounts allocated_quota(const sched::ClusterState& cluster, const std::string& team);

}  // namespace cranklock::regions
