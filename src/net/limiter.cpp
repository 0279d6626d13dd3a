#include "net/limiter.hpp"

#include <algorithm>

namespace cranklock::net {

bool Limiter::try_enter() {
  if (inside_ >= static_cast<int>(limit_)) return false;
  ++inside_;
  return true;
}

void Limiter::leave(double took_s, double now) {
  --inside_;
  // The best time is let drift up slowly, so that one lucky answer does not set it for good.
  best_s_ = best_s_ == 0.0 ? took_s : std::min(took_s, best_s_ * 1.01);
  if (took_s > 2 * best_s_ && took_s > target_s_) {
    if (now - shrunk_at_ > took_s) {
      limit_ = std::max(min_, limit_ * 0.8);
      shrunk_at_ = now;
    }
  } else {
    limit_ = std::min(max_, limit_ + 1.0 / limit_);
  }
}

}  // namespace cranklock::net
