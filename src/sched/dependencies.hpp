// The dependency graph of live jobs, and the known outcomes of their dependencies.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranklock::sched {

/// The dependencies of live jobs, and the known outcomes of those dependencies.
///
/// Enforces invariant 14: the dependencies of a job are met only once `done` is known to be stored
/// for each of them, from an acknowledged write of this leader or from a read of the stored
/// outcome. An outcome never changes, so the first one recorded is kept. Only outcomes on which a
/// live job depends are kept, which bounds memory use. The graph may contain cycles, so it is not
/// traversed recursively.
class Dependencies {
 public:
  enum class Resolution { unknown, done, cancelled };
  struct Outcome {
    Resolution resolution = Resolution::unknown;
    std::int64_t at_ms = 0;  ///< wall-clock time of completion or cancellation; 0: not known
    double since = 0;        ///< if cancelled: steady-clock lower bound of the cancellation time
  };

  /// Adds a live job and its dependencies, which never change. Idempotent.
  void add(const std::string& job, const std::vector<std::string>& dependencies);
  /// Removes a job that is no longer live. Its own outcome is kept for its dependents.
  void remove(const std::string& job);

  /// Records that the outcome of this job is stored. No effect if no live job depends on it, or if
  /// its outcome is already known.
  void record_outcome(const std::string& dependency, const Outcome& outcome);

  /// Whether no live job has dependencies.
  bool empty() const { return dependencies_.empty(); }
  /// Whether a live job depends on this one.
  bool has_dependents(const std::string& job) const { return by_dependency_.contains(job); }
  /// Whether all dependencies of the job are known to be done.
  bool met(const std::string& job) const;
  /// The outcome of a cancelled dependency of the job, if one is known.
  std::optional<Outcome> cancellation(const std::string& job) const;
  /// Wall-clock time at which the last dependency ended, as far as known; 0: not known.
  std::int64_t met_at_ms(const std::string& job) const;
  /// The live jobs that directly depend on this one.
  const std::set<std::string>& dependents(const std::string& job) const;
  /// The direct dependencies of a live job; empty for any other job.
  const std::vector<std::string>& dependencies_of(const std::string& job) const;
  /// Dependencies of live jobs whose outcome is not known.
  std::vector<std::string> unresolved() const;

 private:
  struct Dependency {
    std::set<std::string> dependents;
    Outcome outcome;
  };
  std::map<std::string, std::vector<std::string>> dependencies_;  ///< by live job with dependencies
  std::map<std::string, Dependency> by_dependency_;  ///< by job on which live jobs depend
};

}  // namespace cranklock::sched
