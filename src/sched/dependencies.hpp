// Which live jobs need which others, and how those ended. Pure: no I/O, time passed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranklock::sched {

/// The needs of live jobs and the outcomes that are known of what they need.
///
/// It enforces invariant 14: a job's needs are met only when `done` is known to be stored for each
/// of them, from this leader's own answered write or from a read of the stored outcome. An outcome
/// never changes, so what is noted once stays. Only what a live job needs is kept, which bounds the
/// memory; the graph may hold any cycle, as nothing here follows it by recursion.
class Dependencies {
 public:
  enum class Resolution { unknown, done, cancelled };
  struct Outcome {
    Resolution resolution = Resolution::unknown;
    /// Time of day at which it ended, or was cancelled; 0: not known.
    std::int64_t at_ms = 0;
    double since = 0;  ///< the same on the steady clock, at the earliest, of a cancellation
  };

  /// A live job and the jobs it needs, which stay the same for as long as it lives. May be
  /// repeated.
  void add(const std::string& job, const std::vector<std::string>& dependencies);
  /// The job is not live any more. What is known of its own ending is kept for those that need it.
  void remove(const std::string& job);

  /// The outcome of a job is known to be stored. Of no effect when no live job needs it.
  void record_outcome(const std::string& dependency, const Outcome& outcome);

  bool empty() const { return dependencies_.empty(); }
  bool has_dependents(const std::string& job) const { return by_dependency_.contains(job); }
  /// Every job that it needs is known to have ended with `done`.
  bool met(const std::string& job) const;
  /// The outcome of a job that it needs and that was cancelled, if any is known.
  std::optional<Outcome> cancellation(const std::string& job) const;
  /// When the last of the jobs that it needs ended, as far as that is known; 0 otherwise.
  std::int64_t met_ms(const std::string& job) const;
  /// The live jobs that need this one, directly.
  const std::set<std::string>& dependents(const std::string& job) const;
  /// The jobs that a live job needs, directly; empty for any other.
  const std::vector<std::string>& dependencies_of(const std::string& job) const;
  /// Needed jobs whose outcome is not known.
  std::vector<std::string> unknown() const;

 private:
  struct Dependency {
    std::set<std::string> dependents;
    Outcome outcome;
  };
  std::map<std::string, std::vector<std::string>> dependencies_;  ///< by live job, where it has any
  std::map<std::string, Dependency> by_dependency_;
};

}  // namespace cranklock::sched
