// Runs the leader's placement passes and writes the records that make their results durable.
#pragma once

#include <memory>

#include "control/command_sender.hpp"
#include "control/job_watcher.hpp"
#include "control/leader_context.hpp"
#include "control/move_service.hpp"
#include "control/outcome_reader.hpp"
#include "control/pool_scaler.hpp"
#include "control/record_writer.hpp"
#include "defrag/advisor.hpp"
#include "net/task.hpp"
#include "regions/quota_service.hpp"

namespace cranklock::control {

/// Repeats these steps in order: apply changes, run a placement pass, write the records of the jobs
/// that the pass has changed, and send the commands whose placements are then durable (invariant
/// 2). No pass runs while a record is being written.
class DecisionLoop {
 public:
  /// The components of the term that the loop calls. They must outlive it.
  struct Components {
    JobWatcher& jobs;
    OutcomeReader& outcomes;
    RecordWriter& writer;
    CommandSender& commands;
    PoolScaler& scaler;
    regions::QuotaService* quota_shares;  ///< nullptr: quota is not shared between regions
    MoveService* moves;                   ///< nullptr: moves are disabled in the settings
  };

  /// Created when the term begins. All referenced objects must outlive the loop.
  DecisionLoop(const LeaderContext& context, Components components);

  /// Runs until the leadership is lost.
  net::Task<void> run();
  /// Requests a placement pass ahead of pending record writes, because a job was accepted or
  /// one that others depend on is done.
  void expedite_pass() { pass_expedited_ = true; }

 private:
  bool is_pass_due();
  void run_pass();
  void log_shortfall(const sched::Shortfall& shortfall) const;
  void log_advice();
  net::Task<void> write_records();

  const LeaderContext& context_;
  Components components_;
  std::unique_ptr<defrag::Advisor> advisor_;  ///< nullptr: advice is disabled in the settings
  double last_pass_at_ = 0;
  double next_pass_at_ = 0;  ///< no placement pass before this time
  bool pass_expedited_ = false;
};

}  // namespace cranklock::control
