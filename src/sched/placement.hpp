// Which task goes where, what must make room, and which machines are missing.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// What is scaled by itself: the ordinary machines of a type, or its spot ones. They are rented for
/// different work at different prices, so room on the one says little about need of the other.
struct PoolId {
  std::string type;
  bool spot = false;
  auto operator<=>(const PoolId&) const = default;  // NOLINT(modernize-use-nullptr)
  std::string name() const { return spot ? type + "/spot" : type; }
};
inline PoolId pool_of(const MachineKind& kind) {
  return {kind.type, kind.spot};
}

/// Work that found no room though its team may run it, as machines to be added.
struct Shortfall {
  /// New machines by kind, beyond those that are booting.
  std::map<MachineKind, int> wanted;
  /// Room asked by waiting tasks, by the pool that would take them.
  std::map<PoolId, wire::Resources> waiting;
};

struct PassResult {
  int placed = 0;
  int stopped = 0;
  /// It ended before everything was looked at: the shortfall is not known, and more is to be done.
  bool cut_short = false;
  std::size_t looked_at = 0;  ///< machines, each time one was weighed for a task
  Shortfall shortfall;
};

/// Orders the waiting jobs by guarantee, priority and age and places what fits; then picks what to
/// stop for work that is entitled to the room; then adds up what is missing. `refused` holds the
/// kinds that the cloud lately had none of.
PassResult place_waiting(ClusterState& cluster, const std::map<MachineKind, double>& refused_until,
                         double now);

}  // namespace cranklock::sched
