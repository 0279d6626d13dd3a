// Reads how dependencies of live jobs ended, where the leader has not seen it itself.
#pragma once

#include <map>
#include <set>
#include <string>

#include "control/leader_context.hpp"
#include "net/task.hpp"

namespace cranklock::control {

/// Reads outcomes after a failover, and for jobs submitted after the end of a dependency. Each is
/// read once for all dependents, a few at a time, beside everything else that the leader does. A
/// job whose dependencies' outcomes are not all known waits, and holds up no other (invariant 14).
class OutcomeReader {
 public:
  /// The context outlives the reader.
  explicit OutcomeReader(LeaderContext& context) : context_(context) {}

  /// Begins to read the outcomes that are not known, and wakes the decision loop after each. Called
  /// in each round of that loop: a read that failed is repeated only then, after a pause.
  void read_unknown();

 private:
  net::Task<void> read_one(std::string id);

  LeaderContext& context_;
  std::set<std::string> reading_;
  std::map<std::string, double> retry_at_;  ///< by job whose outcome was not found
  net::Scope scope_;                        ///< last, so that its routines end before what they use
};

}  // namespace cranklock::control
