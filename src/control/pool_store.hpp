// Stores the state of the pools.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "control/leader_context.hpp"
#include "net/task.hpp"
#include "sched/scaler.hpp"

namespace cranklock::control {

/// Reads and writes the records of pools, `pools/<name>`. Each write is conditional on the leader's
/// key and on the record's revision (invariant 1).
class PoolStore {
 public:
  /// The states that are stored, by pool name.
  using States = std::map<std::string, sched::PoolState>;

  /// Made when the leader term begins. The context outlives it.
  explicit PoolStore(const LeaderContext& context) : context_(context) {}

  /// Reads all records into `states`; false when the key-value store did not answer with them.
  net::Task<bool> load(States& states);
  /// Writes one record. A write that fails is not repeated: the pool's next change writes it.
  net::Task<void> write(std::string name, sched::PoolState state);

 private:
  const LeaderContext& context_;
  std::map<std::string, std::uint64_t> revisions_;
};

}  // namespace cranklock::control
