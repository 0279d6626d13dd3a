#include "sched/boot_monitor.hpp"

namespace cranklock::sched {

namespace {

BootTimes::Location location_of(const Machine& machine) {
  return {machine.kind.type, machine.kind.zone};
}

bool is_booting(const Machine& machine) {
  // Guards against a new leader marking running machines as overdue before they have reported to
  // it: the cloud's list states which machines are booting.
  return machine.cloud.listed ? machine.cloud.booting : machine.cloud.provisioned_by_this_leader;
}

}  // namespace

void BootMonitor::record_message(Machine& machine, double now) {
  // A machine that another leader provisioned may have finished its boot long ago.
  if (!machine.agent.heartbeat_received && machine.cloud.provisioned_by_this_leader) {
    boot_times_.record_boot(location_of(machine), now - machine.cloud.provisioned_at, now);
  }
  machine.cloud.overdue = false;
}

void BootMonitor::update_overdue(double now) {
  // Normal boots take up to 1.5 times the expected time; beyond twice the expected time a fault is
  // likely.
  constexpr double kOverdueFactor = 2;
  for (auto& [id, machine] : machines_.all()) {
    const wire::MachineType* type = machines_.type(machine.kind.type);
    if (!is_booting(machine) || machine.agent.heartbeat_received || machine.cloud.overdue ||
        type == nullptr) {
      continue;
    }
    if (now <= machine.lease.grace_until) continue;
    const double expected_s = expected_boot_s(*type, machine.kind.zone, now);
    if (now - machine.cloud.provisioned_at <= kOverdueFactor * expected_s) continue;
    machine.cloud.overdue = true;
    boot_times_.record_overdue(location_of(machine), now);
    changes_.raise();
  }
}

double BootMonitor::expected_boot_s(const wire::MachineType& type, const std::string& zone,
                                    double now) const {
  return boot_times_.expected_s({type.name, zone}, type.ready_s, now);
}

double BootMonitor::penalty(const wire::MachineType& type, const std::string& zone,
                            double now) const {
  return boot_times_.penalty({type.name, zone}, type.ready_s, now);
}

}  // namespace cranklock::sched
