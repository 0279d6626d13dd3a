// The machines that waiting work lacks, as the scaler is told of them.
#pragma once

#include <map>
#include <string>

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// What is scaled by itself: the ordinary machines of a type, or its spot ones. They are rented for
/// different work at different prices, so room on the one says little about need of the other.
struct PoolId {
  std::string type;
  bool spot = false;
  auto operator<=>(const PoolId&) const = default;  // NOLINT(modernize-use-nullptr)
  /// As in the key of its record and in log lines.
  std::string name() const { return spot ? type + "/spot" : type; }
};
/// The pool that machines of the kind belong to.
inline PoolId pool_of(const MachineKind& kind) {
  return {kind.type, kind.spot};
}

/// Work that found no machine though its team may run it, as machines to be added.
struct Shortfall {
  /// New machines by kind, beyond those that are booting.
  std::map<MachineKind, int> wanted;
  /// Resources requested by waiting tasks, by the pool that would take them.
  std::map<PoolId, wire::Resources> waiting;
};

}  // namespace cranklock::sched
