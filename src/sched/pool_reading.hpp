// Measures the load of each pool, and the machines it lacks, from the cluster state for the scaler.
#pragma once

#include <map>

#include "sched/cluster_state.hpp"
#include "sched/shortfall.hpp"

namespace cranklock::sched {

/// One measurement of a pool.
struct PoolReading {
  /// The mean allocated share of the schedulable machines, plus the requested resources as a share
  /// of the schedulable and starting machines. May exceed 1 while tasks are waiting.
  double score = 0;
  int machines = 0;  ///< schedulable and starting
  int wanted = 0;    ///< new machines needed by waiting tasks
  int deficit = 0;   ///< machines to add to reduce the score to `high`; may be negative
};

/// Measures all pools of the known machine types. `high` is the score above which pools scale out.
/// A pool without schedulable machines but with waiting tasks has a score above `high`. If all
/// tasks on an ordinary machine may run on spot machines, their resources also count as requested
/// from the spot pool, so that the ordinary machine can be drained.
std::map<PoolId, PoolReading> read_pools(ClusterState& cluster, const Shortfall& shortfall,
                                         double high);

}  // namespace cranklock::sched
