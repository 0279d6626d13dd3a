// What the leader wants stored of its plan of moves, against what is stored. Pure: no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "defrag/move_plan.hpp"

namespace cranklock::defrag {

/// Write ahead for plans: a plan is carried out, and a task stopped for it, only once the record
/// that says so is stored. So a successor knows of every move whose task may have left its source.
class PlanJournal {
 public:
  /// What is stored when a leader term begins.
  void load(const MoveRecord& stored) { wanted_ = stored_ = stored; }

  /// What should be stored.
  MoveRecord& wanted() { return wanted_; }
  const MoveRecord& wanted() const { return wanted_; }
  bool has_plan() const { return wanted_.plan.has_value(); }
  /// Whether a plan is stored, be it one that is over.
  bool has_stored_plan() const { return stored_.plan.has_value(); }

  /// Whether the present plan is stored.
  bool is_durable() const;
  /// Whether it is stored that the task of this move may be stopped.
  bool is_stop_durable(std::size_t move) const;
  /// What has to be written now; none: what is stored will do.
  std::optional<MoveRecord> pending_write() const;
  /// A write of this record has succeeded.
  void record_stored(const MoveRecord& record) { stored_ = record; }
  /// Forgets moves that no longer count for the budget of their job.
  void forget_past(std::int64_t wall_ms, double clock_error_s);

 private:
  MoveRecord wanted_;
  MoveRecord stored_;
};

}  // namespace cranklock::defrag
