// The scaler's decision for one pool: windowed thresholds, separate cooldowns and capped steps
// (docs/design.md). Pure: no I/O, time passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "base/settings.hpp"
#include "sched/pool_reading.hpp"

namespace cranklock::sched {

/// What the key-value store holds of a pool. It is written only when it changes.
struct PoolState {
  int count = 0;               ///< machines wanted, as last decided
  std::int64_t scaled_ms = 0;  ///< time of day of the last scaling, refused ones included
  bool operator==(const PoolState&) const = default;
};

/// The scores of a pool, back to the beginning of its longest window.
class ScoreHistory {
 public:
  void add(double score, double now) { entries_.push_back({now, score}); }
  /// Drops the scores from before that time, which no window reaches back to.
  void forget_before(double time);
  /// Whether every score of the window that ends now was above (below) the threshold. False until
  /// the history reaches back over all of the window: the start of a term proves nothing about the
  /// time before.
  bool stayed_above(double threshold, double window_s, double now) const;
  bool stayed_below(double threshold, double window_s, double now) const;

 private:
  struct Entry {
    double at, score;
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

  /// Takes a reading in; returns how many machines to add (above 0) or to give back (below 0).
  /// `settled` is false while a new leader still rebuilds its cluster state: it scales nothing.
  int decide(const PoolReading& reading, bool settled, std::int64_t wall_ms, double now);
  /// Records a scaling to this many machines, from which the cooldowns count. The caller records it
  /// also when the cloud refused, so that every retry waits a cooldown.
  void record_scaling(int count, std::int64_t wall_ms);

 private:
  void record(const PoolReading& reading, double now);
  bool lacks_machines(double now) const;
  int scale_out_step(const PoolReading& reading) const;
  int scale_in_step(const PoolReading& reading) const;

  const base::ScalerSettings& settings_;
  ScoreHistory scores_;
  /// Since when every reading has wanted machines; none if the last one did not.
  std::optional<double> wanted_since_;
};

}  // namespace cranklock::sched
