#include "sched/stored_quota.hpp"

#include <algorithm>

#include "sched/availability.hpp"

namespace cranklock::sched {
namespace {

std::size_t count_unrecorded_releases(const Job& job) {
  if (job.cancelled()) return 0;
  return static_cast<std::size_t>(
      std::count_if(job.placements.begin(), job.placements.end(),
                    [](const Placement& placement) { return placement.ended; }));
}

/// The largest number of placements that a new leader may find in the stored record and start.
std::size_t most_stored(const Job& job) {
  return job.cancelled() ? 0 : job.record.placements.most;
}

/// The sum over the team's jobs of the resources of `count(job)` placements each.
template <typename Count>
wire::Resources sum_over_jobs(const ClusterState& cluster, const std::string& team, Count count) {
  wire::Resources sum;
  for (const auto& [id, job] : cluster.jobs()) {
    if (job.spec.team != team) continue;
    sum += job.spec.resources * static_cast<double>(count(job));
  }
  return sum;
}

}  // namespace

wire::Resources unrecorded_releases(const ClusterState& cluster, const std::string& team) {
  return sum_over_jobs(cluster, team, count_unrecorded_releases);
}

bool StoredQuota::may_write(const Job& job) {
  const std::string& team = job.spec.team;
  const std::size_t recorded = job.recorded_count();
  // Whatever is stored, this write does not add to it.
  if (job.cancelled() || recorded <= job.record.placements.least) return true;
  if (cluster_.settings().find_team(team) == nullptr) return true;
  // Every stored placement is one that is allocated or has ended.
  const wire::Resources upper_bound = cluster_.team_allocation(team) + cluster_.team_ended(team);
  if (is_within_limit(cluster_, team, upper_bound)) return true;
  const double added = static_cast<double>(recorded) - static_cast<double>(most_stored(job));
  return is_within_limit(cluster_, team,
                         stored_before(team) + batch_changes_[team] + job.spec.resources * added);
}

void StoredQuota::add(const Job& job, std::size_t placements) {
  if (job.cancelled()) return;
  const double added = static_cast<double>(placements) - static_cast<double>(most_stored(job));
  batch_changes_[job.spec.team] += job.spec.resources * added;
}

const wire::Resources& StoredQuota::stored_before(const std::string& team) {
  const auto [entry, is_new] = stored_before_.try_emplace(team);
  if (is_new) entry->second = sum_over_jobs(cluster_, team, most_stored);
  return entry->second;
}

}  // namespace cranklock::sched
