#include "control/write_order.hpp"

#include <algorithm>
#include <cstddef>

namespace cranklock::control {

using sched::Job;

namespace {

/// Seconds within which users expect the state `done` after the last task has ended.
constexpr double kMaxDoneLagS = 3;

/// The jobs to write, by class; each class preserves insertion order.
struct JobsByClass {
  std::vector<Job*> overdue, starts, other;

  std::vector<Job*>& in_class(WriteClass write_class) {
    switch (write_class) {
      case WriteClass::overdue:
        return overdue;
      case WriteClass::starts:
        return starts;
      case WriteClass::other:
        break;
    }
    return other;
  }
};

/// Whether the job is cancelled and none of its tasks can still be on a machine.
bool is_cancelled_and_stopped(const Job& job) {
  return job.cancelled() && job.live_count() == 0;
}

bool has_undurable_placements(const Job& job) {
  return std::any_of(
      job.placements.begin(), job.placements.end(),
      [](const sched::Placement& placement) { return !placement.durable() && !placement.ended; });
}

/// Maximum wait of a changed record, in seconds. The outcome of a cancelled job without live
/// placements may wait longer, because the cancellation is reported to users as soon as it is
/// confirmed or found in a dependency, before the outcome is written. So hundreds of jobs cancelled
/// at once do not delay other writes.
double max_wait_s(const Job& job, double cancel_s) {
  return is_cancelled_and_stopped(job) ? cancel_s / 4 : kMaxDoneLagS / 3;
}

WriteClass classify(const Job& job, const sched::Dependencies& dependencies,
                    const WriteOrderContext& context) {
  if (context.now - job.record.dirty_since > max_wait_s(job, context.cancel_s))
    return WriteClass::overdue;
  const bool releases_dependents =
      !is_cancelled_and_stopped(job) && job.complete() && dependencies.has_dependents(job.spec.id);
  if (has_undurable_placements(job) || releases_dependents) return WriteClass::starts;
  return WriteClass::other;
}

std::vector<Job*> interleave(const JobsByClass& jobs) {
  const auto& [overdue, starts, other] = jobs;
  std::vector<Job*> order;
  for (std::size_t i = 0; i < std::max(overdue.size(), starts.size()); ++i) {
    if (i < overdue.size()) order.push_back(overdue[i]);
    if (i < starts.size()) order.push_back(starts[i]);
  }
  order.insert(order.end(), other.begin(), other.end());
  return order;
}

}  // namespace

std::vector<Job*> order_writes(sched::ClusterState& cluster, const WriteOrderContext& context) {
  JobsByClass jobs;
  for (auto& [id, job] : cluster.jobs()) {
    if (is_cancelled_and_stopped(job)) job.record.dirty = true;
    if (!job.record.dirty || context.is_reloading(id)) continue;
    if (job.record.dirty_since == 0) job.record.dirty_since = context.now;
    jobs.in_class(classify(job, cluster.dependencies(), context)).push_back(&job);
  }
  std::stable_sort(jobs.overdue.begin(), jobs.overdue.end(), [](const Job* left, const Job* right) {
    return left->record.dirty_since < right->record.dirty_since;
  });
  return interleave(jobs);
}

}  // namespace cranklock::control
