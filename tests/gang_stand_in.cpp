#include "gang_stand_in.hpp"

namespace cranklock::testing {

GangState GangStandIn::advance(const GangAttempt& attempt, const GangPlan& plan,
                               std::size_t present, double now) {
  Progress& progress = attempts_[attempt];
  const bool is_whole = present == plan.tasks;
  if (progress.state == GangState::waiting && is_whole) {
    progress.state = GangState::running;
    progress.started_at = now;
    progress.last_whole_at = now;
  }
  if (progress.state != GangState::running) return progress.state;
  if (is_whole) {
    progress.last_whole_at = now;
    if (now - progress.started_at > plan.run_s) progress.state = GangState::completed;
  } else if (now - progress.last_whole_at > plan.notice_s) {
    progress.state = GangState::task_lost;
  }
  return progress.state;
}

}  // namespace cranklock::testing
