// Reads deferred jobs, those that the leader does not hold, from the key-value store.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "control/job_window.hpp"
#include "control/leader_context.hpp"
#include "control/record_reloader.hpp"
#include "net/task.hpp"
#include "wire/store_api.hpp"

namespace cranklock::control {

/// While jobs are deferred, reads the stored jobs page by page, round and round, and holds those
/// that the window admits. Each deferred job is thus considered by a placement pass in every round,
/// however many jobs are queued before it (invariant 21).
class JobPager {
 public:
  /// `upsert_job` holds a job in the cluster state. All arguments must outlive the pager.
  JobPager(LeaderContext& context, RecordReloader& reloader, JobWindow& window,
           std::function<void(sched::Job)> upsert_job);

  /// Reads pages until the task is destroyed.
  net::Task<void> run();
  /// Records that the job's record has changed: a page that is being read may show the state before
  /// that.
  void note_change(const std::string& job_id);

 private:
  net::Task<void> read_page();
  /// Holds the jobs of a page, except those that have changed since it was read, until the window
  /// is full.
  void hold_page(const wire::RangePage& page, const std::set<std::string>& changed);
  /// Returns false if the window has no room for the job.
  bool hold(const wire::StoredValue& value);

  LeaderContext& context_;
  RecordReloader& reloader_;
  JobWindow& window_;
  std::function<void(sched::Job)> upsert_job_;
  std::string after_;  ///< key of the last job considered in this round; empty: none
  std::uint64_t change_count_at_round_start_ = 0;
  double page_took_s_ = 0;  ///< to parse and hold the last page
  bool reading_ = false;
  std::set<std::string> changed_while_reading_;  ///< ids of jobs
};

}  // namespace cranklock::control
