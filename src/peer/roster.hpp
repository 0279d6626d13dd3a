// What the other controllers last said of themselves. A hint only: no rule rests on it.
#pragma once

#include <map>
#include <string>

#include "peer/frames.hpp"

namespace cranklock::peer {

class Roster {
 public:
  /// What was said longer ago than this counts as not said.
  explicit Roster(double fresh_s) : fresh_s_(fresh_s) {}

  void heard(const PeerHeartbeat& peer_heartbeat, double now) {
    said_[peer_heartbeat.name] = {peer_heartbeat, now};
  }
  bool any_heard(double now) const;
  bool any_reaches_state(double now) const;
  bool any_hears_workers(double now) const;
  /// Who leads with the highest fencing token; an empty name when nobody says so.
  PeerHeartbeat leader(double now) const;

 private:
  struct Said {
    PeerHeartbeat peer_heartbeat;
    double at = 0;
  };
  template <typename F>
  bool any(double now, F&& holds) const;

  double fresh_s_;
  std::map<std::string, Said> said_;
};

}  // namespace cranklock::peer
