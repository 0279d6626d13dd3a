// Reads job records anew of which the leader's cluster state may be wrong.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "control/leader_context.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"

namespace cranklock::control {

/// Whether a record could be read.
enum class RecordRead {
  complete,
  unavailable,  ///< not answered, malformed, or changed again and again while it was read
};

/// Records that somebody else has changed, or that were seen in part only. Until such a record has
/// been read it is not written. Each is read by itself, so that one that can't be read holds up
/// neither the others nor decisions.
class RecordReloader {
 public:
  /// `upsert_job` applies what was read to the cluster state. All that is referred to outlives the
  /// reloader.
  RecordReloader(LeaderContext& context, std::function<void(sched::Job)> upsert_job);

  /// Has the record of this job read by `run`; repeated until it could be read.
  void request(const std::string& id);
  bool is_requested(const std::string& id) const { return requested_.contains(id); }
  /// Reads what is requested, until it is destroyed. Wakes the decision loop after each record.
  net::Task<void> run();

  /// Reads one record now. A job without one is removed from the cluster state.
  net::Task<RecordRead> reload(std::string id);
  /// Adds the parts of a record to the job of its main value, whose revision is set. If they are
  /// unavailable the job is incomplete and must be discarded.
  net::Task<RecordRead> read_parts(sched::Job& job);

 private:
  net::Task<void> reload_requested(std::string id);

  LeaderContext& context_;
  std::function<void(sched::Job)> upsert_job_;
  net::Signal requested_signal_;
  std::set<std::string> requested_;
  std::set<std::string> reading_;
  net::Scope scope_;  ///< last, so that its routines end before what they use
};

}  // namespace cranklock::control
