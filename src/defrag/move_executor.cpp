#include "defrag/move_executor.hpp"

#include <algorithm>

#include "defrag/move_progress.hpp"
#include "defrag/plan_reservations.hpp"

namespace cranklock::defrag {

using sched::ClusterState;

namespace {

/// The lease, in seconds, requested for the drain of a replica.
double drain_lease_s(const base::Settings& settings) {
  return settings.lease_s;
}

/// The size of the record once all moves have begun, which must also fit into one value.
std::size_t max_record_bytes(MoveRecord record, std::int64_t wall_ms) {
  for (auto& move : record.plan->moves) {
    move.step = MoveStep::restarting;
    record.past.push_back({move.task.job, wall_ms});
  }
  return write_move_record(record).size();
}

}  // namespace

// ---- failover ----

void MoveExecutor::load(const MoveRecord& stored, std::int64_t wall_ms, double now) {
  journal_.load(stored);
  // If the clock of an earlier leader was ahead, times in the future are treated as now.
  const auto to_steady = [&](std::int64_t at_ms) {
    return now - std::max(static_cast<double>(wall_ms - at_ms) / 1000, 0.0);
  };
  for (const auto& move : stored.past)
    budget_.restore_past_move(move.job, to_steady(move.begun_ms));
  if (!journal_.has_plan()) return;
  plan_adopted_at_ = now;
  auto& moves = plan().moves;
  progress_.assign(moves.size(), {});
  for (std::size_t i = 0; i < moves.size(); ++i) {
    PlannedMove& move = moves[i];
    if (move.step == MoveStep::draining)
      move.step = MoveStep::reserved;  // no stop was requested yet
    if (!is_interrupted(move.step)) continue;
    progress_[i].begun_at = now;
    budget_.restore_active_move(move.task.job);
  }
  events_.emplace_back(PlanTakenOver{plan().id, plan().job, moves.size()});
  update_reservations();  // before the first placement pass
}

bool MoveExecutor::have_machines_reported(double now) const {
  constexpr double kReportHeartbeats = 3;
  return now - term_started_at_ > kReportHeartbeats * cluster_.settings().heartbeat_interval_s;
}

void MoveExecutor::record_stored(const MoveRecord& record) {
  journal_.record_stored(record);
  update_reservations();
}

// ---- creating a plan ----

MoveRules MoveExecutor::rules(double now) const {
  return {allow_replica_moves_, [this, now](const sched::Job& job) {
            return budget_.remaining_moves(job.spec.id, job.spec.tasks, now);
          }};
}

void MoveExecutor::search(std::size_t max_bytes, std::int64_t wall_ms, double now) {
  // An ended plan must be removed from the store first: there is one plan at a time.
  if (journal_.has_plan() || journal_.has_stored_plan() || !have_machines_reported(now)) return;
  const auto found = find_eligible_plan(now);
  if (!found) return;
  journal_.prune_past_moves(wall_ms, cluster_.settings().clock_error_s);
  const std::string id = std::to_string(fencing_token_) + "-" + std::to_string(++plans_created_);
  MoveRecord record = journal_.desired();
  record.plan = make_move_plan(*found, id, wall_ms, cluster_);
  if (max_record_bytes(record, wall_ms) > max_bytes) return;
  begin_plan(std::move(record), now);
}

std::optional<FoundPlan> MoveExecutor::find_eligible_plan(double now) {
  std::erase_if(next_plan_allowed_at_, [&](const auto& entry) { return entry.second <= now; });
  const auto is_eligible = [this](const sched::Job& job) {
    return !next_plan_allowed_at_.contains(job.spec.id) && !has_booting_capacity(cluster_, job);
  };
  return find_plan(cluster_, rules(now), is_eligible, now);
}

void MoveExecutor::begin_plan(MoveRecord record, double now) {
  journal_.desired() = std::move(record);
  plan_adopted_at_ = now;
  waiting_job_placed_ = false;
  progress_.assign(plan().moves.size(), {});
  events_.emplace_back(PlanBegun{plan()});
}

// ---- advancing the moves ----

void MoveExecutor::advance(std::int64_t wall_ms, double now) {
  if (!journal_.has_plan()) return;
  update_steps(now);
  if (is_done()) {
    return end_plan(PlanDone{plan().id, plan().job, now - plan_adopted_at_}, now);
  }
  if (const auto reason = drop_reason(wall_ms, now)) return drop(*reason, now);
  if (journal_.is_durable() && have_machines_reported(now)) {
    begin_moves(wall_ms, now);
    begin_stopping_drained(now);
    request_stops(now);
  }
  update_reservations();
}

void MoveExecutor::update_steps(double now) {
  auto& moves = plan().moves;
  for (std::size_t i = 0; i < moves.size(); ++i) {
    const MoveStep step = current_step(cluster_, moves[i]);
    if (step == moves[i].step) continue;
    moves[i].step = step;
    if (is_over(step)) end_move(i, now);
  }
  const sched::Job* waiting = cluster_.job(plan().job);
  waiting_job_placed_ =
      waiting_job_placed_ || (waiting != nullptr && is_waiting_job_placed(*waiting, plan()));
}

// The plan is done when the waiting job is placed and every task that was to be stopped has been
// restarted or its move is over. Moves that are only reserved or draining are no longer needed.
bool MoveExecutor::is_done() const {
  const auto& moves = plan().moves;
  return waiting_job_placed_ &&
         std::none_of(moves.begin(), moves.end(),
                      [](const PlannedMove& move) { return is_interrupted(move.step); });
}

std::optional<DropReason> MoveExecutor::drop_reason(std::int64_t wall_ms, double now) {
  auto reason = drop_reason_by_records(cluster_, plan(), waiting_job_placed_, wall_ms, now);
  if (!reason && have_machines_reported(now)) {
    reason = drop_reason_by_fleet(cluster_, plan(), waiting_job_placed_, rules(now), now);
  }
  if (!reason && is_drain_refusal_final(now)) reason = DropReason::drain_refused;
  return reason;
}

void MoveExecutor::begin_moves(std::int64_t wall_ms, double now) {
  if (waiting_job_placed_) return;
  const auto& moves = plan().moves;
  for (std::size_t i = 0; i < moves.size(); ++i) {
    if (moves[i].step != MoveStep::reserved) continue;
    const auto* placement = source_placement(cluster_, moves[i]);
    if (placement == nullptr) continue;
    const sched::Job& job = *cluster_.job(moves[i].task.job);
    const bool movable = move_cost(cluster_, job, *placement, rules(now), now).has_value();
    if (movable && budget_.may_begin(job.spec.id, job.spec.tasks, now)) begin_move(i, wall_ms, now);
  }
}

void MoveExecutor::begin_move(std::size_t index, std::int64_t wall_ms, double now) {
  PlannedMove& move = plan().moves[index];
  const bool is_replica = is_replica_move(cluster_, move);
  move.step = is_replica ? MoveStep::draining : MoveStep::stopping;
  progress_[index].begun_at = now;
  if (is_replica) progress_[index].drain.begin(now);
  budget_.record_begin(move.task.job, now);
  journal_.desired().past.push_back({move.task.job, wall_ms});
}

// A replica whose drain is in force is to be stopped; the stop is stored before it is requested.
void MoveExecutor::begin_stopping_drained(double now) {
  auto& moves = plan().moves;
  for (std::size_t i = 0; i < moves.size(); ++i) {
    if (moves[i].step != MoveStep::draining) continue;
    if (progress_[i].drain.is_in_force(now)) moves[i].step = MoveStep::stopping;
  }
}

void MoveExecutor::request_stops(double now) {
  const auto& moves = plan().moves;
  for (std::size_t i = 0; i < moves.size(); ++i) {
    if (moves[i].step != MoveStep::stopping || !journal_.is_stop_durable(i)) continue;
    auto* placement = source_placement(cluster_, moves[i]);
    if (placement != nullptr) request_stop(i, *placement, now);
  }
}

void MoveExecutor::request_stop(std::size_t index, sched::Placement& placement, double now) {
  const bool was_stopping = placement.stop_requested;
  const PlannedMove& move = plan().moves[index];
  if (is_replica_move(cluster_, move)) {
    // A new leader has to obtain the drain confirmation itself.
    const ReplicaDrain& drain = progress_[index].drain;
    if (drain.is_in_force(now)) {
      placement.request_drained_stop(drain.drained_until(), now);
    }
  } else {
    const auto& spec = cluster_.job(move.task.job)->spec;
    const double grace_s = spec.checkpoint_interval_s > 0 ? spec.checkpoint_save_s : 0;
    placement.request_stop(grace_s, now);
  }
  changed_ = changed_ || placement.stop_requested != was_stopping;
}

void MoveExecutor::end_move(std::size_t index, double now) {
  const PlannedMove& move = plan().moves[index];
  Progress& progress = progress_[index];
  if (progress.begun_at == 0 || std::exchange(progress.ended, true)) return;
  const double took_s = now - progress.begun_at;
  budget_.record_end(move.task.job, took_s);
  if (is_over(move.step)) events_.emplace_back(MoveEnded{move, took_s});
}

// ---- ending a plan ----

void MoveExecutor::drop(DropReason reason, double now) {
  if (!journal_.has_plan()) return;
  // Prevents a new plan for the same job from being dropped immediately for the same reason.
  if (const auto* job = cluster_.job(plan().job)) {
    next_plan_allowed_at_[plan().job] = now + shortest_boot_s(cluster_, *job);
  }
  const auto& moves = plan().moves;
  const auto unfinished = std::count_if(moves.begin(), moves.end(), [](const PlannedMove& move) {
    return move.step != MoveStep::done;
  });
  end_plan(PlanDropped{plan().id, plan().job, now - plan_adopted_at_,
                       static_cast<std::size_t>(unfinished), reason},
           now);
}

void MoveExecutor::end_plan(PlanEvent event, double now) {
  for (std::size_t i = 0; i < plan().moves.size(); ++i) {
    cancel_drain(i);
    end_move(i, now);
  }
  events_.push_back(std::move(event));
  journal_.desired().plan.reset();
  progress_.clear();
  waiting_job_placed_ = false;
  update_reservations();
}

// Only a stored plan holds reservations.
void MoveExecutor::update_reservations() {
  std::vector<sched::Reservation> reservations;
  if (journal_.is_durable()) reservations = reservations_for(cluster_, plan(), waiting_job_placed_);
  if (reservations == cluster_.reservations().all()) return;
  cluster_.set_reservations(sched::Reservations(std::move(reservations)));
  changed_ = true;
}

// ---- drains ----

bool MoveExecutor::needs_drain(const PlannedMove& move) {
  const bool is_before_stop = move.step == MoveStep::draining || move.step == MoveStep::stopping;
  return is_before_stop && is_replica_move(cluster_, move) && is_on_source(cluster_, move);
}

std::vector<DrainRequest> MoveExecutor::take_due_drains(double now) {
  std::vector<DrainRequest> due = std::exchange(drains_to_cancel_, {});
  if (!journal_.has_plan() || !have_machines_reported(now)) return due;
  const auto& settings = cluster_.settings();
  const auto& moves = plan().moves;
  for (std::size_t i = 0; i < moves.size(); ++i) {
    if (!needs_drain(moves[i])) continue;
    const auto* machine = cluster_.machine(moves[i].source);
    if (machine == nullptr) continue;
    ReplicaDrain& drain = progress_[i].drain;
    if (!drain.is_request_due(now, settings.heartbeat_interval_s)) continue;
    const double left_s = drain.record_request(now, settings.lease_s);
    due.push_back({moves[i].task, moves[i].attempt, moves[i].source, machine->address,
                   drain_lease_s(settings), left_s});
  }
  return due;
}

std::optional<std::size_t> MoveExecutor::find_move(const DrainRequest& request) const {
  const auto& moves = plan().moves;
  for (std::size_t i = 0; i < moves.size(); ++i) {
    if (moves[i].task == request.task && moves[i].attempt == request.attempt) return i;
  }
  return std::nullopt;
}

void MoveExecutor::record_drain_answer(const DrainRequest& request,
                                       const std::optional<DrainAnswer>& answer, double sent_at,
                                       double now) {
  if (!journal_.has_plan()) return;
  const auto index = find_move(request);
  if (!index) return;
  const double lease_s = cluster_.settings().lease_s;
  switch (progress_[*index].drain.record_answer(request, answer, sent_at, now, lease_s)) {
    case ReplicaDrain::Result::refused:
      return handle_drain_refused(*index, now);
    case ReplicaDrain::Result::timed_out:
      return drop(DropReason::drain_late, now);
    case ReplicaDrain::Result::pending:
    case ReplicaDrain::Result::drained:
      return;
  }
}

// If the stop of a replica was already sent, the replica may have ended, and the router may have
// removed it, before this leader receives the heartbeat that shows it. Until the next heartbeat the
// replica counts as in service, and its stop is revoked.
void MoveExecutor::handle_drain_refused(std::size_t index, double now) {
  const PlannedMove& move = plan().moves[index];
  if (move.step != MoveStep::stopping) return drop(DropReason::drain_refused, now);
  progress_[index].drain.revoke(now);
  if (auto* placement = source_placement(cluster_, move)) {
    placement->revoke_drained_stop();
  }
}

bool MoveExecutor::is_drain_refusal_final(double now) const {
  const double interval_s = cluster_.settings().heartbeat_interval_s;
  for (std::size_t i = 0; i < progress_.size(); ++i) {
    if (plan().moves[i].step != MoveStep::stopping) continue;
    if (progress_[i].drain.is_revocation_final(now, interval_s)) return true;
  }
  return false;
}

void MoveExecutor::cancel_drain(std::size_t index) {
  const PlannedMove& move = plan().moves[index];
  auto* placement = source_placement(cluster_, move);
  const bool was_requested =
      is_replica_move(cluster_, move) && progress_[index].drain.was_requested();
  if (!was_requested || placement == nullptr) return;
  placement->revoke_drained_stop();
  const auto* machine = cluster_.machine(move.source);
  const std::string address = machine != nullptr ? machine->address : "";
  drains_to_cancel_.push_back({move.task, move.attempt, move.source, address, 0, 0});
}

}  // namespace cranklock::defrag
