#include "sched/machine_inventory.hpp"

#include <algorithm>
#include <utility>

namespace cranklock::sched {

Machine& MachineInventory::upsert(const std::string& id, const MachineKind& kind, double now) {
  if (Machine* known = find(id)) return *known;
  Machine machine;
  machine.id = id;
  machine.kind = kind;
  machine.known_since = now;
  machine.idle_since = now;
  machine.cloud.provisioned_at = now;
  if (const auto unattached = unattached_.find(id); unattached != unattached_.end()) {
    machine.tasks = std::move(unattached->second);
    unattached_.erase(unattached);
    for (const PlacementRef& ref : machine.tasks) machine.allocated += ref.job->spec.resources;
  }
  changes_.raise();
  return machines_.emplace(id, std::move(machine)).first->second;
}

Machine* MachineInventory::find(const std::string& id) {
  const auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

void MachineInventory::erase(const std::string& id) {
  machines_.erase(id);
}

void MachineInventory::attach(const PlacementRef& placement, const std::string& machine_id) {
  Machine* machine = find(machine_id);
  if (machine == nullptr) {
    unattached_[machine_id].push_back(placement);
    return;
  }
  machine->allocated += placement.job->spec.resources;
  machine->tasks.push_back(placement);
}

void MachineInventory::detach(const PlacementRef& placement, const std::string& machine_id,
                              double now) {
  Machine* machine = find(machine_id);
  if (machine == nullptr) {
    const auto unattached = unattached_.find(machine_id);
    if (unattached == unattached_.end()) return;
    std::erase(unattached->second, placement);
    if (unattached->second.empty()) unattached_.erase(unattached);
    return;
  }
  const auto attached = std::find(machine->tasks.begin(), machine->tasks.end(), placement);
  if (attached == machine->tasks.end()) return;
  machine->tasks.erase(attached);
  machine->allocated -= placement.job->spec.resources;
  if (machine->tasks.empty()) {
    machine->allocated = {};  // clears the rounding error
    machine->idle_since = now;
  }
}

void MachineInventory::set_types(std::vector<wire::MachineType> types) {
  types_.clear();
  for (auto& type : types) {
    auto name = type.name;
    types_.emplace(std::move(name), std::move(type));
  }
}

const wire::MachineType* MachineInventory::type(const std::string& name) const {
  const auto found = types_.find(name);
  return found == types_.end() ? nullptr : &found->second;
}

}  // namespace cranklock::sched
