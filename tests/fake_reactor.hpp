// A reactor in simulated time: timers run in the order in which they are due, and the clock
// advances from one to the next. In the test cluster each node has a loop of its own on a shared
// clock, so that one node can be paused while the others run.
#pragma once

#include <algorithm>
#include <limits>
#include <vector>

#include "net/reactor.hpp"

namespace cranklock::testing {

/// The clock of a test, and the event loop of everything that is not a node.
class FakeReactor : public net::Reactor {
 public:
  /// An event loop on this reactor's clock.
  class Loop : public net::Reactor {
   public:
    explicit Loop(FakeReactor& clock) : clock_(clock) { clock_.loops_.push_back(this); }
    ~Loop() override { std::erase(clock_.loops_, this); }
    double now() const override { return clock_.now(); }
    std::int64_t wall_ms() const override { return clock_.wall_ms(); }

    /// While set, no timer of this loop runs; timers that are due run after it is cleared.
    bool paused = false;

   private:
    friend class FakeReactor;
    double next_due() const {
      return paused || timers().empty() ? kNever : timers().begin()->first.first;
    }
    void rearm() override {}
    FakeReactor& clock_;
  };

  double now() const override { return now_; }
  std::int64_t wall_ms() const override {
    return 1'000'000 + static_cast<std::int64_t>(now_ * 1000);
  }
  /// Runs all timers that are due by `end`, earliest first, and sets the clock to `end`.
  void run_until(double end) {
    for (;;) {
      Loop* next_loop = nullptr;
      double due = timers().empty() ? kNever : timers().begin()->first.first;
      for (Loop* loop : loops_) {
        if (loop->next_due() >= due) continue;
        next_loop = loop;
        due = loop->next_due();
      }
      if (due > end) break;
      now_ = std::max(now_, due);
      next_loop != nullptr ? next_loop->run_due_timers() : run_due_timers();
    }
    now_ = end;
  }

 private:
  static constexpr double kNever = std::numeric_limits<double>::infinity();
  void rearm() override {}
  double now_ = 0;
  std::vector<Loop*> loops_;
};

}  // namespace cranklock::testing
