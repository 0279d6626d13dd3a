// A flag that requests a placement pass after a relevant change of the cluster state.
#pragma once

#include <utility>

namespace cranklock::sched {

/// Raised by the components of the cluster state when a job, a machine or a placement changes in a
/// way that may allow or require other placements; cleared by the caller that starts placement
/// passes.
class ChangeSignal {
 public:
  void raise() { raised_ = true; }
  /// Clears the flag; returns whether it was raised since the last call. The first call returns
  /// true.
  bool take() { return std::exchange(raised_, false); }

 private:
  bool raised_ = true;  // a new leader always runs a first pass
};

}  // namespace cranklock::sched
