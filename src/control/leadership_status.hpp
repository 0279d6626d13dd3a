// Whether a leadership has been lost, and why. All components of a leader term share one status:
// any of them may detect the loss, after which none of them acts any more.
#pragma once

#include <cstdint>
#include <string_view>

#include "net/reactor.hpp"

namespace cranklock::control {

/// How the loss of a leadership was detected.
enum class LeadershipLoss {
  agent_saw_higher_token,  ///< an agent has acknowledged a successor's fencing token
  peer_has_higher_token,   ///< another controller leads with a higher fencing token
  leader_key_changed,      ///< a write failed because the leader key has another revision
  lease_ended,             ///< the lease of the leader key has expired in the key-value store
};

/// The value of the `reason` field in log lines.
std::string_view to_string(LeadershipLoss loss);

/// Logs the loss of a leadership.
void log_leadership_lost(std::uint64_t fencing_token, LeadershipLoss loss);

/// One per leader term. A lost leadership cannot be regained within the term (invariant 6).
class LeadershipStatus {
 public:
  /// `lost_signal` is set when the leadership is lost, to wake the coroutine that renews the leader
  /// lease.
  LeadershipStatus(std::uint64_t fencing_token, net::Signal& lost_signal)
      : fencing_token_(fencing_token), lost_signal_(lost_signal) {}

  bool is_lost() const { return is_lost_; }
  /// Ends the leadership immediately and permanently; only the first call has an effect. The term's
  /// coroutines end when the election destroys the term.
  void step_down(LeadershipLoss loss);

 private:
  std::uint64_t fencing_token_;
  net::Signal& lost_signal_;
  bool is_lost_ = false;
};

}  // namespace cranklock::control
