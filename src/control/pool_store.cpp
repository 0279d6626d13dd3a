#include "control/pool_store.hpp"

#include <utility>
#include <vector>

#include "control/record_keys.hpp"
#include "control/small_records.hpp"

namespace cranklock::control {

using net::Task;
using store::Status;

Task<bool> PoolStore::load(States& states) {
  auto reading = context_.services.store.read_all(kPoolsPrefix, kStoreTimeoutS);
  const auto records = co_await reading;
  if (records.status != Status::ok) co_return false;
  for (const auto& record : records.page.items) {
    const auto name = pool_name_from_key(record.key);
    const auto state = read_pool(record.data);
    // A malformed record is treated as a pool that was never scaled.
    states[name] = state ? *state : sched::PoolState{};
    revisions_[name] = record.revision;
  }
  co_return true;
}

Task<void> PoolStore::write(std::string name, sched::PoolState state) {
  const std::string key = pool_key(name);
  std::vector<wire::Compare> compares{{kLeaderKey, context_.lease.fencing_token()},
                                      {key, revisions_[name]}};
  std::vector<wire::Mutation> mutations{{key, write_pool(state), 0}};
  auto writing = context_.services.store.compare_and_swap(std::move(compares), std::move(mutations),
                                                          kStoreTimeoutS);
  const auto result = co_await writing;
  if (result.status == Status::ok) {
    revisions_[name] = result.revision;
  } else if (result.status != Status::rejected) {
    // This write, or an earlier one without a response, may have changed the revision.
    auto reading = context_.services.store.read(key, kStoreTimeoutS);
    const auto found = co_await reading;
    if (found.status == Status::ok) revisions_[name] = found.value.revision;
  }
}

}  // namespace cranklock::control
