#include "regions/session.hpp"

namespace cranklock::regions {

Session::Arrived Session::feed(std::string_view bytes) {
  buffer_.append(bytes);
  Arrived arrived;
  for (;;) {
    RegionFrame frame;
    const FrameResult result = unpack(buffer_, frame);
    if (result == FrameResult::more) return arrived;
    arrived.error = result == FrameResult::frame ? check(frame) : describe(result);
    if (!arrived.error.empty()) return arrived;
    arrived.frames.push_back(std::move(frame));
  }
}

std::string Session::check(const RegionFrame& frame) {
  const auto* heartbeat = std::get_if<RegionHeartbeat>(&frame);
  if (heartbeat == nullptr) return region_.empty() ? "it did not begin with a hello" : "";
  if (heartbeat->region == settings_.self || settings_.find(heartbeat->region) == nullptr) {
    return "the region " + heartbeat->region + " is not known";
  }
  if (!region_.empty() && heartbeat->region != region_) {
    return "region " + region_ + " calls itself " + heartbeat->region;
  }
  if (heartbeat->founder != settings_.founder) {
    return "region " + heartbeat->region + " names " + heartbeat->founder +
           " as the founder, not " + settings_.founder;
  }
  region_ = heartbeat->region;
  return {};
}

}  // namespace cranklock::regions
