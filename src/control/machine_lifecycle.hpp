// Manages the leader's machines from discovery to deletion.
#pragma once

#include <string>

#include "control/cloud_inventory.hpp"
#include "control/leader_context.hpp"
#include "control/machine_deleter.hpp"
#include "control/machine_supervisor.hpp"

namespace cranklock::control {

/// Owns the components that reconcile the machines of the cluster state with the cloud: the
/// inventory, the supervisor and the deleter.
class MachineLifecycle {
 public:
  /// Created when the leader term begins. The context must outlive it.
  explicit MachineLifecycle(const LeaderContext& context)
      : deleter_(context), inventory_(context, deleter_), supervisor_(context, deleter_) {}
  /// Not copyable: its members reference one another.
  MachineLifecycle(const MachineLifecycle&) = delete;
  MachineLifecycle& operator=(const MachineLifecycle&) = delete;

  /// Starts the inventory, the supervisor and the deleter; they run until the scope is destroyed.
  void start(net::Scope& scope) {
    scope.spawn(inventory_.poll_machines());
    scope.spawn(inventory_.poll_machine_types());
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
