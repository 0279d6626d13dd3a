// Which actions a leader may take at a given time. Check immediately before sending: the process
// may have been paused since the decision was made (invariant 10).
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/settings.hpp"

namespace cranklock::control {

/// The lease that makes a controller the leader. Its validity is computed from the times at which
/// lease renewals and reads of the jobs were sent. All times are steady seconds.
///
/// It tracks two facts separately (invariant 11): that this controller is the leader, which a
/// successful renewal proves, and what other controllers have written, which only a response with
/// all changes of `jobs/` proves. Each is proven for the time at which the request was *sent*. A
/// request without a response proves nothing.
class LeaderLease {
 public:
  /// `requested_at`: when the lease that the leader key is bound to was requested.
  LeaderLease(const base::Settings& settings, std::uint64_t fencing_token, double requested_at)
      : settings_(settings),
        fencing_token_(fencing_token),
        last_renewal_sent_at_(requested_at),
        last_not_refused_sent_at_(requested_at) {}

  /// Seconds for which the key-value store keeps the leader key without a renewal.
  static double lease_ttl_s(const base::Settings& settings) { return settings.lease_s / 5; }

  std::uint64_t fencing_token() const { return fencing_token_; }
  /// When the last successful renewal was sent.
  double last_renewal_sent_at() const { return last_renewal_sent_at_; }

  /// The time up to which both the leadership and all cancellations are known.
  double known_until() const { return std::min(last_renewal_sent_at_, last_caught_up_sent_at_); }

  // ---- recording results ----

  /// A renewal sent at `sent_at` succeeded.
  void record_renewal(double sent_at) {
    last_renewal_sent_at_ = std::max(last_renewal_sent_at_, sent_at);
  }
  /// A renewal sent at `sent_at` was not refused because of an expired lease: it succeeded, or its
  /// outcome is unknown.
  void record_renewal_not_refused(double sent_at) {
    last_not_refused_sent_at_ = std::max(last_not_refused_sent_at_, sent_at);
  }
  /// The response to a request sent at `sent_at` contained all changes of jobs up to its revision,
  /// and they have been applied: every cancellation confirmed before `sent_at` is known. After a
  /// refusal or an outage, a renewal may succeed before this does.
  void mark_caught_up(double sent_at) {
    last_caught_up_sent_at_ = std::max(last_caught_up_sent_at_, sent_at);
    is_behind_ = false;
  }
  /// A request for changes was refused or not answered. Other controllers may be accepting
  /// cancellations meanwhile, so no task is started until such a request succeeds.
  void mark_behind() { is_behind_ = true; }

  // ---- permitted actions ----

  /// Machines may be rented and deleted, and placements may be preempted: no other controller can
  /// be the leader now.
  bool valid(double now) const { return now < last_renewal_sent_at_ + validity_s(); }
  /// Tasks may be started. A cancellation that is not known here was confirmed no longer ago than
  /// the lease validity.
  bool may_start(double now) const { return !is_behind_ && now < known_until() + validity_s(); }
  /// Heartbeats may be answered with 200, by the leader or by its delegate. Such a response extends
  /// the agent's lease; the limit keeps an agent's lease from outlasting the cancellation deadline
  /// of a job whose cancellation this leader has not read yet (invariant 6; for the bound see
  /// docs/design.md, "What a cancellation can count on").
  bool may_respond(double now) const { return now < may_respond_until(); }
  double may_respond_until() const { return known_until() + base::response_window_s(settings_); }
  /// Machines with tasks of cancelled jobs may be deleted: no recent response has shown that
  /// another controller may be the leader. A process that was paused for longer than the lease TTL
  /// has to renew the lease first, since renewals are sent several times per TTL (invariant 7).
  bool may_still_lead(double now) const {
    return now < last_not_refused_sent_at_ + lease_ttl_s(settings_);
  }

 private:
  static constexpr double kNever = -1e9;

  /// The lease TTL in seconds, reduced by twice the maximum relative drift between two clocks.
  double validity_s() const { return lease_ttl_s(settings_) * (1 - 2 * base::kMaxClockDrift); }
  const base::Settings& settings_;
  std::uint64_t fencing_token_;
  double last_renewal_sent_at_;
  double last_not_refused_sent_at_;
  double last_caught_up_sent_at_ = kNever;
  bool is_behind_ = false;  ///< the last request for changes failed
};

}  // namespace cranklock::control
