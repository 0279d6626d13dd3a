// The drain of one replica that is to be moved. Pure: no I/O, time passed in.
#pragma once

#include <optional>

#include "defrag/drain.hpp"

namespace cranklock::defrag {

/// Records when the router was requested to take a replica out of service, and until when it is
/// certain to send the replica no requests. The replica may be stopped only while its drain is in
/// force; the request is repeated to renew it. All times are in seconds of the steady clock; 0: not
/// set.
class ReplicaDrain {
 public:
  enum class Result {
    pending,  ///< no answer yet, or requests are still open
    drained,
    refused,    ///< refused by the router, or the answer is for another task or attempt
    timed_out,  ///< not drained within the allowed time
  };

  /// Starts the time within which the replica has to be drained.
  void begin(double now) { begun_at_ = now; }
  bool was_requested() const { return requested_at_ > 0; }
  /// Whether to send a request to the router now, the first or a renewal.
  bool is_request_due(double now, double heartbeat_interval_s) const;
  /// Records that a request is sent now. Returns the seconds that are left to drain the replica.
  double record_request(double now, double lease_s);
  /// `sent_at` is when the request was sent; no answer: none was received, or it was malformed.
  Result record_answer(const DrainRequest& request, const std::optional<DrainAnswer>& answer,
                       double sent_at, double now, double lease_s);

  /// Whether the router is certain to send the replica no requests.
  bool is_in_force(double now) const { return now < drained_until_; }
  double drained_until() const { return drained_until_; }
  /// Records that the router no longer has the drain: the replica counts as in service.
  void revoke(double now);
  /// Whether the drain was revoked so long ago that a heartbeat would have reported the end of the
  /// replica if it had ended.
  bool is_revocation_final(double now, double heartbeat_interval_s) const;

 private:
  double begun_at_ = 0;
  double requested_at_ = 0;
  bool awaiting_answer_ = false;
  double drained_until_ = 0;
  double revoked_at_ = 0;
};

}  // namespace cranklock::defrag
