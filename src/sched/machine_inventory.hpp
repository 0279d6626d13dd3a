// The machines that the leader knows, by id, and what is allocated on each.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "sched/change_signal.hpp"
#include "sched/machine.hpp"
#include "wire/cloud_api.hpp"

namespace cranklock::sched {

/// Owns the machines and the machine types, and keeps for each machine the references to the live
/// placements on it and the sum of their resources.
class MachineInventory {
 public:
  explicit MachineInventory(ChangeSignal& changes) : changes_(changes) {}

  /// The machine with this id; it is added if neither the cloud's list nor a heartbeat has named it
  /// before.
  Machine& upsert(const std::string& id, const MachineKind& kind, double now);
  /// nullptr: not known.
  Machine* find(const std::string& id);
  /// Removes a machine on which no placement is left.
  void erase(const std::string& id);
  std::map<std::string, Machine>& all() { return machines_; }

  /// Counts a placement on its machine. The machine may be unknown as yet: a stored record may name
  /// one that neither the list nor a heartbeat has shown.
  void attach(const PlacementRef& placement, const std::string& machine_id);
  void detach(const PlacementRef& placement, const std::string& machine_id, double now);

  void set_types(std::vector<wire::MachineType> types);
  const std::map<std::string, wire::MachineType>& types() const { return types_; }
  /// nullptr: the cloud does not list it.
  const wire::MachineType* type(const std::string& name) const;

 private:
  ChangeSignal& changes_;
  std::map<std::string, Machine> machines_;
  /// Placements on machines that are not known yet, by machine id.
  std::map<std::string, std::vector<PlacementRef>> unattached_;
  std::map<std::string, wire::MachineType> types_;
};

}  // namespace cranklock::sched
