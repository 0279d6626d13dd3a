// How often something happens.
#pragma once

namespace cranklock::base {

/// Events per second, measured over one window after another. Until the first window is over the
/// rate is 0.
class EventRate {
 public:
  explicit EventRate(double window_s) : window_s_(window_s) {}

  /// An event at this time on the steady clock; times must not go back.
  void note(double now) {
    close_window(now);
    ++count_;
  }
  /// The rate of the last full window, or 0 when nothing happened since.
  double per_second(double now) {
    close_window(now);
    return rate_;
  }

 private:
  void close_window(double now) {
    const double elapsed = now - window_began_;
    if (elapsed < window_s_) return;
    rate_ = elapsed < 2 * window_s_ ? count_ / elapsed : 0;
    count_ = 0;
    window_began_ = now;
  }

  double window_s_;
  double window_began_ = 0;
  double rate_ = 0;
  int count_ = 0;
};

}  // namespace cranklock::base
