// A limit on concurrent requests that adapts to their measured durations.
#pragma once

namespace cranklock::net {

/// The limit grows by one for each `limit()` requests that are fast enough. It shrinks by a fifth,
/// at most once within the duration of a request, when a request takes more than twice the best
/// recent duration and longer than `target_duration_s`.
class Limiter {
 public:
  Limiter(double min_limit, double max_limit, double target_duration_s)
      : min_limit_(min_limit),
        max_limit_(max_limit),
        target_duration_s_(target_duration_s),
        limit_(max_limit / 2) {}

  bool try_acquire();
  void release(double duration_s, double now);
  double limit() const { return limit_; }
  int in_progress() const { return in_progress_; }

 private:
  double min_limit_, max_limit_, target_duration_s_, limit_;
  double best_duration_s_ = 0.0;
  double shrunk_at_ = -1e9;
  int in_progress_ = 0;
};

}  // namespace cranklock::net
