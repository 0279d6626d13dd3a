#include "peer/roster.hpp"

#include <algorithm>

namespace cranklock::peer {

template <typename Predicate>
bool Roster::any(double now, Predicate&& holds) const {
  return std::any_of(received_.begin(), received_.end(), [&](const auto& entry) {
    return is_fresh(entry.second, now) && holds(entry.second.heartbeat);
  });
}

bool Roster::any_alive(double now) const {
  return any(now, [](const PeerHeartbeat&) { return true; });
}

bool Roster::any_reaches_store(double now) const {
  return any(now, [](const PeerHeartbeat& heartbeat) { return heartbeat.reaches_store; });
}

bool Roster::any_receives_heartbeats(double now) const {
  return any(now, [](const PeerHeartbeat& heartbeat) { return heartbeat.receives_heartbeats; });
}

PeerHeartbeat Roster::leader(double now) const {
  PeerHeartbeat leader;
  for (const auto& [name, received] : received_) {
    if (!is_fresh(received, now)) continue;
    if (received.heartbeat.fencing_token > leader.fencing_token) leader = received.heartbeat;
  }
  return leader;
}

}  // namespace cranklock::peer
