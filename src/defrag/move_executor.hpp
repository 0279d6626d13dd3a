// Carries out the plan of moves that is stored. Pure: no I/O, time passed in; what it wants stored
// and asked of the router is handed out.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "defrag/drain.hpp"
#include "defrag/fleet_view.hpp"
#include "defrag/move_budget.hpp"
#include "defrag/move_plan.hpp"
#include "defrag/plan_check.hpp"
#include "defrag/plan_search.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::defrag {

/// Goes through the moves of one plan at a time: reserved -> (draining ->) stopping -> freed ->
/// restarting -> done, or dropped at any step.
///
/// It grants nothing (invariant 17): a stop is an ordinary request to stop, made only once it is
/// stored that it may be, and the start on the target is placement's, in room that is reserved for
/// it. How far a move is follows from placements, so that a successor that reads the same record
/// comes to the same step. All reservations go with the plan (invariant 19).
class MoveExecutor {
 public:
  /// Made when a term begins, with the fencing token of its leader. `services`: a router drains
  /// replicas.
  MoveExecutor(sched::ClusterState& cluster, std::uint64_t fencing_token, bool services, double now)
      : cluster_(cluster),
        fencing_token_(fencing_token),
        services_(services),
        began_(now),
        budget_({}) {}

  /// Takes over what is stored, once, before anything else.
  void load(const MoveRecord& stored, std::int64_t wall_ms, double now);

  /// Goes on with the plan as far as is possible now, or drops it.
  void advance(std::int64_t wall_ms, double now);

  /// Looks for a plan where there is none. `max_bytes` bounds its record.
  void look(std::size_t max_bytes, std::int64_t wall_ms, double now);
  bool has_plan() const { return wanted_.plan.has_value(); }
  /// Drops the plan, whatever its step.
  void drop(DropReason reason, double now);

  /// What should be stored; nothing where what is stored will do.
  std::optional<MoveRecord> to_store() const;
  const MoveRecord& wanted() const { return wanted_; }
  void note_stored(const MoveRecord& record);

  /// Drains that should be asked for, or taken back, now.
  std::vector<DrainRequest> take_due_drains(double now);
  /// `sent` is when the request left; no answer: it was not answered, or not to the point.
  void drain_answered(const DrainRequest& request, const std::optional<DrainAnswer>& answer,
                      double sent, double now);

  /// Whether reservations or stops have changed since the last call, so that placement and commands
  /// have something to do.
  bool take_acted() { return std::exchange(acted_, false); }
  /// What an operator should hear of, a line each.
  std::vector<std::string> take_log_lines() { return std::exchange(log_lines_, {}); }

 private:
  /// What only this leader knows of a move.
  struct Progress {
    double begun = 0;  ///< 0: not yet
    bool ended = false;
    double drain_begun = 0, drain_asked = 0;
    bool drain_under_way = false;
    double drained_until = 0;
    double refused_at = 0;  ///< the router knows nothing of the drain any more; 0: it does
  };
  /// Machines have had the time to report to this leader.
  bool knows_fleet(double now) const;
  bool is_durable() const;
  bool stop_is_durable(std::size_t move) const;
  MoveRules rules(double now) const;
  sched::Placement* source_placement(const PlannedMove& move);
  bool moves_replica(const PlannedMove& move) const;

  void follow_moves(double now);
  MoveStep step_of(const PlannedMove& move);
  void begin_moves(std::int64_t wall_ms, double now);
  void begin_move(std::size_t index, std::int64_t wall_ms, double now);
  void stop_drained(double now);
  void drain_refused(std::size_t index, double now);
  bool is_refused_for_good(double now) const;
  void request_stops(double now);
  void end_move(std::size_t index, double now);
  bool is_over() const;
  void end_plan(std::string log_line, double now);
  void update_reservations();
  void forget_past(std::int64_t wall_ms);

  sched::ClusterState& cluster_;
  std::uint64_t fencing_token_;
  bool services_;
  double began_;
  MoveBudget budget_;
  MoveRecord wanted_, stored_;
  std::vector<Progress> progress_;            ///< of the plan's moves
  double plan_known_ = 0;                     ///< since when this leader has the plan
  bool placed_ = false;                       ///< the waiting job has its room
  std::uint64_t plans_ = 0;                   ///< of this leader
  std::map<std::string, double> not_before_;  ///< next plan for a job whose plan was dropped
  std::vector<DrainRequest> take_back_;       ///< drains of a plan that is over
  std::vector<std::string> log_lines_;
  bool acted_ = false;
};

}  // namespace cranklock::defrag
