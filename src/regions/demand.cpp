#include "regions/demand.hpp"

#include <algorithm>

#include "sched/availability.hpp"
#include "sched/stored_quota.hpp"

namespace cranklock::regions {
namespace {

/// Tasks that could be placed at once. The size of a job's stored record bounds its live tasks
/// (`max_live`).
std::size_t placeable_tasks(const sched::Job& job, std::size_t max_live) {
  const std::size_t live = job.live_count();
  const std::size_t waiting = job.pending_count();
  if (job.spec.kind != wire::JobKind::gang) {
    return live < max_live ? std::min(waiting, max_live - live) : 0;
  }
  // A gang is placed as a whole, once no task of its last attempt is live.
  return live == 0 && waiting <= max_live ? waiting : 0;
}

}  // namespace

std::map<std::string, TeamDemand> demands_of_waiting_work(sched::ClusterState& cluster,
                                                          double now) {
  std::map<std::string, TeamDemand> demands;
  const std::size_t max_live = sched::max_live_tasks(cluster.settings());
  for (const auto& [id, job] : cluster.jobs()) {
    const std::size_t tasks = job.placeable(now) ? placeable_tasks(job, max_live) : 0;
    if (tasks == 0) continue;
    const auto [entry, first] = demands.try_emplace(job.spec.team);
    TeamDemand& demand = entry->second;
    demand.waiting += quota_used_by(job.spec.resources * static_cast<double>(tasks));
    demand.waiting_since_ms =
        first ? job.ready_ms : std::min(demand.waiting_since_ms, job.ready_ms);
  }
  for (auto& [team, demand] : demands) demand.used = allocated_quota(cluster, team);
  return demands;
}

QuotaAmounts allocated_quota(const sched::ClusterState& cluster, const std::string& team) {
  return quota_used_by(cluster.team_allocation(team) + sched::unrecorded_releases(cluster, team));
}

}  // namespace cranklock::regions
