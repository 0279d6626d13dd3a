// Polls the cloud for its list of machines and its machine types.
#pragma once

#include <vector>

#include "control/leader_context.hpp"
#include "control/machine_deleter.hpp"
#include "net/task.hpp"

namespace cranklock::control {

/// Adds listed machines to the cluster state and updates their listed properties. A machine that is
/// missing from the list is not removed, since the list is delayed (invariant 8).
class CloudInventory {
 public:
  /// Created when the leader term begins. All referenced objects must outlive it.
  CloudInventory(const LeaderContext& context, const MachineDeleter& deleter)
      : context_(context), deleter_(deleter) {}

  /// Polls the list of machines until cancelled.
  net::Task<void> poll_machines();
  /// Polls the machine types until cancelled.
  net::Task<void> poll_machine_types();

 private:
  void apply_machine_list(const std::vector<wire::ListedMachine>& listed_machines);

  const LeaderContext& context_;
  const MachineDeleter& deleter_;
};

}  // namespace cranklock::control
