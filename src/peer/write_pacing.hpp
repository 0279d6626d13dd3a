// How often a link between controllers is written to.
#pragma once

#include <algorithm>

#include "base/settings.hpp"

namespace cranklock::peer {

/// Spaces out the writes of one link. A frame that comes after a quiet spell leaves at once; frames
/// that come sooner than `interval_s` after the last write wait for the rest of the interval and
/// leave together. On a small machine a packet costs several times what the frames in it do.
class WritePacing {
 public:
  explicit WritePacing(double interval_s) : interval_s_(interval_s) {}

  /// From when on frames may be written, on the steady clock.
  double due() const { return last_write_ + interval_s_; }
  void wrote(double now) { last_write_ = now; }

 private:
  double interval_s_;
  double last_write_ = -1e9;
};

/// The interval with which the writes of one link take no more than a twenty-fifth of a node's
/// share of a core, but no longer than a quarter of the time between two heartbeats of a worker.
inline double write_interval(const base::Settings& settings) {
  constexpr double kLinkShare = 0.04;  // of the node's own share
  constexpr double kPackets = 2;       // a write, and what answers it
  return std::min(kPackets * base::kPacketCost / (kLinkShare * settings.core_share),
                  settings.heartbeat_interval_s / 4);
}

}  // namespace cranklock::peer
