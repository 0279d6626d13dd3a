#include "control/job_window.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "base/event_log.hpp"
#include "sched/job_memory.hpp"

namespace cranklock::control {

using sched::Job;

namespace {

constexpr double kMemoryShare = 1.0 / 8;
/// Fraction of the window that one eviction frees, so that evictions are rare.
constexpr std::size_t kEvictedFraction = 8;

/// Sort key of waiting jobs, about as in placement: the most entitled job has the smallest key.
auto entitlement(const Job& job) {
  return std::tuple(!job.dependencies_met, !job.guaranteed,
                    std::min(job.spec.priority, job.urgency.priority), job.ready_ms, job.spec.id);
}

/// The key of a job that is not held yet.
auto entitlement_of_record(const Job& job) {
  return std::tuple(!job.spec.dependencies.empty(), !job.guaranteed, job.spec.priority,
                    job.created_ms, job.spec.id);
}

}  // namespace

JobWindow::JobWindow(const LeaderContext& context, const RecordReloader& reloader,
                     OutcomeNotFound outcome_not_found)
    : context_(context),
      reloader_(reloader),
      outcome_not_found_(std::move(outcome_not_found)),
      max_bytes_(
          static_cast<std::size_t>(base::memory_bytes(context.services.settings, kMemoryShare))) {}

bool JobWindow::admit(const Job& job) {
  if (!job.placements.empty() || context_.cluster.job(job.spec.id) != nullptr) return true;
  const std::size_t bytes = sched::job_memory_bytes(job);
  if (!has_capacity_for(bytes)) {
    defer();
    return false;
  }
  waiting_bytes_ += bytes;
  return true;
}

bool JobWindow::admit_or_evict(const Job& job) {
  const bool needs_room = job.placements.empty() && context_.cluster.job(job.spec.id) == nullptr &&
                          !has_capacity_for(sched::job_memory_bytes(job));
  if (needs_room) evict(max_bytes_ / kEvictedFraction, &job);
  return admit(job);
}

void JobWindow::mark_incomplete() {
  ++change_count_;
  if (!complete_) return;
  complete_ = false;
  base::log_info("waiting jobs deferred", base::field("held", context_.cluster.jobs().size()),
                 base::field("max_bytes", max_bytes_));
}

void JobWindow::mark_complete(std::uint64_t change_count) {
  if (complete_ || change_count != change_count_) return;
  complete_ = true;
  rotation_requested_ = false;
  base::log_info("no waiting jobs deferred", base::field("held", context_.cluster.jobs().size()));
}

void JobWindow::defer() {
  ++context_.counters.jobs_deferred;
  mark_incomplete();
}

bool JobWindow::has_capacity_for(std::size_t bytes) {
  bytes = std::min(bytes, max_bytes_);  // a job that is larger than the window is held alone
  // Cheaper than a count of the waiting jobs, and enough unless there are very many jobs.
  if (context_.cluster.job_memory_bytes() + bytes <= max_bytes_) return true;
  return waiting_bytes() + bytes <= max_bytes_;
}

std::size_t JobWindow::waiting_bytes() {
  const double max_age_s = context_.services.settings.heartbeat_interval_s / 4;
  if (context_.now() < counted_at_ + max_age_s) return waiting_bytes_;
  counted_at_ = context_.now();
  waiting_bytes_ = 0;
  for (const auto& [id, job] : context_.cluster.jobs()) {
    if (job.placements.empty()) waiting_bytes_ += sched::job_memory_bytes(job);
  }
  return waiting_bytes_;
}

void JobWindow::rotate() {
  if (!rotation_requested_) return;
  rotation_requested_ = false;
  evict(max_bytes_ / kEvictedFraction, nullptr);
}

void JobWindow::evict(std::size_t bytes, const Job* job) {
  std::vector<const Job*> evictable;
  for (const auto& [id, held] : context_.cluster.jobs()) {
    if (!is_evictable(held)) continue;
    const bool yields =
        job != nullptr ? entitlement(held) > entitlement_of_record(*job) : cannot_start(held);
    if (yields) evictable.push_back(&held);
  }
  std::sort(evictable.begin(), evictable.end(), [](const Job* left, const Job* right) {
    return entitlement(*left) > entitlement(*right);
  });
  std::size_t freed = 0;
  for (const Job* held : evictable) {
    if (freed >= bytes) break;
    freed += sched::job_memory_bytes(*held);
    ++context_.counters.jobs_evicted;
    context_.cluster.remove_job(std::string(held->spec.id));
  }
  if (freed == 0) return;
  waiting_bytes_ -= std::min(waiting_bytes_, freed);
  mark_incomplete();
}

// A job whose record does not match the memory must not be evicted: an attempt number or a
// completed task that is not stored yet would be forgotten (invariants 5 and 12).
bool JobWindow::is_evictable(const Job& job) const {
  return job.placements.empty() && !job.cancelled() && !job.complete() && !job.record.dirty &&
         !reloader_.is_requested(job.spec.id) &&
         !context_.cluster.reservations().any_for_pending_tasks(job.spec.id);
}

/// Whether it is known that the job cannot start now. Guards against a job that is evicted in every
/// round before it could start.
bool JobWindow::cannot_start(const Job& job) const {
  if (job.dependencies_met) return job.considered || !job.placeable(context_.now());
  return std::any_of(job.spec.dependencies.begin(), job.spec.dependencies.end(),
                     [&](const std::string& id) {
                       return context_.cluster.job(id) != nullptr || outcome_not_found_(id);
                     });
}

}  // namespace cranklock::control
