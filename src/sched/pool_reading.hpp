// How full the pools are and what they lack, measured from the cluster state for the scaler.
#pragma once

#include <map>

#include "sched/cluster_state.hpp"
#include "sched/shortfall.hpp"

namespace cranklock::sched {

/// One measurement of a pool.
struct PoolReading {
  /// Allocated over total resources, as the mean of the schedulable machines, plus requested ones
  /// over those of schedulable and starting machines. Above 1 where work waits for more than that.
  double score = 0;
  int machines = 0;  ///< schedulable and starting
  int wanted = 0;    ///< new machines that waiting work would fill
  int missing = 0;   ///< machines until all of them bring the score down to High; may be below 0
};

/// Measures all pools of the known machine types. A pool with nothing schedulable and work waiting
/// is above High. What is on an ordinary machine that holds nothing but work for spot machines is
/// requested of the spot pool too, so that the ordinary machine empties.
std::map<PoolId, PoolReading> read_pools(ClusterState& cluster, const Shortfall& shortfall,
                                         double high);

}  // namespace cranklock::sched
