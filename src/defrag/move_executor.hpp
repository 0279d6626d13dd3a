// Carries out the plan of moves that is stored. Pure: no I/O, time passed in; what it wants stored
// and requested of the router is handed out.
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

/// Goes through the moves of one plan at a time: reserved -> (draining ->) stopping -> freed ->
/// restarting -> done, or dropped at any step.
///
/// It grants nothing (invariant 17): a stop is an ordinary request to stop, made only once it is
/// stored that it may be, and the start on the target is decided by placement, in resources that
/// are reserved for it. All reservations go with the plan (invariant 19).
class MoveExecutor {
 public:
  /// Made when a leader term begins, with the fencing token of its leader. `moves_services`: a
  /// router drains replicas, so they may move.
  MoveExecutor(sched::ClusterState& cluster, std::uint64_t fencing_token, bool moves_services,
               double now)
      : cluster_(cluster),
        fencing_token_(fencing_token),
        moves_services_(moves_services),
        term_started_at_(now),
        budget_({}) {}

  /// Takes over what is stored, once, before anything else.
  void load(const MoveRecord& stored, std::int64_t wall_ms, double now);

  /// Goes on with the plan as far as is possible now, or drops it.
  void advance(std::int64_t wall_ms, double now);

  /// Makes a plan where there is none and one is found. `max_bytes` bounds its record.
  void search(std::size_t max_bytes, std::int64_t wall_ms, double now);
  bool has_plan() const { return journal_.has_plan(); }
  /// Drops the plan, whatever its step; no effect where there is none.
  void drop(DropReason reason, double now);

  /// What has to be stored; none: what is stored will do.
  std::optional<MoveRecord> pending_write() const { return journal_.pending_write(); }
  /// What should be stored, whether or not it is.
  const MoveRecord& wanted() const { return journal_.wanted(); }
  /// A write of this record has succeeded.
  void record_stored(const MoveRecord& record);

  /// Drains that have to be requested, or taken back, now.
  std::vector<DrainRequest> take_due_drains(double now);
  /// `sent` is when the request left; no answer: it was not answered, or not to the point.
  void record_drain_answer(const DrainRequest& request, const std::optional<DrainAnswer>& answer,
                           double sent, double now);

  /// Whether reservations or stops have changed since the last call, so that placement and commands
  /// have something to do.
  bool take_changed() { return std::exchange(changed_, false); }
  /// What operators should be told, in order.
  std::vector<PlanEvent> take_events() { return std::exchange(events_, {}); }

 private:
  /// What only this leader knows of a move.
  struct Progress {
    double begun = 0;  ///< 0: not yet
    bool ended = false;
    ReplicaDrain drain;
  };

  /// Whether machines have had the time to report to this leader.
  bool knows_fleet(double now) const;
  MoveRules rules(double now) const;
  /// The present plan. There has to be one.
  MovePlan& plan() { return *journal_.wanted().plan; }
  const MovePlan& plan() const { return *journal_.wanted().plan; }

  // A new plan.
  std::optional<FoundPlan> find_eligible_plan(double now);
  void begin_plan(MoveRecord record, double now);

  // Steps.
  void update_steps(double now);
  bool is_done() const;
  std::optional<DropReason> drop_reason(std::int64_t wall_ms, double now);
  void begin_moves(std::int64_t wall_ms, double now);
  void begin_move(std::size_t index, std::int64_t wall_ms, double now);
  void stop_drained(double now);
  void request_stops(double now);
  void request_stop(std::size_t index, sched::Placement& placement, double now);
  void end_move(std::size_t index, double now);

  // Drains.
  bool needs_drain(const PlannedMove& move);
  std::optional<std::size_t> find_move(const DrainRequest& request) const;
  void handle_drain_refused(std::size_t index, double now);
  bool is_drain_refused_for_good(double now) const;
  void take_back_drain(std::size_t index);

  void end_plan(PlanEvent event, double now);
  void update_reservations();

  sched::ClusterState& cluster_;
  std::uint64_t fencing_token_;
  bool moves_services_;
  double term_started_at_;
  MoveBudget budget_;
  PlanJournal journal_;
  std::vector<Progress> progress_;  ///< of the plan's moves, in their order
  double plan_known_since_ = 0;     ///< since when this leader has the plan
  bool placed_ = false;             ///< the waiting job has its room
  std::uint64_t plans_made_ = 0;    ///< by this leader
  /// When the next plan may be made for a job whose plan was dropped.
  std::map<std::string, double> next_plan_at_;
  std::vector<DrainRequest> drains_to_take_back_;  ///< of a plan that is over
  std::vector<PlanEvent> events_;
  bool changed_ = false;
};

}  // namespace cranklock::defrag
