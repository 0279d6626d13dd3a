// How often a connection between controllers is written to.
#pragma once

#include <algorithm>
#include <limits>

#include "base/settings.hpp"

namespace cranklock::peer {

/// Spaces out the writes of one connection. A frame that comes after a quiet spell leaves at once;
/// frames that come sooner than `interval_s` after the last write wait for the rest of the interval
/// and leave together. On a small machine a packet costs several times what the frames in it do.
class WritePacing {
 public:
  explicit WritePacing(double interval_s) : interval_s_(interval_s) {}

  /// Earliest time of the next write, in seconds on the steady clock.
  double next_write_at() const { return last_write_at_ + interval_s_; }
  void on_write(double now) { last_write_at_ = now; }

 private:
  double interval_s_;
  double last_write_at_ = -std::numeric_limits<double>::infinity();
};

/// The interval with which the writes of one connection take no more than a twenty-fifth of a
/// node's share of a core, but no longer than a quarter of the time between two heartbeats of a
/// worker.
inline double write_interval(const base::Settings& settings) {
  constexpr double kConnectionShare = 0.04;  // of the node's own share of a core
  constexpr double kPacketsPerWrite = 2;     // the write, and what answers it
  return std::min(kPacketsPerWrite * base::kPacketCost / (kConnectionShare * settings.core_share),
                  settings.heartbeat_interval_s / 4);
}

}  // namespace cranklock::peer
