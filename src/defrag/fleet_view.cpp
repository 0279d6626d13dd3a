#include "defrag/fleet_view.hpp"

#include <algorithm>

#include "sched/availability.hpp"

namespace cranklock::defrag {

namespace {

/// In doubt, being stopped or cancelled: nobody may count on where it is.
bool is_settled(const sched::Job& job, const sched::Placement& placement) {
  const bool in_doubt =
      !placement.durable() || !placement.reported || placement.indeterminate_start_epoch != 0;
  const bool leaving = placement.ended || placement.stop_requested || job.cancelled();
  return !in_doubt && !leaving;
}

}  // namespace

std::optional<double> move_cost(const sched::ClusterState& cluster, const sched::Job& job,
                                const sched::Placement& placement, const MoveRules& rules,
                                double now) {
  constexpr double kHeartbeatsUntilRestart = 2;
  if (rules.allowance && rules.allowance(job) == 0) return std::nullopt;
  if (!is_settled(job, placement) || placement.state != wire::TaskState::running) {
    return std::nullopt;
  }
  const double restart_s = kHeartbeatsUntilRestart * cluster.settings().heartbeat_interval_s;
  if (job.spec.kind == wire::JobKind::service) {
    // A single replica has no other to serve in its place.
    if (!rules.services || job.live_count() < 2) return std::nullopt;
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
  for (const auto& held : machine.tasks) {
    const sched::Job& job = *held.job;
    Resident resident;
    resident.task = {job.spec.id, held.task};
    resident.spec = &job.spec;
    resident.move_cost_s = move_cost(cluster, job, held.placement(), rules, now);
    resident.zone_bound = job.spec.one_zone || job.spec.spread;
    host.residents.push_back(std::move(resident));
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
