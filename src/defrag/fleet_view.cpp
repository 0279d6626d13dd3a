#include "defrag/fleet_view.hpp"

#include <algorithm>

#include "sched/availability.hpp"

namespace cranklock::defrag {

namespace {

/// Whether it is certain where the placement runs, and that it is not ending: confirmed, and
/// neither being stopped nor cancelled.
bool is_settled(const sched::Job& job, const sched::Placement& placement) {
  const bool is_uncertain =
      !placement.durable() || !placement.reported || placement.indeterminate_start_epoch != 0;
  const bool is_ending = placement.ended || placement.stop_requested || job.cancelled();
  return !is_uncertain && !is_ending;
}

}  // namespace

std::optional<double> move_cost(const sched::ClusterState& cluster, const sched::Job& job,
                                const sched::Placement& placement, const MoveRules& rules,
                                double now) {
  constexpr double kHeartbeatsUntilRestart = 2;
  if (rules.remaining_moves && rules.remaining_moves(job) == 0) return std::nullopt;
  if (!is_settled(job, placement) || placement.state != wire::TaskState::running) {
    return std::nullopt;
  }
  const double restart_s = kHeartbeatsUntilRestart * cluster.settings().heartbeat_interval_s;
  if (job.spec.kind == wire::JobKind::service) {
    // A single replica has no other replica to serve in its place.
    if (!rules.allow_replica_moves || job.live_count() < 2) return std::nullopt;
    return cluster.settings().lease_s / 2 + restart_s;
  }
  if (job.spec.kind != wire::JobKind::job_array) return std::nullopt;
  if (job.spec.checkpoint_interval_s > 0) return job.spec.checkpoint_save_s + restart_s;
  return std::max(now - placement.running_since, 0.0) + restart_s;
}

namespace {

Host view_machine(const sched::ClusterState& cluster, const sched::Machine& machine,
                  const wire::MachineType& type, const MoveRules& rules, double now) {
  Host host;
  host.id = machine.id;
  host.kind = machine.kind;
  host.free = type.resources - machine.allocated;
  host.fetch_gb_per_s = type.fetch_gb_per_s;
  for (const auto& [image, size_gb] : machine.images) host.images.insert(image);
  for (const auto& allocation : machine.tasks) {
    const sched::Job& job = *allocation.job;
    HostedTask hosted_task;
    hosted_task.task = {job.spec.id, allocation.task};
    hosted_task.spec = &job.spec;
    hosted_task.move_cost_s = move_cost(cluster, job, allocation.placement(), rules, now);
    hosted_task.zone_bound = job.spec.one_zone || job.spec.spread;
    host.hosted_tasks.push_back(std::move(hosted_task));
  }
  return host;
}

}  // namespace

std::vector<Host> view_fleet(sched::ClusterState& cluster, const MoveRules& rules, double now) {
  std::vector<Host> hosts;
  for (const auto& [id, machine] : cluster.machines()) {
    const auto* type = cluster.type(machine.kind.type);
    if (type == nullptr || !sched::is_schedulable(cluster, machine)) continue;
    hosts.push_back(view_machine(cluster, machine, *type, rules, now));
  }
  return hosts;
}

}  // namespace cranklock::defrag
