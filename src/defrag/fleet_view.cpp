#include "defrag/fleet_view.hpp"

#include <algorithm>

#include "sched/placement.hpp"

namespace cranklock::defrag {

std::optional<double> move_cost(const sched::Job& job, const sched::Placement& placement,
                                double report_s, double now) {
  constexpr double kReportsUntilRestart = 2;
  const bool in_doubt = !placement.durable || placement.outcome_unknown || !placement.seen ||
                        placement.unconfirmed_session != 0;
  const bool leaving = placement.ended || placement.stop || job.withdrawn();
  if (in_doubt || leaving || job.spec.shape != wire::Shape::array) return std::nullopt;
  if (placement.state != wire::TaskState::running) return std::nullopt;
  const double restart_s = kReportsUntilRestart * report_s;
  if (job.spec.checkpoint_s > 0) return job.spec.save_s + restart_s;
  return std::max(now - placement.running_since, 0.0) + restart_s;
}

namespace {

Host view_machine(const sched::Machine& machine, const wire::MachineType& type, double report_s,
                  double now) {
  Host host;
  host.id = machine.id;
  host.kind = machine.kind;
  host.free = type.room - machine.used;
  host.fetch_gb_per_s = type.fetch_gb_per_s;
  for (const auto& [image, size_gb] : machine.images) host.images.insert(image);
  for (const auto& held : machine.tasks) {
    const sched::Job& job = *held.job;
    Resident resident;
    resident.task = {job.spec.id, held.task};
    resident.spec = &job.spec;
    resident.move_cost_s = move_cost(job, held.placement(), report_s, now);
    resident.zone_bound = job.spec.one_zone || job.spec.spread;
    host.residents.push_back(std::move(resident));
  }
  return host;
}

}  // namespace

std::vector<Host> view_fleet(sched::ClusterState& cluster, double now) {
  std::vector<Host> hosts;
  for (const auto& [id, machine] : cluster.machines()) {
    const auto* type = cluster.type(machine.kind.type);
    if (type == nullptr || !sched::usable(cluster, machine)) continue;
    hosts.push_back(view_machine(machine, *type, cluster.settings().report_s, now));
  }
  return hosts;
}

}  // namespace cranklock::defrag
