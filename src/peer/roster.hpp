// The last heartbeat of each other controller.
#pragma once

#include <map>
#include <string>

#include "peer/frames.hpp"

namespace cranklock::peer {

/// Keeps the last heartbeat of each other controller of the region. What it says is a hint: peer
/// heartbeats are lost and late, and no invariant rests on them.
class Roster {
 public:
  /// Heartbeats that were received longer ago than `fresh_s` seconds count as not received.
  explicit Roster(double fresh_s) : fresh_s_(fresh_s) {}

  /// `now`: seconds on the steady clock, here and below.
  void on_peer_heartbeat(const PeerHeartbeat& heartbeat, double now) {
    received_[heartbeat.name] = {heartbeat, now};
  }
  bool any_alive(double now) const;
  bool any_reaches_state(double now) const;
  bool any_hears_workers(double now) const;
  /// Heartbeat of the controller that leads with the highest fencing token; its name is empty when
  /// none leads.
  PeerHeartbeat leader(double now) const;

 private:
  struct Received {
    PeerHeartbeat heartbeat;
    double at = 0;  ///< steady clock
  };
  bool is_fresh(const Received& received, double now) const { return now - received.at < fresh_s_; }
  template <typename Predicate>
  bool any(double now, Predicate&& holds) const;

  double fresh_s_;
  std::map<std::string, Received> received_;  ///< by the sender's name
};

}  // namespace cranklock::peer
