// Attempts that agents were told to forget, and the log lines and counters about them.
#pragma once

#include <string>

#include "base/recent_map.hpp"
#include "control/leader_context.hpp"
#include "wire/agent_protocol.hpp"

namespace cranklock::control {

/// Counts `forget` commands by their reason, and notices an agent that reports a forgotten attempt
/// as live again: a copy of its start has been executed once more (invariant 5).
class ForgottenAttempts {
 public:
  /// The context must outlive this object.
  explicit ForgottenAttempts(const LeaderContext& context);

  /// Records a `forget` that is being sent to the machine's agent.
  void record(const std::string& machine, const wire::Command& forget);
  /// Logs each live task of the heartbeat that its agent was told to forget. To be called once the
  /// heartbeat has been reconciled.
  void check(const wire::Heartbeat& heartbeat);

 private:
  struct Forgotten {
    bool is_reported = false;  ///< it was logged
  };

  const LeaderContext& context_;
  base::RecentMap<Forgotten> forgotten_;  ///< by machine, task and attempt
};

}  // namespace cranklock::control
