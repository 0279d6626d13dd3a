// Rate of events over consecutive windows.
#pragma once

namespace cranklock::base {

/// Measures events per second. A window ends with the first call at least `window_s` after its
/// start. If that call is less than 2 * `window_s` after the start, the rate becomes that of the
/// window, otherwise 0. The rate is 0 until the first window has ended.
class EventRate {
 public:
  explicit EventRate(double window_s) : window_s_(window_s) {}

  /// Records an event. `now`: steady clock in seconds, never less than in an earlier call.
  void record(double now) {
    close_elapsed_window(now);
    ++count_;
  }
  /// Returns the rate of the last window that has ended. `now`: as in record().
  double per_second(double now) {
    close_elapsed_window(now);
    return rate_;
  }

 private:
  void close_elapsed_window(double now) {
    const double elapsed = now - window_start_;
    if (elapsed < window_s_) return;
    rate_ = elapsed < 2 * window_s_ ? count_ / elapsed : 0;
    count_ = 0;
    window_start_ = now;
  }

  double window_s_;
  double window_start_ = 0;
  double rate_ = 0;
  int count_ = 0;
};

}  // namespace cranklock::base
