// Whether a leadership has been lost, and why. The parts of a leader term share one status: any of
// them may find out that the leadership is gone, and all of them then stop acting.
#pragma once

#include <cstdint>
#include <string_view>

#include "net/reactor.hpp"

namespace cranklock::control {

/// What showed that a leadership has been lost.
enum class LeadershipLoss {
  agent_saw_higher_token,  ///< an agent has acknowledged a successor's fencing token
  peer_has_higher_token,   ///< another controller leads with a higher fencing token
  leader_key_changed,      ///< a write failed since the leader key has another revision
  lease_ended,             ///< the key-value store has ended the lease of the leader key
};

/// The reason as it stands in the log.
std::string_view to_string(LeadershipLoss loss);

/// Writes the log line of a lost leadership.
void log_leadership_lost(std::uint64_t fencing_token, LeadershipLoss loss);

/// One for each leader term. A leadership that was lost stays lost (invariant 6).
class LeadershipStatus {
 public:
  /// `lost_signal` is set when the leadership is lost, to wake the routine that renews its lease.
  LeadershipStatus(std::uint64_t fencing_token, net::Signal& lost_signal)
      : fencing_token_(fencing_token), lost_signal_(lost_signal) {}

  bool is_lost() const { return is_lost_; }
  /// Gives the leadership up, at once and for good; only the first call has an effect. The term's
  /// routines end when the election destroys the term.
  void step_down(LeadershipLoss loss);

 private:
  std::uint64_t fencing_token_;
  net::Signal& lost_signal_;
  bool is_lost_ = false;
};

}  // namespace cranklock::control
