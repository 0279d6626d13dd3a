// A flag that tells the placement pass that there may be something for it to do.
#pragma once

#include <utility>

namespace cranklock::sched {

/// Raised by the parts of the cluster state when a job, a machine or a placement changes in a way
/// that may allow or require other placements; taken by whoever starts placement passes.
class ChangeSignal {
 public:
  void raise() { raised_ = true; }
  /// Whether it was raised since the last call. The first call returns true.
  bool take() { return std::exchange(raised_, false); }

 private:
  bool raised_ = true;  // a new leader has not placed anything yet
};

}  // namespace cranklock::sched
