#include "net/token_bucket.hpp"

#include <algorithm>

namespace cranklock::net {

void TokenBucket::set_rate(double rate, double burst) {
  const double capacity = std::max(rate, burst);
  if (rate_ == 0) level_ = capacity;  // full when new
  rate_ = rate;
  capacity_ = capacity;
}

void TokenBucket::refill() {
  const double now = reactor_.now();
  if (refilled_at_ > 0) level_ = std::min(capacity_, level_ + (now - refilled_at_) * rate_);
  refilled_at_ = now;
}

double TokenBucket::take(double tokens, double overdraft) {
  constexpr double kTimerResolutionS = 0.001;  // rounds the wait up, so that it is not too short
  refill();
  // A request above the capacity waits for a full bucket.
  const double needed = std::min(tokens, capacity_);
  const double min_level = needed - overdraft;
  if (level_ < min_level) return (min_level - level_) / rate_ + kTimerResolutionS;
  level_ -= tokens;
  return 0.0;
}

void TokenBucket::force_take(double tokens) {
  refill();
  level_ -= tokens;
}

void TokenBucket::drain() {
  refill();
  level_ = std::min(level_, 0.0);
}

}  // namespace cranklock::net
