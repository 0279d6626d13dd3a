#include "regions/frame_reader.hpp"

namespace cranklock::regions {

FrameReader::Arrived FrameReader::feed(std::string_view bytes) {
  buffer_.append(bytes);
  Arrived arrived;
  for (;;) {
    RegionFrame frame;
    const UnpackResult result = unpack(buffer_, frame);
    if (result == UnpackResult::incomplete) return arrived;
    arrived.error = result == UnpackResult::frame ? check(frame) : describe(result);
    if (!arrived.error.empty()) return arrived;
    arrived.frames.push_back(std::move(frame));
  }
}

std::string FrameReader::check(const RegionFrame& frame) {
  const auto* heartbeat = std::get_if<RegionHeartbeat>(&frame);
  if (heartbeat == nullptr) return region_.empty() ? "it did not begin with a hello" : "";
  if (heartbeat->region == settings_.self || settings_.find(heartbeat->region) == nullptr) {
    return "the region " + heartbeat->region + " is not known";
  }
  if (!region_.empty() && heartbeat->region != region_) {
    return "region " + region_ + " calls itself " + heartbeat->region;
  }
  if (heartbeat->bootstrap_region != settings_.bootstrap_region) {
    return "region " + heartbeat->region + " names " + heartbeat->bootstrap_region +
           " as the founder, not " + settings_.bootstrap_region;
  }
  region_ = heartbeat->region;
  return {};
}

}  // namespace cranklock::regions
