// Stores the state of the pools.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "control/leader_context.hpp"
#include "net/task.hpp"
#include "sched/scaler.hpp"

namespace cranklock::control {

/// Reads and writes the pool records, `pools/<name>`. Each write is conditional on the revisions of
/// the leader key and of the record (invariant 1).
class PoolStore {
 public:
  /// Stored states by pool name.
  using States = std::map<std::string, sched::PoolState>;

  /// Created when the leader term begins. The context must outlive it.
  explicit PoolStore(const LeaderContext& context) : context_(context) {}

  /// Reads all records into `states`; returns false if the key-value store did not return them.
  net::Task<bool> load(States& states);
  /// Writes one record. A failed write is not retried: the next change of the pool writes the
  /// record again.
  net::Task<void> write(std::string name, sched::PoolState state);

 private:
  const LeaderContext& context_;
  std::map<std::string, std::uint64_t> revisions_;
};

}  // namespace cranklock::control
