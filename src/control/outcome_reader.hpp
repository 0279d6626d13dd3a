// Reads the outcomes of dependencies that ended without being observed by this leader.
#pragma once

#include <map>
#include <set>
#include <string>

#include "control/leader_context.hpp"
#include "net/task.hpp"

namespace cranklock::control {

/// Reads outcomes after a failover, and for jobs submitted after a dependency ended. Each outcome
/// is read once for all dependents. A few reads run concurrently in the background. A job waits
/// until the outcomes of all its dependencies are known, and does not delay other jobs (invariant
/// 14).
class OutcomeReader {
 public:
  /// The context must outlive the reader.
  explicit OutcomeReader(LeaderContext& context) : context_(context) {}

  /// Starts reads of the unknown outcomes, and wakes the decision loop after each one found. Called
  /// in each round of that loop, which also retries failed reads after a delay.
  void read_unknown_outcomes();
  /// Whether the outcome was looked up and not found, and is not to be looked up again yet.
  bool was_not_found(const std::string& id) const { return retry_at_.contains(id); }

 private:
  net::Task<void> read_and_record(std::string id);

  LeaderContext& context_;
  std::set<std::string> reads_in_progress_;
  double retry_interval_s_ = 0;
  std::map<std::string, double> retry_at_;  ///< by id of the job whose outcome was not found
  net::Scope scope_;  ///< last member: its coroutines end before the state they use
};

}  // namespace cranklock::control
