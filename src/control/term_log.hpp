// Log lines by which the starts and ends of placements in a leader's term can be traced.
#pragma once

#include <cstdint>
#include <string>

#include "control/leader_context.hpp"
#include "net/task.hpp"
#include "wire/types.hpp"

namespace cranklock::control {

/// How a start was sent.
enum class StartChannel { heartbeat_response, command };

/// Counts starts and ends, and logs them at debug level. At info level it logs what was loaded and,
/// once a minute, the counters.
class TermLog {
 public:
  /// The context must outlive this object.
  explicit TermLog(LeaderContext& context) : context_(context) {}

  /// Logs what was read at the begin of the term, as of this revision, and each team whose stored
  /// placements exceed its limit.
  void log_loaded(std::uint64_t revision) const;
  void record_end(const sched::Job& job, const sched::Placement& placement,
                  sched::EndProof proof) const;
  /// Logs the counters at intervals until cancelled.
  net::Task<void> run() const;
  /// Logs the counters.
  void log_counters() const;

 private:
  LeaderContext& context_;
};

/// Counts a start that is being sent, and logs it with what it rests on: the team's allocation and
/// limit, and how old the leader's knowledge is.
void record_start(const LeaderContext& context, const wire::TaskName& task,
                  const std::string& machine, StartChannel channel);

}  // namespace cranklock::control
