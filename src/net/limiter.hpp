// A limit on requests in progress that adapts to measured times.
#pragma once

namespace cranklock::net {

/// Grows by one request per limit's worth of requests that took little longer than the best
/// lately seen, and shrinks by a fifth, at most once in the time one takes, when they take more
/// than twice that and longer than `target_s`.
class Limiter {
 public:
  Limiter(double least, double most, double target_s)
      : min_(least), max_(most), target_s_(target_s), limit_(most / 2) {}

  bool try_enter();
  void leave(double took_s, double now);
  double limit() const { return limit_; }
  int inside() const { return inside_; }

 private:
  double min_, max_, target_s_, limit_;
  double best_s_ = 0.0;
  double shrunk_at_ = -1e9;
  int inside_ = 0;
};

}  // namespace cranklock::net
