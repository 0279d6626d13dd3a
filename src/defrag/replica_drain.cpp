#include "defrag/replica_drain.hpp"

#include <algorithm>

#include "base/settings.hpp"

namespace cranklock::defrag {

bool ReplicaDrain::is_request_due(double now, double heartbeat_interval_s) const {
  const bool requested_lately = requested_ > 0 && now - requested_ < heartbeat_interval_s / 2;
  return !awaits_answer_ && !requested_lately && revoked_ <= 0;
}

double ReplicaDrain::record_request(double now, double lease_s) {
  if (begun_ == 0) begun_ = now;
  requested_ = now;
  awaits_answer_ = true;
  return std::max(begun_ + lease_s - now, 0.0);
}

ReplicaDrain::Result ReplicaDrain::record_answer(const DrainRequest& request,
                                                 const std::optional<DrainAnswer>& answer,
                                                 double sent, double now, double lease_s) {
  awaits_answer_ = false;
  const bool matches = answer && answer->task == request.task && answer->attempt == request.attempt;
  if (answer && (!matches || answer->state == DrainState::refused)) return Result::refused;
  if (matches && answer->state == DrainState::drained) {
    drained_until_ = sent + request.lease_s * (1 - 2 * base::kMaxClockDrift);
    return Result::drained;
  }
  // A drain that was granted earlier runs out.
  constexpr double kMaxSpans = 2;  ///< of the time within which the replica was to be drained
  const bool is_late = !holds(now) && now - begun_ > kMaxSpans * lease_s;
  return is_late ? Result::late : Result::pending;
}

void ReplicaDrain::revoke(double now) {
  drained_until_ = 0;
  revoked_ = now;
}

bool ReplicaDrain::is_revoked_for_good(double now, double heartbeat_interval_s) const {
  constexpr double kHeartbeats = 3;
  return revoked_ > 0 && now - revoked_ > kHeartbeats * heartbeat_interval_s;
}

}  // namespace cranklock::defrag
