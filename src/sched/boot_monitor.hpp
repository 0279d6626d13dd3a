// Monitors booting machines: boot durations and overdue boots.
#pragma once

#include <string>

#include "sched/boot_times.hpp"
#include "sched/change_signal.hpp"
#include "sched/machine_inventory.hpp"

namespace cranklock::sched {

/// Records the boot times of the machines that this leader provisioned, and marks a machine as
/// overdue when its boot takes much longer than recent boots of its type and zone. The capacity of
/// an overdue machine is no longer expected.
class BootMonitor {
 public:
  /// Both must outlive this object.
  BootMonitor(MachineInventory& machines, ChangeSignal& changes)
      : machines_(machines), changes_(changes) {}

  /// Records a message of the machine's agent. Must be called before `agent.heartbeat_received` is
  /// set: only the first message under this leader gives the duration of the boot.
  void record_message(Machine& machine, double now);
  /// Marks machines whose boot is overdue. To be called periodically.
  void update_overdue(double now);

  /// The boot time to expect of the type in the zone; at least the `ready_s` stated by the cloud.
  double expected_boot_s(const wire::MachineType& type, const std::string& zone, double now) const;
  /// Relative cost of a machine of the type in the zone; 1: recent boots were as the cloud states.
  /// See BootTimes::penalty.
  double penalty(const wire::MachineType& type, const std::string& zone, double now) const;

 private:
  MachineInventory& machines_;
  ChangeSignal& changes_;
  BootTimes boot_times_;
};

}  // namespace cranklock::sched
