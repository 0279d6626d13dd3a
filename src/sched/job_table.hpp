// The live jobs by id, and the known outcomes of their dependencies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sched/change_signal.hpp"
#include "sched/dependencies.hpp"
#include "sched/job.hpp"

namespace cranklock::sched {

/// Copies the runtime state of `known`, the job as held until now, to `stored`, the job as read
/// from the state service: retry state, cancellation, completed tasks, and the state of each
/// placement that the record still contains. Marks the job dirty if its record has to be written
/// again.
void carry_over_runtime_state(Job& stored, Job& known);

/// Owns the live jobs and their dependencies, and cancels jobs whose dependencies were cancelled
/// (invariant 14). PlacementTracker manages placements.
class JobTable {
 public:
  explicit JobTable(ChangeSignal& changes) : changes_(changes) {}

  /// Adds the job, or replaces the one with its id, and applies the known outcomes of its
  /// dependencies to it.
  Job& put(Job job);
  void erase(const std::string& id);
  /// nullptr: the job is not live.
  Job* find(const std::string& id);
  const Job* find(const std::string& id) const;
  std::map<std::string, Job>& all() { return jobs_; }
  const std::map<std::string, Job>& all() const { return jobs_; }
  const Dependencies& dependencies() const { return dependencies_; }
  /// The sum of job_memory_bytes() over all live jobs, as of when each was put.
  std::size_t memory_bytes() const { return memory_bytes_; }

  /// Cancels the job and all its live direct and transitive dependents. `at_ms` is the time of day
  /// of the cancellation; `since` is a lower bound of it on the steady clock.
  void cancel(Job& job, std::int64_t at_ms, double since);
  /// Records the stored outcome of a job: its dependents may start, or are cancelled.
  void record_outcome(const std::string& id, const Dependencies::Outcome& outcome);
  /// The dependencies of live jobs that are not live themselves and whose outcome has not been
  /// read.
  std::vector<std::string> unknown_outcomes() const;

 private:
  void update_dependencies(Job& job);
  void cancel_dependents(const Job& cancelled);

  ChangeSignal& changes_;
  std::map<std::string, Job> jobs_;
  std::size_t memory_bytes_ = 0;
  Dependencies dependencies_;
};

}  // namespace cranklock::sched
