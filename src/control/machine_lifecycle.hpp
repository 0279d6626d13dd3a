// The leader's machines, from the list to their deletion.
#pragma once

#include <string>

#include "control/cloud_inventory.hpp"
#include "control/leader_context.hpp"
#include "control/machine_deleter.hpp"
#include "control/machine_supervisor.hpp"

namespace cranklock::control {

/// Owns the parts that keep the cluster state's machines in step with the cloud: the inventory, the
/// supervisor and the deleter.
class MachineLifecycle {
 public:
  /// Made when the leader term begins. The context outlives it.
  explicit MachineLifecycle(const LeaderContext& context)
      : deleter_(context), inventory_(context, deleter_), supervisor_(context, deleter_) {}
  /// Its parts refer to one another.
  MachineLifecycle(const MachineLifecycle&) = delete;
  MachineLifecycle& operator=(const MachineLifecycle&) = delete;

  /// Starts following the cloud, supervision and deletions; they end with the scope.
  void start(net::Scope& scope) {
    scope.spawn(inventory_.follow_list());
    scope.spawn(inventory_.follow_types());
    scope.spawn(supervisor_.run());
    scope.spawn(deleter_.run());
  }
  /// See MachineDeleter::terminate.
  void terminate(sched::Machine& machine, TerminationReason reason) {
    deleter_.terminate(machine, reason);
  }
  /// See MachineDeleter::is_deleted.
  bool is_deleted(const std::string& machine) const { return deleter_.is_deleted(machine); }

 private:
  MachineDeleter deleter_;
  CloudInventory inventory_;
  MachineSupervisor supervisor_;
};

}  // namespace cranklock::control
