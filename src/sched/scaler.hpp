// DESIGN's scaler: windowed thresholds, separate cooldowns, capped steps. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sched/placement.hpp"

namespace cranklock::sched {

/// What a pool is made of at one reading.
struct PoolReading {
  double score = 0;
  int machines = 0;  ///< ready and booting
  int wanted = 0;    ///< new machines that waiting work would fill
  int missing = 0;   ///< machines until ready and booting ones bring the score down to High
};

/// Kept in the state service, and written only when it changes.
struct PoolState {
  int count = 0;               ///< machines wanted, as last decided
  std::int64_t scaled_ms = 0;  ///< time of day of the last scaling, refused ones included
  bool operator==(const PoolState&) const = default;
};

class Pool {
 public:
  explicit Pool(const base::ScalerSettings& settings) : settings_(settings) {}

  PoolState state;

  /// Adds a reading; returns how many machines to add (above 0) or give back (below 0).
  /// `settled` is false while a new leader still rebuilds its cluster state.
  int decide(const PoolReading& reading, bool settled, std::int64_t wall_ms, double now);
  /// Stamps the scale time, whether the cloud gave machines or refused.
  void stamp(int count, std::int64_t wall_ms);

 private:
  const base::ScalerSettings& settings_;
  std::deque<std::pair<double, double>> history_;  ///< time and score
  std::optional<double> wanted_since_;             ///< machines have been, at every reading
};

/// The pools' readings now: the mean over ready machines of booked room over room, plus waiting
/// room over ready and booting room; a pool with nothing ready and work waiting is above High.
/// What an ordinary machine holds that has no other work than such as spot machines may do is asked
/// of the spot pool too.
std::map<PoolId, PoolReading> read_pools(ClusterState& cluster, const Shortfall& shortfall,
                                         double high);

}  // namespace cranklock::sched
