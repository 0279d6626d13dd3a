// Splits the bytes of one connection between regions into frames and validates them. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/region_settings.hpp"
#include "regions/frames.hpp"

namespace cranklock::regions {

/// Reader of one connection. The first frame must be a heartbeat; it identifies the region that
/// sends all frames of the connection.
class FrameReader {
 public:
  explicit FrameReader(const base::RegionSettings& settings) : settings_(settings) {}

  struct ReceivedFrames {
    std::vector<RegionFrame> frames;  ///< in order of arrival, including heartbeats
    /// Why the connection must be closed: the bytes after `frames` are invalid. Empty if none are.
    std::string error;
  };
  /// Accepts bytes in pieces of any size. Must not be called again after an error.
  ReceivedFrames feed(std::string_view bytes);
  /// The sending region; empty until its first heartbeat.
  const std::string& region() const { return region_; }

 private:
  std::string check(const RegionFrame& frame);

  const base::RegionSettings& settings_;
  std::string buffer_, region_;
};

}  // namespace cranklock::regions
