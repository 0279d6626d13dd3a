// The machines by id, and the resources allocated on each.
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

  /// The machine with this id; adds it if it is unknown.
  Machine& upsert(const std::string& id, const MachineKind& kind, double now);
  /// nullptr: the machine is unknown.
  Machine* find(const std::string& id);
  /// Removes a machine, which must have no placements left.
  void erase(const std::string& id);
  std::map<std::string, Machine>& all() { return machines_; }
  const std::map<std::string, Machine>& all() const { return machines_; }

  /// Adds a placement to its machine. The machine may still be unknown: a stored record may name a
  /// machine that has appeared neither in the cloud's list nor in a heartbeat.
  void attach(const PlacementRef& placement, const std::string& machine_id);
  void detach(const PlacementRef& placement, const std::string& machine_id, double now);

  void set_types(std::vector<wire::MachineType> types);
  const std::map<std::string, wire::MachineType>& types() const { return types_; }
  /// nullptr: the cloud does not list the type.
  const wire::MachineType* type(const std::string& name) const;

 private:
  ChangeSignal& changes_;
  std::map<std::string, Machine> machines_;
  /// Placements on unknown machines, by machine id.
  std::map<std::string, std::vector<PlacementRef>> unattached_;
  std::map<std::string, wire::MachineType> types_;
};

}  // namespace cranklock::sched
