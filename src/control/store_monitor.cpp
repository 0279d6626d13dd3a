#include "control/store_monitor.hpp"

#include <algorithm>

#include "control/record_keys.hpp"
#include "control/small_records.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using store::Status;

Task<void> StoreMonitor::run() {
  constexpr double kTimeoutS = 1.0;
  constexpr double kIntervalS = 1.0, kUnreachableIntervalS = 0.25;
  for (;;) {
    auto reading = services_.store.read(kLeaderKey, kTimeoutS);
    const auto found = co_await reading;
    if (found.status == Status::ok || found.status == Status::not_found) {
      note_answer();
      note_leader(found);
    }
    Sleep pause(services_.reactor, reaches_store() ? kIntervalS : kUnreachableIntervalS);
    co_await pause;
  }
}

bool StoreMonitor::reaches_store() const {
  constexpr double kMaxAnswerAgeS = 2.5;  // seconds; the leader key is read every second
  return services_.reactor.now() - last_answer_at_ < kMaxAnswerAgeS;
}

void StoreMonitor::note_leader(const store::ReadResult& found) {
  leader_.clear();
  if (found.status != Status::ok) return;
  leader_fencing_token_ = std::max(leader_fencing_token_, found.value.revision);
  if (const auto record = read_leader(found.value.data)) leader_ = record->name;
}

}  // namespace cranklock::control
