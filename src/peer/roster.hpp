// Last heartbeat received from each other controller.
#pragma once

#include <map>
#include <string>

#include "peer/frames.hpp"

namespace cranklock::peer {

/// Keeps the last heartbeat of each other controller of the region. Its answers are hints: peer
/// heartbeats can be lost or late, and no invariant depends on them.
class Roster {
 public:
  /// Heartbeats received `max_age_s` seconds ago or earlier are ignored.
  explicit Roster(double max_age_s) : max_age_s_(max_age_s) {}

  /// `now`: seconds on the steady clock, here and below.
  void on_peer_heartbeat(const PeerHeartbeat& heartbeat, double now) {
    received_[heartbeat.name] = {heartbeat, now};
  }
  bool any_alive(double now) const;
  bool any_reaches_store(double now) const;
  bool any_receives_heartbeats(double now) const;
  /// Returns the heartbeat of the leader with the highest fencing token; its name is empty if no
  /// controller leads.
  PeerHeartbeat leader(double now) const;

 private:
  struct Received {
    PeerHeartbeat heartbeat;
    double at = 0;  ///< steady clock
  };
  bool is_fresh(const Received& received, double now) const {
    return now - received.at < max_age_s_;
  }
  template <typename Predicate>
  bool any(double now, Predicate&& holds) const;

  double max_age_s_;
  std::map<std::string, Received> received_;  ///< by sender name
};

}  // namespace cranklock::peer
