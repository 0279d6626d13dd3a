#include "control/store_monitor.hpp"

#include <algorithm>

#include "control/record_keys.hpp"
#include "control/small_records.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using store::Status;

Task<void> StoreMonitor::run() {
  constexpr double kTimeout = 1.0;
  constexpr double kInterval = 1.0, kIntervalUnreached = 0.25;
  for (;;) {
    auto reading = services_.store.read(kLeaderKey, kTimeout);
    const auto found = co_await reading;
    if (found.status == Status::ok || found.status == Status::not_found) {
      note_answer();
      note_leader(found);
    }
    Sleep pause(services_.reactor, reaches_store() ? kInterval : kIntervalUnreached);
    co_await pause;
  }
}

bool StoreMonitor::reaches_store() const {
  constexpr double kMaxAge = 2.5;  // the store is asked every second
  return services_.reactor.now() - last_answer_at_ < kMaxAge;
}

void StoreMonitor::note_leader(const store::ReadResult& found) {
  leader_.clear();
  if (found.status != Status::ok) return;
  leader_fencing_token_ = std::max(leader_fencing_token_, found.value.revision);
  if (const auto record = read_leader(found.value.data)) leader_ = record->name;
}

}  // namespace cranklock::control
