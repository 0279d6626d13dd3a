// The shortfall of machines for waiting tasks, as reported to the scaler.
#pragma once

#include <map>
#include <string>

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// The unit of scaling: the ordinary machines of a type, or its spot machines. They serve different
/// jobs at different prices, so free resources of one are no measure of the demand for the other.
struct PoolId {
  std::string type;
  bool spot = false;
  auto operator<=>(const PoolId&) const = default;  // NOLINT(modernize-use-nullptr)
  /// The name used in record keys and log lines.
  std::string name() const { return spot ? type + "/spot" : type; }
};
/// The pool that machines of the kind belong to.
inline PoolId pool_of(const MachineKind& kind) {
  return {kind.type, kind.spot};
}

/// Demand of tasks that could not be placed although the quota of their team allows them.
struct Shortfall {
  /// New machines needed, by kind, in addition to those that are booting.
  std::map<MachineKind, int> wanted;
  /// Resources requested by waiting tasks, by the pool that would run them.
  std::map<PoolId, wire::Resources> requested;
};

}  // namespace cranklock::sched
