// Decides which waiting jobs the leader holds in memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "control/leader_context.hpp"
#include "control/record_reloader.hpp"

namespace cranklock::control {

/// The leader holds every job with placements. Jobs without placements are held as far as a share
/// of the memory limit allows; the others are deferred: they stay in the key-value store alone, and
/// JobPager reads them again. So neither the number nor the size of waiting jobs determines how
/// much memory the leader takes (invariant 23). To the scheduler a deferred job is one that has not
/// been read yet; clients are answered from the store, whether or not it is held.
class JobWindow {
 public:
  /// Whether the outcome of a job was looked up and not found.
  using OutcomeNotFound = std::function<bool(const std::string& job_id)>;

  /// The arguments, and all that the function refers to, must outlive the window.
  JobWindow(const LeaderContext& context, const RecordReloader& reloader,
            OutcomeNotFound outcome_not_found);

  /// Whether the leader may hold the job, as read from its record. If not, the job counts as
  /// deferred.
  bool admit(const sched::Job& job);
  /// As admit(), but first evicts waiting jobs that are less entitled. To be called only while no
  /// write of a record is in progress.
  bool admit_or_evict(const sched::Job& job);

  /// Whether every stored job is held, as far as known.
  bool is_complete() const { return complete_; }
  /// Records that some stored job may not be held.
  void mark_incomplete();
  /// Records that all stored jobs have been read since the state with this change count and each
  /// was held. No effect if any job has been deferred since.
  void mark_complete(std::uint64_t change_count);
  /// Increases with each deferred or evicted job.
  std::uint64_t change_count() const { return change_count_; }

  /// Requests that held jobs which cannot be placed make room for deferred ones.
  void request_rotation() { rotation_requested_ = true; }
  /// Carries out a requested rotation: evicts the least entitled waiting jobs among those that a
  /// placement pass has considered. To be called only while no write of a record is in progress.
  void rotate();

 private:
  bool has_capacity_for(std::size_t bytes);
  std::size_t waiting_bytes();
  void defer();
  /// Evicts waiting jobs, the least entitled first, until `bytes` are freed: those less entitled
  /// than `job` or, if that is null, those that cannot start.
  void evict(std::size_t bytes, const sched::Job* job);
  bool is_evictable(const sched::Job& job) const;
  bool cannot_start(const sched::Job& job) const;

  const LeaderContext& context_;
  const RecordReloader& reloader_;
  OutcomeNotFound outcome_not_found_;
  std::size_t max_bytes_;  ///< of the held waiting jobs
  bool complete_ = true;
  bool rotation_requested_ = false;
  std::uint64_t change_count_ = 0;
  double counted_at_ = -1e9;       ///< when the waiting jobs were last counted
  std::size_t waiting_bytes_ = 0;  ///< at that time, plus what has been admitted since
};

}  // namespace cranklock::control
