#include "net/limiter.hpp"

#include <algorithm>

namespace cranklock::net {

bool Limiter::try_acquire() {
  if (in_progress_ >= static_cast<int>(limit_)) return false;
  ++in_progress_;
  return true;
}

void Limiter::release(double duration_s, double now) {
  --in_progress_;
  // The best duration grows by 1% with each slower request, so that one exceptionally fast response
  // does not determine it permanently.
  best_duration_s_ =
      best_duration_s_ == 0.0 ? duration_s : std::min(duration_s, best_duration_s_ * 1.01);
  if (duration_s > 2 * best_duration_s_ && duration_s > target_duration_s_) {
    if (now - shrunk_at_ > duration_s) {
      limit_ = std::max(min_limit_, limit_ * 0.8);
      shrunk_at_ = now;
    }
  } else {
    limit_ = std::min(max_limit_, limit_ + 1.0 / limit_);
  }
}

}  // namespace cranklock::net
