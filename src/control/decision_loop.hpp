// The leader's decisions: placement passes, and the records that make them durable.
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

/// Takes in what has changed, runs a placement pass, writes the records of the jobs that it has
/// changed, and sends the commands that are then durable (invariant 2); over and over, in this
/// order, so that no pass runs while a record is being written.
class DecisionLoop {
 public:
  /// The parts of the term that the loop drives. They outlive it.
  struct Parts {
    JobWatcher& jobs;
    OutcomeReader& outcomes;
    RecordWriter& writer;
    CommandSender& commands;
    PoolScaler& scaler;
    regions::QuotaService* quota_shares;  ///< nullptr: quota is not shared between regions
    MoveService* moves;                   ///< nullptr: the operator allows no moves
  };

  /// Made when the term begins. All that is referred to outlives the loop.
  DecisionLoop(const LeaderContext& context, Parts parts);

  /// Decides until the leadership is lost.
  net::Task<void> run();
  /// A job has come, or one that others depend on has ended: a placement pass goes before records
  /// that still wait to be written.
  void expedite_pass() { pass_expedited_ = true; }

 private:
  bool is_pass_due();
  void run_pass();
  void log_shortfall(const sched::Shortfall& shortfall) const;
  void log_advice();
  net::Task<void> write_records();

  const LeaderContext& context_;
  Parts parts_;
  std::unique_ptr<defrag::Advisor> advisor_;  ///< nullptr: the operator wants no advice
  double last_pass_at_ = 0;
  double next_pass_at_ = 0;  ///< no placement pass before this time
  bool pass_expedited_ = false;
};

}  // namespace cranklock::control
