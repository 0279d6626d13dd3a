#include "sched/failed_searches.hpp"

#include <algorithm>

#include "sched/run_time.hpp"

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

/// Whether a task of `spec` takes as long as one of `failed` on every machine, or longer.
bool takes_at_least(const wire::JobSpec& spec, const wire::JobSpec& failed) {
  const bool is_endless = stands(spec) || spec.estimate_s <= 0;
  return is_endless || (!stands(failed) && failed.estimate_s > 0 &&
                        spec.estimate_s >= failed.estimate_s && spec.image_gb >= failed.image_gb);
}

}  // namespace

bool FailedSearches::rules_out(const ClusterState& cluster, const Job& job) const {
  if (cluster.reservations().any_for_pending_tasks(job.spec.id)) return false;
  return std::any_of(failed_.begin(), failed_.end(), [&](const FailedSearch& search) {
    const wire::JobSpec& failed = search.job->spec;
    return requires_at_least(job.spec, failed) &&
           (!search.blocked_by_nomination || takes_at_least(job.spec, failed));
  });
}

void FailedSearches::record(const CandidateSet& candidates, const Job& job) {
  constexpr std::size_t kMaxEntries = 16;  // jobs have few distinct sizes
  if (candidates.blocked_by_reservation()) return;
  if (job.spec.one_zone || job.spec.spread || job.retry.failed_machines.size() == 1) return;
  if (failed_.size() < kMaxEntries) {
    failed_.push_back({&job, candidates.blocked_by_nomination()});
  }
}

}  // namespace cranklock::sched
