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
  const auto* hello = std::get_if<RegionHello>(&frame);
  if (hello == nullptr) return region_.empty() ? "it did not begin with a hello" : "";
  if (hello->region == settings_.self || settings_.find(hello->region) == nullptr) {
    return "the region " + hello->region + " is not known";
  }
  if (!region_.empty() && hello->region != region_) {
    return "region " + region_ + " calls itself " + hello->region;
  }
  if (hello->founder != settings_.founder) {
    return "region " + hello->region + " names " + hello->founder + " as the founder, not " +
           settings_.founder;
  }
  region_ = hello->region;
  return {};
}

}  // namespace cranklock::regions
