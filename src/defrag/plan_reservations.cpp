#include "defrag/plan_reservations.hpp"

#include <optional>
#include <string>

namespace cranklock::defrag {

std::vector<sched::Reservation> reservations_for(sched::ClusterState& cluster, const MovePlan& plan,
                                                 bool placed) {
  std::vector<sched::Reservation> reservations;
  const sched::Job* waiting = cluster.job(plan.job);
  if (!placed && waiting != nullptr) {
    for (const auto& place : plan.places) {
      reservations.push_back(
          {place.machine, plan.job, std::nullopt, waiting->spec.resources * place.tasks, ""});
    }
  }
  for (const auto& move : plan.moves) {
    const sched::Job* job = cluster.job(move.task.job);
    const bool needed = is_interrupted(move.step) || (!placed && !is_over(move.step));
    if (job == nullptr || !needed) continue;
    // Until the task is stopped, the waiting job may use the reservation: if other work on the
    // target ends, the job can be placed there without the move.
    const std::string also_usable_by = is_interrupted(move.step) ? "" : plan.job;
    reservations.push_back(
        {move.target, move.task.job, move.task.index, job->spec.resources, also_usable_by});
  }
  return reservations;
}

}  // namespace cranklock::defrag
