#include "control/machine_type_loader.hpp"

#include <string>
#include <utility>

#include "control/record_keys.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using store::Status;

Task<void> MachineTypeLoader::run() {
  constexpr double kRefreshIntervalS = 60;
  const double retry_interval = services_.settings.heartbeat_interval_s / 3;
  for (;;) {
    auto fetching = services_.cloud.machine_types();
    auto types = co_await fetching;
    if (!types || types->empty()) {
      // The cloud may be unavailable when this controller starts; another controller may have
      // stored the types.
      auto reading = services_.store.read(kTypesKey, kStoreTimeoutS);
      const auto found = co_await reading;
      if (found.status == Status::ok) types = wire::parse_machine_types(found.value.data);
    } else if (!is_stored_) {
      auto storing = store_types(*types);
      co_await storing;
    }
    if (types && !types->empty()) job_api_.set_types(std::move(*types));
    const bool done = job_api_.has_types() && is_stored_;
    Sleep pause(services_.reactor, done ? kRefreshIntervalS : retry_interval);
    co_await pause;
  }
}

// Written only if none is stored: the first copy is kept.
Task<void> MachineTypeLoader::store_types(std::vector<wire::MachineType> types) {
  wire::JsonWriter writer;
  wire::write_machine_types(writer, types);
  std::string text = writer.take();
  if (text.size() > services_.store.max_value_bytes()) {
    is_stored_ = true;  // longer than the store's value limit
    co_return;
  }
  std::vector<wire::Compare> compares{{kTypesKey, 0}};
  std::vector<wire::Mutation> mutations{{kTypesKey, std::move(text), 0}};
  auto writing =
      services_.store.compare_and_swap(std::move(compares), std::move(mutations), kStoreTimeoutS);
  const auto written = co_await writing;
  is_stored_ = written.status == Status::ok || written.status == Status::precondition_failed;
}

}  // namespace cranklock::control
