// The scaling decision for one pool: windowed thresholds, separate cooldowns and capped steps
// (docs/design.md). Pure: no I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "base/settings.hpp"
#include "sched/pool_reading.hpp"

namespace cranklock::sched {

/// The state of a pool in the key-value store; written only when it changes.
struct PoolState {
  int target_machines = 0;          ///< as last decided
  std::int64_t last_scaled_ms = 0;  ///< wall-clock time of the last scaling, including refused ones
  bool operator==(const PoolState&) const = default;
};

/// The most machines that one scale-out step adds to a pool of this size, apart from the limit of
/// the pool; at least 1.
int max_scale_out_step(const base::ScalerSettings& settings, int pool_machines);

/// The scores of a pool over its longest window.
class ScoreHistory {
 public:
  void add(double score, double now) { entries_.push_back({now, score}); }
  /// Discards the scores from before `time`, which no window covers any more.
  void discard_before(double time);
  /// Whether every score in the window ending now was above (below) the threshold. False until the
  /// history covers the whole window, since a leader has no scores from before its term.
  bool stayed_above(double threshold, double window_s, double now) const;
  bool stayed_below(double threshold, double window_s, double now) const;

 private:
  struct Entry {
    double time, score;
  };
  template <class Condition>
  bool holds_throughout(double window_s, double now, Condition condition) const;

  std::deque<Entry> entries_;  ///< oldest first
};

/// Decides when a pool scales, and by how much.
class Pool {
 public:
  explicit Pool(const base::ScalerSettings& settings) : settings_(settings) {}

  PoolState state;

  /// Records a reading; returns the number of machines to add (positive) or to remove (negative).
  /// `state_rebuilt` is false while a new leader is still rebuilding its cluster state; nothing is
  /// scaled until then.
  int decide(const PoolReading& reading, bool state_rebuilt, std::int64_t wall_ms, double now);
  /// Records a scaling to `target_machines` and starts the cooldowns. Also called when the cloud
  /// refused the request, so that every retry waits for a cooldown.
  void record_scaling(int target_machines, std::int64_t wall_ms);

 private:
  void record(const PoolReading& reading, double now);
  bool has_unmet_demand(double now) const;
  int scale_out_step(const PoolReading& reading) const;
  int scale_in_step(const PoolReading& reading) const;

  const base::ScalerSettings& settings_;
  ScoreHistory scores_;
  /// Time of the first of the latest consecutive readings with `wanted` above 0; none if the last
  /// reading had `wanted` 0.
  std::optional<double> wanted_since_;
};

}  // namespace cranklock::sched
