// Which live jobs need which others, and what is known of how those ended.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranklock::sched {

/// The dependencies of live jobs, and the known outcomes of the jobs that they need.
///
/// Enforces invariant 14: the dependencies of a job are met only when `done` is known to be stored
/// for each of them, from an answered write of this leader or from a read of the stored outcome. An
/// outcome never changes, so the first one recorded stays. Only outcomes that a live job needs are
/// kept, which bounds the memory. The graph may contain cycles: nothing here follows it by
/// recursion.
class Dependencies {
 public:
  enum class Resolution { unknown, done, cancelled };
  struct Outcome {
    Resolution resolution = Resolution::unknown;
    std::int64_t at_ms = 0;  ///< time of day of its end or cancellation; 0: not known
    double since = 0;        ///< of a cancellation: a time on the steady clock not after it
  };

  /// Adds a live job and the jobs that it needs, which never change. Of no effect when repeated.
  void add(const std::string& job, const std::vector<std::string>& dependencies);
  /// Removes a job that is not live any more. Its own outcome is kept for its dependents.
  void remove(const std::string& job);

  /// The outcome of this job is known to be stored. Of no effect when no live job needs it, or when
  /// its outcome is known already.
  void record_outcome(const std::string& dependency, const Outcome& outcome);

  /// No live job needs another.
  bool empty() const { return dependencies_.empty(); }
  /// Some live job needs this one.
  bool has_dependents(const std::string& job) const { return by_dependency_.contains(job); }
  /// All jobs that it needs are known to be done.
  bool met(const std::string& job) const;
  /// The outcome of a cancelled job that it needs; none: no such cancellation is known.
  std::optional<Outcome> cancellation(const std::string& job) const;
  /// Time of day at which the last of the jobs that it needs ended, as far as known; 0: not known.
  std::int64_t met_ms(const std::string& job) const;
  /// The live jobs that need this one, directly.
  const std::set<std::string>& dependents(const std::string& job) const;
  /// The jobs that a live job needs, directly; empty for any other.
  const std::vector<std::string>& dependencies_of(const std::string& job) const;
  /// Jobs that live ones need and whose outcome is not known.
  std::vector<std::string> unknown() const;

 private:
  struct Dependency {
    std::set<std::string> dependents;
    Outcome outcome;
  };
  std::map<std::string, std::vector<std::string>> dependencies_;  ///< by live job that has any
  std::map<std::string, Dependency> by_dependency_;               ///< by job that live ones need
};

}  // namespace cranklock::sched
