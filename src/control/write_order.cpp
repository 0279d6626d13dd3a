#include "control/write_order.hpp"

#include <algorithm>
#include <cstddef>

namespace cranklock::control {

using sched::Job;

namespace {

constexpr double kDoneLag = 3;  ///< seconds; users expect `done` so soon after the last task

/// The jobs to write by class; a class keeps the order in which its jobs were added.
struct JobsByClass {
  std::vector<Job*> overdue, starts, other;

  std::vector<Job*>& of(WriteClass write_class) {
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

/// The job is cancelled and none of its tasks can be on a machine any more.
bool is_cancelled_and_gone(const Job& job) {
  return job.cancelled() && job.live_count() == 0;
}

bool has_unwritten_starts(const Job& job) {
  return std::any_of(
      job.placements.begin(), job.placements.end(),
      [](const sched::Placement& placement) { return !placement.durable() && !placement.ended; });
}

/// How long a changed record may wait. Users are told of a cancellation as soon as it is confirmed,
/// or found in a dependency; the record of a cancelled job without tasks has more time, so that
/// hundreds cancelled at once hold up nothing else.
double max_wait_s(const Job& job, double cancel_s) {
  return is_cancelled_and_gone(job) ? cancel_s / 4 : kDoneLag / 3;
}

WriteClass classify(const Job& job, const sched::Dependencies& dependencies,
                    const WriteOrderContext& context) {
  if (context.now - job.record.dirty_since > max_wait_s(job, context.cancel_s))
    return WriteClass::overdue;
  const bool releases_dependents =
      !is_cancelled_and_gone(job) && job.complete() && dependencies.has_dependents(job.spec.id);
  if (has_unwritten_starts(job) || releases_dependents) return WriteClass::starts;
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
    if (is_cancelled_and_gone(job)) job.record.dirty = true;
    if (!job.record.dirty || context.is_reloading(id)) continue;
    if (job.record.dirty_since == 0) job.record.dirty_since = context.now;
    jobs.of(classify(job, cluster.dependencies(), context)).push_back(&job);
  }
  std::stable_sort(jobs.overdue.begin(), jobs.overdue.end(), [](const Job* left, const Job* right) {
    return left->record.dirty_since < right->record.dirty_since;
  });
  return interleave(jobs);
}

}  // namespace cranklock::control
