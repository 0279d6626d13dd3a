#include "defrag/move_progress.hpp"

namespace cranklock::defrag {

using sched::ClusterState;

sched::Placement* source_placement(ClusterState& cluster, const PlannedMove& move) {
  sched::Job* job = cluster.job(move.task.job);
  auto* placement = job != nullptr ? job->find(move.task.index, move.attempt) : nullptr;
  const bool on_source =
      placement != nullptr && !placement->ended && placement->machine == move.source;
  return on_source ? placement : nullptr;
}

bool is_on_source(ClusterState& cluster, const PlannedMove& move) {
  return source_placement(cluster, move) != nullptr;
}

bool is_replica_move(ClusterState& cluster, const PlannedMove& move) {
  const sched::Job* job = cluster.job(move.task.job);
  return job != nullptr && job->spec.kind == wire::JobKind::service;
}

MoveStep current_step(ClusterState& cluster, const PlannedMove& move) {
  if (is_over(move.step) || is_on_source(cluster, move)) return move.step;
  const sched::Job* job = cluster.job(move.task.job);
  if (job == nullptr || job->cancelled() || job->done.contains(move.task.index)) {
    return MoveStep::done;
  }
  const auto* placement = job->live_placement(move.task.index);
  if (placement != nullptr) {
    if (placement->machine != move.target) return MoveStep::diverted;
    const bool runs = placement->reported && placement->state == wire::TaskState::running;
    return runs ? MoveStep::done : MoveStep::restarting;
  }
  return is_interrupted(move.step) ? MoveStep::freed : MoveStep::diverted;
}

}  // namespace cranklock::defrag
