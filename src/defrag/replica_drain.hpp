// The drain of one replica that is to be moved. Pure: no I/O, time passed in.
#pragma once

#include <optional>

#include "defrag/drain.hpp"

namespace cranklock::defrag {

/// Keeps when the router was asked to take a replica out of service, and until when it has. The
/// replica may be stopped only while its drain holds; the request is repeated to keep it. All times
/// are steady seconds; 0: not yet.
class ReplicaDrain {
 public:
  enum class Result {
    pending,  ///< not answered, or requests are still open
    drained,
    refused,  ///< or answered for another attempt
    late,     ///< it was not drained within the time that it may take
  };

  /// The replica is to be drained from now on.
  void begin(double now) { begun_ = now; }
  bool was_requested() const { return requested_ > 0; }
  /// Whether the router is to be asked now, first or again.
  bool is_request_due(double now, double heartbeat_interval_s) const;
  /// The router is asked now. Returns the seconds that are left to drain the replica.
  double record_request(double now, double lease_s);
  /// `sent` is when the request left; no answer: it was not answered, or not to the point.
  Result record_answer(const DrainRequest& request, const std::optional<DrainAnswer>& answer,
                       double sent, double now, double lease_s);

  /// Whether the router certainly keeps requests from the replica.
  bool holds(double now) const { return now < drained_until_; }
  double drained_until() const { return drained_until_; }
  /// The router knows nothing of the drain any more: the replica counts as in service.
  void revoke(double now);
  /// Whether the drain was revoked so long ago that the replica, were it gone, would be reported as
  /// such.
  bool is_revoked_for_good(double now, double heartbeat_interval_s) const;

 private:
  double begun_ = 0;
  double requested_ = 0;
  bool awaits_answer_ = false;
  double drained_until_ = 0;
  double revoked_ = 0;
};

}  // namespace cranklock::defrag
