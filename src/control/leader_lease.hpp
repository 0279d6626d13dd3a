// What a leader may do at a given time. Every question is to be asked at the moment of sending,
// since the process may have been held up since it decided (invariant 10).
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/settings.hpp"

namespace cranklock::control {

/// The lease under which a controller is the leader, judged by the sending times of renewals and of
/// reads of the jobs. All times are steady seconds.
///
/// Two things are told apart (invariant 11): who the leader is, which a renewal proves, and what
/// other controllers have written, which only an answer with all changes of `jobs/` proves. Both
/// prove it for the time when the request was *sent*. A request without an answer proves nothing.
class LeaderLease {
 public:
  /// `requested_at` is when the lease was requested that the leader key was written under.
  LeaderLease(const base::Settings& settings, std::uint64_t fencing_token, double requested_at)
      : settings_(settings),
        fencing_token_(fencing_token),
        confirmed_sent_(requested_at),
        not_refused_sent_(requested_at) {}

  /// Seconds for which the key-value store keeps the leader key without a renewal.
  static double lease_life(const base::Settings& settings) { return settings.lease_s / 5; }

  std::uint64_t fencing_token() const { return fencing_token_; }
  /// The sending time of the last renewal that has succeeded.
  double confirmed_sent() const { return confirmed_sent_; }

  // ---- what has been learned ----

  /// A renewal that was sent at this time has succeeded.
  void confirm(double sent) { confirmed_sent_ = std::max(confirmed_sent_, sent); }
  /// A renewal that was sent at this time was not refused for an ended lease: it has succeeded, or
  /// the store did not say.
  void not_refused(double sent) { not_refused_sent_ = std::max(not_refused_sent_, sent); }
  /// An answer to a request that was sent at this time held all changes of jobs up to its revision,
  /// and they have been taken in: every cancellation confirmed before is known. After a refusal or
  /// an outage a renewal may well succeed before this does.
  void caught_up(double sent) {
    caught_up_sent_ = std::max(caught_up_sent_, sent);
    is_behind_ = false;
  }
  /// A request for changes was refused or not answered. Others may be cancelling jobs meanwhile, so
  /// nothing is started until one succeeds.
  void fell_behind() { is_behind_ = true; }

  // ---- what may be done ----

  /// Nobody else can be the leader now: machines may be rented and deleted, and placements that are
  /// to make room may be stopped.
  bool valid(double now) const { return now < confirmed_sent_ + validity(); }
  /// Tasks may be started: none of them belongs to a job whose cancellation was confirmed longer
  /// ago than this leader lease is certain for.
  bool may_start(double now) const { return !is_behind_ && now < known_until() + validity(); }
  /// Heartbeats may be responded to with 200, by the leader or by its delegate. Guards against a
  /// lease that outlasts the promise of a cancellation which this leader has not heard of
  /// (invariant 6; the bound is shown in docs/design.md, "What a cancellation can count on").
  bool may_respond(double now) const { return now < may_respond_until(); }
  double may_respond_until() const { return known_until() + base::response_window_s(settings_); }
  /// Machines with tasks of cancelled jobs may be deleted: nothing has lately told that another may
  /// be the leader. Guards against a process that was held up for longer than the life of the
  /// lease, which has to renew first, since renewals are sent several times in that life (invariant
  /// 7).
  bool may_still_lead(double now) const { return now < not_refused_sent_ + lease_life(settings_); }

 private:
  static constexpr double kNever = -1e9;

  /// The life of the lease, less what two clocks may drift apart.
  double validity() const { return lease_life(settings_) * (1 - 2 * base::kMaxClockDrift); }
  /// Until when it is known both who the leader is and what was cancelled.
  double known_until() const { return std::min(confirmed_sent_, caught_up_sent_); }

  const base::Settings& settings_;
  std::uint64_t fencing_token_;
  double confirmed_sent_;
  double not_refused_sent_;
  double caught_up_sent_ = kNever;
  bool is_behind_ = false;  ///< since the last request for changes
};

}  // namespace cranklock::control
