// Splits the bytes of one connection between regions into frames and checks them. Pure.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/region_settings.hpp"
#include "regions/frames.hpp"

namespace cranklock::regions {

/// Reads one connection. Its first frame must be a heartbeat, which names the region that all its
/// frames come from.
class FrameReader {
 public:
  explicit FrameReader(const base::RegionSettings& settings) : settings_(settings) {}

  struct Arrived {
    std::vector<RegionFrame> frames;  ///< in their order, heartbeats too
    /// Why the connection is to be closed: what came after `frames` can't be used. Empty if it can.
    std::string error;
  };
  /// Takes bytes in pieces of any size. Nothing may be fed after an error.
  Arrived feed(std::string_view bytes);
  /// The region at the other end; empty before its heartbeat.
  const std::string& region() const { return region_; }

 private:
  std::string check(const RegionFrame& frame);

  const base::RegionSettings& settings_;
  std::string buffer_, region_;
};

}  // namespace cranklock::regions
