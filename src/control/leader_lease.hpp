// What a leader may do, given when its lease was renewed and when it last saw all changes of jobs.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/settings.hpp"

namespace cranklock::control {

/// The lease under which a node leads, and what it may do by it at a given time. All times are on
/// the steady clock and are judged at the moment of sending (invariants 6 and 10, docs/design.md).
class LeaderLease {
 public:
  LeaderLease(const base::Settings& settings, std::uint64_t fencing_token, double confirmed_sent)
      : settings_(settings),
        fencing_token_(fencing_token),
        confirmed_sent_(confirmed_sent),
        asked_sent_(confirmed_sent) {}

  static double lease_life(const base::Settings& settings) { return settings.lease_s / 5; }

  std::uint64_t fencing_token() const { return fencing_token_; }
  /// A renewal that was sent at this time has succeeded.
  void confirm(double sent) { confirmed_sent_ = std::max(confirmed_sent_, sent); }
  /// A renewal that was sent at this time was not refused for an ended lease: it succeeded, or the
  /// state service did not say.
  void asked(double sent) { asked_sent_ = std::max(asked_sent_, sent); }
  /// Nothing has lately told that another may lead. Judged by renewals, which are sent several
  /// times in the life of the lease: a process that was held up for longer has to ask first.
  bool may_still_lead(double now) const { return now < asked_sent_ + lease_life(settings_); }
  /// Every cancellation stored before this time has been taken in: it is when the exchange was sent
  /// whose answer held all changes of jobs up to its revision. A leader lease is not knowledge:
  /// after a refusal or an outage a renewal may well come through before the changes do.
  void caught_up(double sent) {
    caught_up_sent_ = std::max(caught_up_sent_, sent);
    behind_ = false;
  }
  /// An exchange for changes was refused or not answered: until one succeeds nothing is started,
  /// since others may be cancelling meanwhile.
  void fell_behind() { behind_ = true; }
  /// Nobody else can lead now.
  bool valid(double now) const { return now < confirmed_sent_ + validity(); }
  /// Nothing that is started now was cancelled longer ago than this leader lease is certain for.
  bool may_start(double now) const { return !behind_ && now < known_until() + validity(); }
  /// Until then reports may be answered 200, by us or by a forwarder in our stead.
  double may_respond_until() const { return known_until() + base::response_span(settings_); }
  bool may_respond(double now) const { return now < may_respond_until(); }
  double confirmed_sent() const { return confirmed_sent_; }

 private:
  double validity() const { return lease_life(settings_) * (1 - 2 * base::kClockDrift); }
  /// The later doubt of the two: who leads, and what was cancelled.
  double known_until() const { return std::min(confirmed_sent_, caught_up_sent_); }

  const base::Settings& settings_;
  std::uint64_t fencing_token_;
  double confirmed_sent_;
  double asked_sent_;
  double caught_up_sent_ = -1e9;
  bool behind_ = false;
};

}  // namespace cranklock::control
