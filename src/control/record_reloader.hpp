// Reloads job records that the leader's cluster state may not match.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "control/leader_context.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"

namespace cranklock::control {

/// Result of reading a record.
enum class RecordReadStatus {
  complete,
  unavailable,  ///< unanswered, malformed, or kept changing while it was read
};

/// Reloads records that another node has changed or that were received without their parts. A
/// record is not written until it has been reloaded. Each record is read independently, so that an
/// unreadable one delays neither the others nor the decision loop.
class RecordReloader {
 public:
  /// `upsert_job` applies a reloaded job to the cluster state. The context, and all that
  /// `upsert_job` refers to, must outlive the reloader.
  RecordReloader(LeaderContext& context, std::function<void(sched::Job)> upsert_job);

  /// Requests that `run` reloads the record of this job, retrying until it succeeds.
  void request(const std::string& id);
  bool is_requested(const std::string& id) const { return requested_.contains(id); }
  /// Serves requests until the task is destroyed. Wakes the decision loop after each record.
  net::Task<void> run();

  /// Reloads one record immediately. If there is none, removes the job from the cluster state.
  net::Task<RecordReadStatus> reload(std::string id);
  /// Adds the parts of a record to the job parsed from its main value; `record.revision` must be
  /// set. If the result is `unavailable`, the job is incomplete and must be discarded.
  net::Task<RecordReadStatus> read_parts(sched::Job& job);

 private:
  net::Task<void> reload_requested(std::string id);

  LeaderContext& context_;
  std::function<void(sched::Job)> upsert_job_;
  net::Signal requested_signal_;
  std::set<std::string> requested_;
  std::set<std::string> reads_in_progress_;
  net::Scope scope_;  ///< last member: its coroutines end before the state they use
};

}  // namespace cranklock::control
