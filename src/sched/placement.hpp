// The placement pass: places tasks, requests preemptions and computes the shortfall of machines.
#pragma once

#include <cstddef>
#include <map>

#include "sched/cluster_state.hpp"
#include "sched/shortfall.hpp"

namespace cranklock::sched {

/// The result of one placement pass. Placements and requested stops are in the cluster state.
struct PassResult {
  int placed = 0;     ///< tasks
  int preempted = 0;  ///< tasks whose stop was requested
  /// The pass ended before all jobs were handled: the shortfall is not known, and another pass is
  /// needed.
  bool incomplete = false;
  std::size_t candidates_examined = 0;  ///< machines; each search counts a machine again
  Shortfall shortfall;
};

/// Orders the waiting jobs by guarantee, priority and age and places the tasks that fit; then
/// preempts for jobs entitled to it; then computes the shortfall. `refused_until` holds, for
/// machine kinds that the cloud recently had no capacity for, the time until which none are
/// requested. LeaderTerm calls this, and writes the placements before it sends starts (invariant
/// 2).
PassResult place_waiting_jobs(ClusterState& cluster,
                              const std::map<MachineKind, double>& refused_until, double now);

}  // namespace cranklock::sched
