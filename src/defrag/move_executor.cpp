#include "defrag/move_executor.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

namespace cranklock::defrag {

using sched::ClusterState;
using wire::JobKind;

namespace {

/// Seconds for which a router is asked to keep a replica drained.
double drain_lease_s(const base::Settings& settings) {
  return settings.lease_s;
}

std::string describe(const PlannedMove& move) {
  return fmt::format("{} from {} to {}", wire::to_string(move.task), move.source, move.target);
}

MovePlan name_plan(const FoundPlan& found, std::string id, std::int64_t wall_ms,
                   ClusterState& cluster) {
  MovePlan plan{
      std::move(id), found.job->spec.id, wall_ms, found.plan.cost_s, found.boot_s, {}, {}};
  std::map<std::size_t, std::uint32_t> places;
  for (const auto host : found.plan.places) ++places[host];
  for (const auto& [host, tasks] : places) plan.places.push_back({found.hosts[host].id, tasks});
  for (const auto& move : found.plan.moves) {
    const Host& from = found.hosts[move.from];
    const auto& task = from.residents[move.resident].task;
    const auto* placement = cluster.job(task.job)->live_placement(task.index);
    plan.moves.push_back(
        {task, placement->attempt, from.id, found.hosts[move.to].id, MoveStep::reserved});
  }
  return plan;
}

}  // namespace

// ---- take-over ----

void MoveExecutor::load(const MoveRecord& stored, std::int64_t wall_ms, double now) {
  wanted_ = stored_ = stored;
  // What a former leader's clock was ahead counts as now.
  const auto steady = [&](std::int64_t at_ms) {
    return now - std::max(static_cast<double>(wall_ms - at_ms) / 1000, 0.0);
  };
  for (const auto& move : wanted_.past) budget_.restore(move.job, steady(move.begun_ms));
  if (!wanted_.plan) return;
  plan_known_ = now;
  progress_.assign(wanted_.plan->moves.size(), {});
  for (std::size_t i = 0; i < progress_.size(); ++i) {
    PlannedMove& move = wanted_.plan->moves[i];
    if (move.step == MoveStep::draining) move.step = MoveStep::reserved;  // nothing was stopped
    if (!is_interrupted(move.step)) continue;
    progress_[i].begun = now;
    budget_.resume(move.task.job);
  }
  log_lines_.push_back(fmt::format("plan {} for job {} is taken over: {} moves", wanted_.plan->id,
                                   wanted_.plan->job, wanted_.plan->moves.size()));
  update_reservations();  // before the first pass
}

bool MoveExecutor::knows_fleet(double now) const {
  constexpr double kHeartbeats = 3;
  return now - began_ > kHeartbeats * cluster_.settings().heartbeat_interval_s;
}

// ---- what is stored ----

bool MoveExecutor::is_durable() const {
  return wanted_.plan && stored_.plan && stored_.plan->id == wanted_.plan->id;
}

// Write ahead: a stop that is not stored is never sent, so that a successor knows of every move
// whose task may have left its source.
bool MoveExecutor::stop_is_durable(std::size_t move) const {
  if (!is_durable()) return false;
  const MoveStep step = stored_.plan->moves[move].step;
  return step != MoveStep::reserved && step != MoveStep::draining;
}

std::optional<MoveRecord> MoveExecutor::to_store() const {
  if (!wanted_.plan) {
    if (!stored_.plan) return std::nullopt;
    return wanted_;
  }
  if (!is_durable()) return wanted_;
  for (std::size_t i = 0; i < wanted_.plan->moves.size(); ++i) {
    if (wanted_.plan->moves[i].step == MoveStep::stopping && !stop_is_durable(i)) return wanted_;
  }
  return std::nullopt;
}

void MoveExecutor::note_stored(const MoveRecord& record) {
  stored_ = record;
  update_reservations();
}

void MoveExecutor::forget_past(std::int64_t wall_ms) {
  const double span_s = kBudgetSpan + 2 * cluster_.settings().clock_error_s;
  std::erase_if(wanted_.past, [&](const PastMove& move) {
    return static_cast<double>(wall_ms - move.begun_ms) / 1000 > span_s;
  });
}

// ---- a new plan ----

MoveRules MoveExecutor::rules(double now) const {
  return {services_, [this, now](const sched::Job& job) {
            return budget_.left(job.spec.id, job.spec.tasks, now);
          }};
}

void MoveExecutor::look(std::size_t max_bytes, std::int64_t wall_ms, double now) {
  // What is stored of a plan that is over has to go first: one plan at a time.
  if (wanted_.plan || stored_.plan || !knows_fleet(now)) return;
  std::erase_if(not_before_, [&](const auto& entry) { return entry.second <= now; });
  const auto eligible = [this](const sched::Job& job) {
    return !not_before_.contains(job.spec.id) && !room_is_coming(cluster_, job);
  };
  const auto found = find_plan(cluster_, rules(now), eligible, now);
  if (!found) return;
  forget_past(wall_ms);
  MoveRecord record = wanted_;
  record.plan =
      name_plan(*found, fmt::format("{}-{}", fencing_token_, ++plans_), wall_ms, cluster_);
  // With all its moves as begun, since the record has to hold that too.
  MoveRecord longest = record;
  for (auto& move : longest.plan->moves) {
    move.step = MoveStep::restarting;
    longest.past.push_back({move.task.job, wall_ms});
  }
  if (write_move_record(longest).size() > max_bytes) return;
  wanted_ = std::move(record);
  plan_known_ = now;
  placed_ = false;
  progress_.assign(wanted_.plan->moves.size(), {});
  const MovePlan& plan = *wanted_.plan;
  std::string moves;
  for (const auto& move : plan.moves) moves += (moves.empty() ? "" : ", ") + describe(move);
  log_lines_.push_back(
      fmt::format("plan {} for job {} begins: {} moves at {:.0f} s of work, against "
                  "{:.0f} s of boot: {}",
                  plan.id, plan.job, plan.moves.size(), plan.cost_s, plan.boot_s, moves));
}

// ---- steps ----

sched::Placement* MoveExecutor::source_placement(const PlannedMove& move) {
  if (!is_on_source(cluster_, move)) return nullptr;
  return cluster_.job(move.task.job)->find(move.task.index, move.attempt);
}

bool MoveExecutor::moves_replica(const PlannedMove& move) const {
  const sched::Job* job = cluster_.job(move.task.job);
  return job != nullptr && job->spec.kind == JobKind::service;
}

// How far a move is, by where its task is. A plan's own account decides only whether the task left
// its source on our word.
MoveStep MoveExecutor::step_of(const PlannedMove& move) {
  if (defrag::is_over(move.step) || is_on_source(cluster_, move)) return move.step;
  const sched::Job* job = cluster_.job(move.task.job);
  if (job == nullptr || job->cancelled() || job->done.contains(move.task.index)) {
    return MoveStep::done;
  }
  const auto* placement = job->live_placement(move.task.index);
  if (placement != nullptr) {
    if (placement->machine != move.target) return MoveStep::diverted;
    const bool runs = placement->seen && placement->state == wire::TaskState::running;
    return runs ? MoveStep::done : MoveStep::restarting;
  }
  return is_interrupted(move.step) ? MoveStep::freed : MoveStep::diverted;
}

void MoveExecutor::follow_moves(double now) {
  auto& moves = wanted_.plan->moves;
  for (std::size_t i = 0; i < moves.size(); ++i) {
    const MoveStep step = step_of(moves[i]);
    if (step == moves[i].step) continue;
    moves[i].step = step;
    if (defrag::is_over(step)) end_move(i, now);
  }
  const sched::Job* waiting = cluster_.job(wanted_.plan->job);
  placed_ = placed_ || (waiting != nullptr && is_placed(*waiting, *wanted_.plan));
}

void MoveExecutor::end_move(std::size_t index, double now) {
  const PlannedMove& move = wanted_.plan->moves[index];
  Progress& progress = progress_[index];
  if (progress.begun == 0 || std::exchange(progress.ended, true)) return;
  const double took_s = now - progress.begun;
  budget_.ended(move.task.job, took_s);
  if (move.step == MoveStep::done) {
    log_lines_.push_back(fmt::format("moved {}: {:.1f} s", describe(move), took_s));
  } else if (move.step == MoveStep::diverted) {
    log_lines_.push_back(fmt::format("{} went elsewhere: {:.1f} s", describe(move), took_s));
  }
}

// The waiting job has its room, and nothing is under way; what has not begun is not needed.
bool MoveExecutor::is_over() const {
  const auto& moves = wanted_.plan->moves;
  return placed_ && std::none_of(moves.begin(), moves.end(),
                                 [](const PlannedMove& move) { return is_interrupted(move.step); });
}

void MoveExecutor::begin_moves(std::int64_t wall_ms, double now) {
  if (placed_) return;
  const auto& moves = wanted_.plan->moves;
  for (std::size_t i = 0; i < moves.size(); ++i) {
    if (moves[i].step != MoveStep::reserved) continue;
    const auto* placement = source_placement(moves[i]);
    if (placement == nullptr) continue;
    const sched::Job& job = *cluster_.job(moves[i].task.job);
    const bool movable = move_cost(cluster_, job, *placement, rules(now), now).has_value();
    if (movable && budget_.may_begin(job.spec.id, job.spec.tasks, now)) begin_move(i, wall_ms, now);
  }
}

void MoveExecutor::begin_move(std::size_t index, std::int64_t wall_ms, double now) {
  PlannedMove& move = wanted_.plan->moves[index];
  const bool replica = moves_replica(move);
  move.step = replica ? MoveStep::draining : MoveStep::stopping;
  progress_[index].begun = now;
  progress_[index].drain_begun = replica ? now : 0;
  budget_.began(move.task.job, now);
  wanted_.past.push_back({move.task.job, wall_ms});
}

// A replica whose drain holds is to be stopped; the stop is written down first.
void MoveExecutor::stop_drained(double now) {
  auto& moves = wanted_.plan->moves;
  for (std::size_t i = 0; i < moves.size(); ++i) {
    if (moves[i].step != MoveStep::draining) continue;
    if (now < progress_[i].drained_until) moves[i].step = MoveStep::stopping;
  }
}

void MoveExecutor::request_stops(double now) {
  const auto& moves = wanted_.plan->moves;
  for (std::size_t i = 0; i < moves.size(); ++i) {
    auto* placement = source_placement(moves[i]);
    if (moves[i].step != MoveStep::stopping || !stop_is_durable(i) || placement == nullptr) {
      continue;
    }
    const bool was_stopping = placement->stop;
    const auto& spec = cluster_.job(moves[i].task.job)->spec;
    if (spec.kind == JobKind::service) {
      // A new leader has to hear of the drain itself.
      if (now < progress_[i].drained_until) {
        placement->request_drained_stop(progress_[i].drained_until, now);
      }
    } else {
      placement->request_stop(spec.checkpoint_interval_s > 0 ? spec.checkpoint_save_s : 0, now);
    }
    acted_ = acted_ || placement->stop != was_stopping;
  }
}

void MoveExecutor::advance(std::int64_t wall_ms, double now) {
  if (!wanted_.plan) return;
  follow_moves(now);
  if (is_over()) {
    return end_plan(fmt::format("plan {} for job {} is done: {:.1f} s", wanted_.plan->id,
                                wanted_.plan->job, now - plan_known_),
                    now);
  }
  auto why = why_drop_by_records(cluster_, *wanted_.plan, placed_, wall_ms, now);
  if (!why && knows_fleet(now)) {
    why = why_drop_by_fleet(cluster_, *wanted_.plan, placed_, rules(now), now);
  }
  if (!why && is_refused_for_good(now)) why = DropReason::drain_refused;
  if (why) return drop(*why, now);
  if (is_durable() && knows_fleet(now)) {
    begin_moves(wall_ms, now);
    stop_drained(now);
    request_stops(now);
  }
  update_reservations();
}

// ---- the end of a plan ----

void MoveExecutor::drop(DropReason reason, double now) {
  if (!wanted_.plan) return;
  // Guards against a plan for the same job that is dropped for the same reason at once.
  if (const auto* job = cluster_.job(wanted_.plan->job)) {
    not_before_[wanted_.plan->job] = now + shortest_boot_s(cluster_, *job);
  }
  const auto& moves = wanted_.plan->moves;
  const auto undone = std::count_if(moves.begin(), moves.end(), [](const PlannedMove& move) {
    return move.step != MoveStep::done;
  });
  end_plan(fmt::format("plan {} for job {} is dropped after {:.1f} s, {} moves undone: {}",
                       wanted_.plan->id, wanted_.plan->job, now - plan_known_, undone,
                       to_string(reason)),
           now);
}

void MoveExecutor::end_plan(std::string log_line, double now) {
  const auto& moves = wanted_.plan->moves;
  for (std::size_t i = 0; i < moves.size(); ++i) {
    const bool drained = moves_replica(moves[i]) && progress_[i].drain_asked > 0;
    auto* placement = source_placement(moves[i]);
    if (drained && placement != nullptr) {
      placement->revoke_drained_stop();
      const auto* machine = cluster_.machine(moves[i].source);
      take_back_.push_back({moves[i].task, moves[i].attempt, moves[i].source,
                            machine != nullptr ? machine->address : "", 0, 0});
    }
    end_move(i, now);
  }
  log_lines_.push_back(std::move(log_line));
  wanted_.plan.reset();
  progress_.clear();
  placed_ = false;
  update_reservations();
}

// Room is held by the stored plan alone.
void MoveExecutor::update_reservations() {
  std::vector<sched::Reservation> held;
  if (is_durable()) {
    const MovePlan& plan = *wanted_.plan;
    const sched::Job* waiting = cluster_.job(plan.job);
    for (const auto& place : plan.places) {
      if (placed_ || waiting == nullptr) break;
      held.push_back(
          {place.machine, plan.job, std::nullopt, waiting->spec.resources * place.tasks, ""});
    }
    for (const auto& move : plan.moves) {
      const sched::Job* job = cluster_.job(move.task.job);
      const bool needed = is_interrupted(move.step) || (!placed_ && !defrag::is_over(move.step));
      if (job == nullptr || !needed) continue;
      // Guards against a job that waits though other work has ended on the target meanwhile.
      const std::string yields_to = is_interrupted(move.step) ? "" : plan.job;
      held.push_back({move.target, move.task.job, move.task.index, job->spec.resources, yields_to});
    }
  }
  if (held == cluster_.reservations().all()) return;
  cluster_.set_reservations(sched::Reservations(std::move(held)));
  acted_ = true;
}

// ---- drains ----

// A replica whose stop was sent may be gone, and unknown to the router, before this leader hears of
// it: its next heartbeat tells. Until then it counts as in service, and its stop is taken back.
void MoveExecutor::drain_refused(std::size_t index, double now) {
  const PlannedMove& move = wanted_.plan->moves[index];
  if (move.step != MoveStep::stopping) return drop(DropReason::drain_refused, now);
  progress_[index].drained_until = 0;
  progress_[index].refused_at = now;
  if (auto* placement = source_placement(move)) placement->revoke_drained_stop();
}

bool MoveExecutor::is_refused_for_good(double now) const {
  constexpr double kHeartbeats = 3;
  const double patience_s = kHeartbeats * cluster_.settings().heartbeat_interval_s;
  for (std::size_t i = 0; i < progress_.size(); ++i) {
    const bool refused = progress_[i].refused_at > 0 && now - progress_[i].refused_at > patience_s;
    if (refused && wanted_.plan->moves[i].step == MoveStep::stopping) return true;
  }
  return false;
}

std::vector<DrainRequest> MoveExecutor::take_due_drains(double now) {
  std::vector<DrainRequest> due = std::exchange(take_back_, {});
  if (!wanted_.plan || !knows_fleet(now)) return due;
  const auto& settings = cluster_.settings();
  const auto& moves = wanted_.plan->moves;
  for (std::size_t i = 0; i < moves.size(); ++i) {
    const bool wanted = moves[i].step == MoveStep::draining || moves[i].step == MoveStep::stopping;
    if (!wanted || !moves_replica(moves[i]) || source_placement(moves[i]) == nullptr) continue;
    const auto* machine = cluster_.machine(moves[i].source);
    if (machine == nullptr) continue;
    Progress& progress = progress_[i];
    const bool asked =
        progress.drain_asked > 0 && now - progress.drain_asked < settings.heartbeat_interval_s / 2;
    if (progress.drain_under_way || asked || progress.refused_at > 0) continue;
    if (progress.drain_begun == 0) progress.drain_begun = now;
    progress.drain_asked = now;
    progress.drain_under_way = true;
    const double left_s = progress.drain_begun + settings.lease_s - now;
    due.push_back({moves[i].task, moves[i].attempt, moves[i].source, machine->address,
                   drain_lease_s(settings), std::max(left_s, 0.0)});
  }
  return due;
}

void MoveExecutor::drain_answered(const DrainRequest& request,
                                  const std::optional<DrainAnswer>& answer, double sent,
                                  double now) {
  if (!wanted_.plan) return;
  const auto& moves = wanted_.plan->moves;
  const auto move = std::find_if(moves.begin(), moves.end(), [&](const PlannedMove& candidate) {
    return candidate.task == request.task && candidate.attempt == request.attempt;
  });
  if (move == moves.end()) return;
  Progress& progress = progress_[static_cast<std::size_t>(move - moves.begin())];
  progress.drain_under_way = false;
  // An answer for another attempt is a refusal.
  const bool fits = answer && answer->task == request.task && answer->attempt == request.attempt;
  if (answer && (!fits || answer->state == DrainState::refused)) {
    return drain_refused(static_cast<std::size_t>(move - moves.begin()), now);
  }
  if (fits && answer->state == DrainState::drained) {
    progress.drained_until = sent + request.lease_s * (1 - 2 * base::kClockDrift);
    return;
  }
  // Not answered, or still draining: the drain that was had runs out.
  constexpr double kPatience = 2;  // times the span within which it was to be drained
  const bool had = now < progress.drained_until;
  if (!had && now - progress.drain_begun > kPatience * cluster_.settings().lease_s) {
    drop(DropReason::drain_late, now);
  }
}

}  // namespace cranklock::defrag
