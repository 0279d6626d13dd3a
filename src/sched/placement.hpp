// The placement pass: which task goes where, what is preempted, and which machines are missing.
#pragma once

#include <cstddef>
#include <map>

#include "sched/cluster_state.hpp"
#include "sched/shortfall.hpp"

namespace cranklock::sched {

/// What one placement pass has done. The placements and requested stops are in the cluster state.
struct PassResult {
  int placed = 0;     ///< tasks
  int preempted = 0;  ///< tasks whose stop was requested
  /// It ended before all jobs were served: the shortfall is not known, and another pass is due.
  bool incomplete = false;
  std::size_t candidates_examined = 0;  ///< machines, counted anew in each search
  Shortfall shortfall;
};

/// Orders the waiting jobs by guarantee, priority and age and places what fits; then preempts for
/// work that is entitled to it; then adds up what is missing. `refused_until` holds the kinds that
/// the cloud lately had none of. LeaderTerm calls it, and writes the placements before it sends
/// starts (invariant 2).
PassResult place_waiting(ClusterState& cluster, const std::map<MachineKind, double>& refused_until,
                         double now);

}  // namespace cranklock::sched
