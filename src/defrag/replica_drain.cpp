#include "defrag/replica_drain.hpp"

#include <algorithm>

#include "base/settings.hpp"

namespace cranklock::defrag {

bool ReplicaDrain::is_request_due(double now, double heartbeat_interval_s) const {
  const bool requested_recently =
      requested_at_ > 0 && now - requested_at_ < heartbeat_interval_s / 2;
  return !awaiting_answer_ && !requested_recently && revoked_at_ <= 0;
}

double ReplicaDrain::record_request(double now, double lease_s) {
  if (begun_at_ == 0) begun_at_ = now;
  requested_at_ = now;
  awaiting_answer_ = true;
  return std::max(begun_at_ + lease_s - now, 0.0);
}

ReplicaDrain::Result ReplicaDrain::record_answer(const DrainRequest& request,
                                                 const std::optional<DrainAnswer>& answer,
                                                 double sent_at, double now, double lease_s) {
  awaiting_answer_ = false;
  const bool matches = answer && answer->task == request.task && answer->attempt == request.attempt;
  if (answer && (!matches || answer->state == DrainState::refused)) return Result::refused;
  if (matches && answer->state == DrainState::drained) {
    drained_until_ = sent_at + request.lease_s * (1 - 2 * base::kMaxClockDrift);
    return Result::drained;
  }
  // A multiple of `lease_s`, the time within which the replica has to be drained. While a drain
  // that was granted earlier is in force, its renewal does not time out.
  constexpr double kMaxDrainTimeFactor = 2;
  const bool has_timed_out = !is_in_force(now) && now - begun_at_ > kMaxDrainTimeFactor * lease_s;
  return has_timed_out ? Result::timed_out : Result::pending;
}

void ReplicaDrain::revoke(double now) {
  drained_until_ = 0;
  revoked_at_ = now;
}

bool ReplicaDrain::is_revocation_final(double now, double heartbeat_interval_s) const {
  constexpr double kReportHeartbeats = 3;
  return revoked_at_ > 0 && now - revoked_at_ > kReportHeartbeats * heartbeat_interval_s;
}

}  // namespace cranklock::defrag
