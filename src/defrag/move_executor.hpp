// Carries out the stored plan of moves. Pure: no I/O, time passed in; records to store and drain
// requests for the router are returned to the caller.
#pragma once

#include <cstddef>
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
#include "defrag/plan_events.hpp"
#include "defrag/plan_journal.hpp"
#include "defrag/plan_search.hpp"
#include "defrag/replica_drain.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::defrag {

/// Carries out the moves of one plan at a time: reserved -> (draining ->) stopping -> freed ->
/// restarting -> done, or dropped at any step.
///
/// It places nothing itself (invariant 17): a stop is an ordinary stop request, made only once the
/// record that allows it is stored; placement decides the start on the target, in resources
/// reserved for it. All reservations end with the plan (invariant 19).
class MoveExecutor {
 public:
  /// Constructed when a leader term begins, with the fencing token of the leader.
  /// `allow_replica_moves`: a router drains replicas, so they may move.
  MoveExecutor(sched::ClusterState& cluster, std::uint64_t fencing_token, bool allow_replica_moves,
               double now)
      : cluster_(cluster),
        fencing_token_(fencing_token),
        allow_replica_moves_(allow_replica_moves),
        term_started_at_(now),
        budget_({}) {}

  /// Adopts the stored record. Called before any other function, and only if there is a readable
  /// record.
  void load(const MoveRecord& stored, std::int64_t wall_ms, double now);

  /// Advances the plan as far as possible now, or drops it.
  void advance(std::int64_t wall_ms, double now);

  /// Searches for a plan if there is none. `max_bytes` limits the size of its record.
  void search(std::size_t max_bytes, std::int64_t wall_ms, double now);
  bool has_plan() const { return journal_.has_plan(); }
  /// Drops the plan at any step; no effect if there is none.
  void drop(DropReason reason, double now);

  /// The record to store now; none if the stored record is sufficient.
  std::optional<MoveRecord> pending_write() const { return journal_.pending_write(); }
  /// The record that should be stored, whether or not it is.
  const MoveRecord& desired() const { return journal_.desired(); }
  /// Records that a write of this record has succeeded.
  void record_stored(const MoveRecord& record);

  /// Drain requests to send now, including those that end a drain.
  std::vector<DrainRequest> take_due_drains(double now);
  /// `sent_at` is when the request was sent; no answer: none was received, or it was malformed.
  void record_drain_answer(const DrainRequest& request, const std::optional<DrainAnswer>& answer,
                           double sent_at, double now);

  /// Whether reservations or stops have changed since the last call, so that a placement pass is
  /// due and commands have to be sent.
  bool take_changed() { return std::exchange(changed_, false); }
  /// Events for operators since the last call, in order.
  std::vector<PlanEvent> take_events() { return std::exchange(events_, {}); }

 private:
  /// State of a move that is not stored; a successor starts without it.
  struct Progress {
    double begun_at = 0;  ///< 0: not begun
    bool ended = false;
    ReplicaDrain drain;
  };

  /// Whether machines have had enough time to send heartbeats to this leader.
  bool have_machines_reported(double now) const;
  MoveRules rules(double now) const;
  /// The current plan, which must exist.
  MovePlan& plan() { return *journal_.desired().plan; }
  const MovePlan& plan() const { return *journal_.desired().plan; }

  // Creating a plan.
  std::optional<FoundPlan> find_eligible_plan(double now);
  void begin_plan(MoveRecord record, double now);

  // Advancing the moves.
  void update_steps(double now);
  bool is_done() const;
  std::optional<DropReason> drop_reason(std::int64_t wall_ms, double now);
  void begin_moves(std::int64_t wall_ms, double now);
  void begin_move(std::size_t index, std::int64_t wall_ms, double now);
  void begin_stopping_drained(double now);
  void request_stops(double now);
  void request_stop(std::size_t index, sched::Placement& placement, double now);
  void end_move(std::size_t index, double now);

  // Drains.
  bool needs_drain(const PlannedMove& move);
  std::optional<std::size_t> find_move(const DrainRequest& request) const;
  void handle_drain_refused(std::size_t index, double now);
  bool is_drain_refusal_final(double now) const;
  void cancel_drain(std::size_t index);

  void end_plan(PlanEvent event, double now);
  void update_reservations();

  sched::ClusterState& cluster_;
  std::uint64_t fencing_token_;
  bool allow_replica_moves_;
  double term_started_at_;
  MoveBudget budget_;
  PlanJournal journal_;
  std::vector<Progress> progress_;   ///< for each move of the plan, in order
  double plan_adopted_at_ = 0;       ///< when this leader created the plan or took it over
  bool waiting_job_placed_ = false;  ///< the waiting job has been placed during this plan
  std::uint64_t plans_created_ = 0;  ///< by this leader
  /// Earliest time of the next plan for a job whose plan was dropped.
  std::map<std::string, double> next_plan_allowed_at_;
  std::vector<DrainRequest> drains_to_cancel_;  ///< drains of a plan that has ended
  std::vector<PlanEvent> events_;
  bool changed_ = false;
};

}  // namespace cranklock::defrag
