#include "sched/failed_searches.hpp"

#include <algorithm>

namespace cranklock::sched {
namespace {

/// The number of tasks that have to be placed at the same time.
std::uint32_t tasks_together(const wire::JobSpec& spec) {
  return spec.kind == wire::JobKind::gang ? spec.tasks : 1;
}

/// Whether all machines suitable for `spec` together would also have been suitable for `failed`.
bool requires_at_least(const wire::JobSpec& spec, const wire::JobSpec& failed) {
  return tasks_together(spec) >= tasks_together(failed) &&
         failed.resources.fits_in(spec.resources) && (failed.spot || !spec.spot) &&
         (failed.types.empty() || failed.types == spec.types) &&
         (failed.zone.empty() || failed.zone == spec.zone);
}

}  // namespace

bool FailedSearches::rules_out(const ClusterState& cluster, const Job& job) const {
  if (cluster.reservations().any_for_pending_tasks(job.spec.id)) return false;
  return std::any_of(failed_.begin(), failed_.end(),
                     [&](const Job* failed) { return requires_at_least(job.spec, failed->spec); });
}

void FailedSearches::record(const CandidateSet& candidates, const Job& job) {
  constexpr std::size_t kMaxEntries = 16;  // jobs have few distinct sizes
  if (candidates.blocked_by_reservation()) return;
  if (job.spec.one_zone || job.spec.spread || job.retry.failed_machines.size() == 1) return;
  if (failed_.size() < kMaxEntries) failed_.push_back(&job);
}

}  // namespace cranklock::sched
