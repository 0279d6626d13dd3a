// Follows the cloud's list of machines and its machine types.
#pragma once

#include <vector>

#include "control/leader_context.hpp"
#include "control/machine_deleter.hpp"
#include "net/task.hpp"

namespace cranklock::control {

/// Adds listed machines to the cluster state and keeps what is listed of them up to date. A machine
/// that the list lacks is not removed, since the list lags (invariant 8).
class CloudInventory {
 public:
  /// Made when the leader term begins. All that is referred to outlives it.
  CloudInventory(const LeaderContext& context, const MachineDeleter& deleter)
      : context_(context), deleter_(deleter) {}

  /// Reads the list of machines, for ever.
  net::Task<void> follow_list();
  /// Reads the machine types, for ever.
  net::Task<void> follow_types();

 private:
  void apply_list(const std::vector<wire::ListedMachine>& listed_machines);

  const LeaderContext& context_;
  const MachineDeleter& deleter_;
};

}  // namespace cranklock::control
