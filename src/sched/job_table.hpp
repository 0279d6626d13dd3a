// The live jobs, by id, and what is known of the jobs that they need.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sched/change_signal.hpp"
#include "sched/dependencies.hpp"
#include "sched/job.hpp"

namespace cranklock::sched {

/// Applies to a job that was read from the store what this leader has learnt of it before: retry
/// state, cancellation, done tasks, and the state of each placement that the record still names.
/// Marks it dirty when the record has to be written again. `known` is the job as held until now.
void keep_learnt_state(Job& stored, Job& known);

/// Owns the live jobs and their dependencies, and cancels jobs whose dependencies were cancelled
/// (invariant 14). Placements are the concern of PlacementTracker.
class JobTable {
 public:
  explicit JobTable(ChangeSignal& changes) : changes_(changes) {}

  /// Adds the job, or replaces the one with its id, and applies to it what is known of the jobs
  /// that it needs.
  Job& put(Job job);
  void erase(const std::string& id);
  /// nullptr: not live.
  Job* find(const std::string& id);
  const Job* find(const std::string& id) const;
  std::map<std::string, Job>& all() { return jobs_; }
  const Dependencies& dependencies() const { return dependencies_; }

  /// Cancels the job and all live jobs that need it, directly or through others. `at_ms` is the
  /// time of day of the cancellation; `since` is a time on the steady clock not after it.
  void cancel(Job& job, std::int64_t at_ms, double since);
  /// The outcome of a job is known to be stored: jobs that need it may start, or are cancelled.
  void record_outcome(const std::string& id, const Dependencies::Outcome& outcome);
  /// Jobs that live ones need, which are not live themselves and whose outcome has yet to be read.
  std::vector<std::string> unknown_outcomes() const;

 private:
  void update_dependencies(Job& job);
  void cancel_dependents(const Job& cancelled);

  ChangeSignal& changes_;
  std::map<std::string, Job> jobs_;
  Dependencies dependencies_;
};

}  // namespace cranklock::sched
