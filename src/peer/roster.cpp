#include "peer/roster.hpp"

#include <algorithm>

namespace cranklock::peer {

template <typename F>
bool Roster::any(double now, F&& holds) const {
  return std::any_of(said_.begin(), said_.end(), [&](const auto& entry) {
    return now - entry.second.at < fresh_s_ && holds(entry.second.peer_heartbeat);
  });
}

bool Roster::any_heard(double now) const {
  return any(now, [](const PeerHeartbeat&) { return true; });
}
bool Roster::any_reaches_state(double now) const {
  return any(now, [](const PeerHeartbeat& h) { return h.reaches_state; });
}
bool Roster::any_hears_workers(double now) const {
  return any(now, [](const PeerHeartbeat& h) { return h.hears_workers; });
}

PeerHeartbeat Roster::leader(double now) const {
  PeerHeartbeat best;
  for (const auto& [name, said] : said_) {
    if (now - said.at < fresh_s_ && said.peer_heartbeat.fencing_token > best.fencing_token)
      best = said.peer_heartbeat;
  }
  return best;
}

}  // namespace cranklock::peer
