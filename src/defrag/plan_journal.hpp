// The desired state of the leader's plan of moves versus the stored state. Pure: no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "defrag/move_plan.hpp"

namespace cranklock::defrag {

/// Write-ahead log for plans: a plan is carried out, and a task is stopped for it, only once the
/// record that allows it is stored. A successor therefore knows every move whose task may have left
/// its source.
class PlanJournal {
 public:
  /// Sets the stored state at the start of a leader term.
  void load(const MoveRecord& stored) { desired_ = stored_ = stored; }

  /// The record that should be stored.
  MoveRecord& desired() { return desired_; }
  const MoveRecord& desired() const { return desired_; }
  bool has_plan() const { return desired_.plan.has_value(); }
  /// Whether a plan is stored, even one that has ended.
  bool has_stored_plan() const { return stored_.plan.has_value(); }

  /// Whether the current plan is stored; the stored steps of its moves may be earlier ones.
  bool is_durable() const;
  /// Whether the stored record permits the stop of this move's task.
  bool is_stop_durable(std::size_t move) const;
  /// The record to write now; none if the stored record is sufficient.
  std::optional<MoveRecord> pending_write() const;
  /// A write of this record has succeeded.
  void record_stored(const MoveRecord& record) { stored_ = record; }
  /// Removes moves that no longer count against the budget of their job, whatever the clock error.
  void prune_past_moves(std::int64_t wall_ms, double clock_error_s);

 private:
  MoveRecord desired_;
  MoveRecord stored_;
};

}  // namespace cranklock::defrag
