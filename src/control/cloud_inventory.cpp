#include "control/cloud_inventory.hpp"

#include <algorithm>
#include <utility>

namespace cranklock::control {

using net::Sleep;
using net::Task;

namespace {
constexpr double kTypesRetryS = 1;  ///< until the machine types have been read once
}  // namespace

Task<void> CloudInventory::poll_machine_types() {
  for (;;) {
    auto reading = context_.services.cloud.machine_types();
    auto types = co_await reading;
    if (types && !types->empty()) {
      context_.cluster.set_types(std::move(*types));
      context_.cluster.mark_changed();
      context_.state_changed.set();
    }
    const bool known = !context_.cluster.types().empty();
    Sleep pause(context_.services.reactor,
                known ? 2 * context_.services.settings.list_lag_s : kTypesRetryS);
    co_await pause;
  }
}

Task<void> CloudInventory::poll_machines() {
  for (;;) {
    auto reading = context_.services.cloud.list_machines();
    const auto listed_machines = co_await reading;
    if (listed_machines) apply_machine_list(*listed_machines);
    const auto known = context_.cluster.machines().size();
    Sleep pause(context_.services.reactor,
                cloud::Client::list_interval_s(context_.services.settings, known));
    co_await pause;
  }
}

void CloudInventory::apply_machine_list(const std::vector<wire::ListedMachine>& listed_machines) {
  const double now = context_.now();
  for (const auto& listed : listed_machines) {
    if (deleter_.is_deleted(listed.id)) continue;
    auto& machine =
        context_.cluster.upsert_machine(listed.id, {listed.type, listed.zone, listed.spot}, now);
    machine.cloud.listed = true;
    machine.cloud.provisioned_at = std::min(machine.cloud.provisioned_at, now - listed.age_s);
    if (machine.address.empty()) machine.address = listed.address;
    if (listed.state == wire::MachineState::failed) machine.cloud.failed = true;
    machine.cloud.booting = listed.state == wire::MachineState::booting;
  }
}

}  // namespace cranklock::control
