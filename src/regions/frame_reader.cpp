#include "regions/frame_reader.hpp"

namespace cranklock::regions {

FrameReader::ReceivedFrames FrameReader::feed(std::string_view bytes) {
  buffer_.append(bytes);
  ReceivedFrames received;
  for (;;) {
    RegionFrame frame;
    const UnpackResult result = unpack(buffer_, frame);
    if (result == UnpackResult::incomplete) return received;
    received.error = result == UnpackResult::frame ? check(frame) : describe(result, buffer_);
    if (!received.error.empty()) return received;
    received.frames.push_back(std::move(frame));
  }
}

std::string FrameReader::check(const RegionFrame& frame) {
  const auto* heartbeat = std::get_if<RegionHeartbeat>(&frame);
  if (heartbeat == nullptr) return region_.empty() ? "first frame is not a heartbeat" : "";
  if (heartbeat->region == settings_.self || settings_.find(heartbeat->region) == nullptr) {
    return "heartbeat names region " + heartbeat->region + ", expected another configured region";
  }
  if (!region_.empty() && heartbeat->region != region_) {
    return "heartbeat names region " + heartbeat->region + ", expected " + region_;
  }
  if (heartbeat->bootstrap_region != settings_.bootstrap_region) {
    return "heartbeat of region " + heartbeat->region + " names bootstrap region " +
           heartbeat->bootstrap_region + ", expected " + settings_.bootstrap_region;
  }
  region_ = heartbeat->region;
  return {};
}

}  // namespace cranklock::regions
