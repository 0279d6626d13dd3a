// Limits how often a connection between controllers is written to.
#pragma once

#include <algorithm>
#include <limits>

#include "base/settings.hpp"

namespace cranklock::peer {

/// Paces the writes of one connection. A frame is written at once if the last write is at least
/// `interval_s` ago; frames queued earlier are written together when the interval has passed. On a
/// small machine a packet costs several times as much processor time as the frames in it.
class WritePacing {
 public:
  explicit WritePacing(double interval_s) : interval_s_(interval_s) {}

  /// Returns the earliest time of the next write, in seconds on the steady clock.
  double next_write_at() const { return last_write_at_ + interval_s_; }
  void on_write(double now) { last_write_at_ = now; }

 private:
  double interval_s_;
  double last_write_at_ = -std::numeric_limits<double>::infinity();
};

/// Returns the interval in seconds at which the writes of one connection take at most 4 % of this
/// controller's share of a core, but at most a quarter of the agents' heartbeat interval.
inline double write_interval_s(const base::Settings& settings) {
  constexpr double kConnectionShare = 0.04;  // of the controller's share of a core
  constexpr double kPacketsPerWrite = 2;     // the write and its acknowledgement
  return std::min(
      kPacketsPerWrite * base::kCpuSecondsPerPacket / (kConnectionShare * settings.core_share),
      settings.heartbeat_interval_s / 4);
}

}  // namespace cranklock::peer
