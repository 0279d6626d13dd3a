// Watches machines boot: which are overdue, and how long boots take.
#pragma once

#include <string>

#include "sched/boot_times.hpp"
#include "sched/change_signal.hpp"
#include "sched/machine_inventory.hpp"

namespace cranklock::sched {

/// Learns boot times from the machines that this leader provisioned, and marks machines that boot
/// for much longer than was lately seen of their type and zone: no room is expected of those.
class BootMonitor {
 public:
  /// Both must outlive this object.
  BootMonitor(MachineInventory& machines, ChangeSignal& changes)
      : machines_(machines), changes_(changes) {}

  /// A message of the machine's agent has come. To be called before the machine is marked as heard;
  /// only the first message under this leader tells how long the boot took.
  void record_message(Machine& machine, double now);
  /// To be called periodically.
  void update_overdue(double now);

  /// How many seconds a boot of the type should take there now; not less than the cloud says.
  double expected_boot_s(const wire::MachineType& type, const std::string& zone, double now) const;
  /// How much worse boots there lately are than the cloud says: 1 is as it says.
  double penalty(const wire::MachineType& type, const std::string& zone, double now) const;

 private:
  MachineInventory& machines_;
  ChangeSignal& changes_;
  BootTimes boot_times_;
};

}  // namespace cranklock::sched
