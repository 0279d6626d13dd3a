#include "control/agent_redirector.hpp"

#include <algorithm>
#include <cstddef>

namespace cranklock::control {

AgentRedirector::AgentRedirector(Services services)
    : services_(services), direct_heartbeats_(2 * services.settings.heartbeat_interval_s) {}

bool AgentRedirector::connections_overloaded() const {
  constexpr double kMaxLoad = 0.5;
  return connection_load_ && connection_load_() > kMaxLoad;
}

// Whether heartbeats use more than their share of this controller's CPU or connections. A heartbeat
// sent directly costs two packets and a connection. Forwarded heartbeats cost less here, because
// they are received and answered in batches; the forwarder, which has less load, bears the rest.
bool AgentRedirector::overloaded() {
  constexpr double kMaxCpuFraction = 0.1;     // of this controller's CPU share
  constexpr double kPacketsPerHeartbeat = 2;  // the heartbeat and its response
  const double cost = direct_heartbeats_.per_second(services_.reactor.now()) *
                      kPacketsPerHeartbeat * base::kCpuSecondsPerPacket;
  return cost > kMaxCpuFraction * services_.settings.core_share || connections_overloaded();
}

// Minimum seconds between redirections of agents that may stay. Per heartbeat interval it allows a
// tenth of the agents that send directly, or ten if that is more: the measured rate reflects each
// redirection only with a delay.
double AgentRedirector::min_redirect_interval_s() {
  constexpr double kMinRedirectsPerInterval = 10, kMaxRedirectedFraction = 0.1;
  const double heartbeat_interval_s = services_.settings.heartbeat_interval_s;
  const double direct_per_interval =
      direct_heartbeats_.per_second(services_.reactor.now()) * heartbeat_interval_s;
  return heartbeat_interval_s /
         std::max(kMinRedirectsPerInterval, kMaxRedirectedFraction * direct_per_interval);
}

// Returns the controllers of the zone except this one; all other controllers if no controller,
// including this one, is in the zone.
std::vector<const base::Peer*> AgentRedirector::candidate_forwarders(
    const std::string& zone) const {
  const bool any_zone = !services_.settings.has_controller_in(zone);
  std::vector<const base::Peer*> forwarders;
  for (const auto& other : services_.settings.others) {
    if (any_zone || other.zone == zone) forwarders.push_back(&other);
  }
  return forwarders;
}

std::string AgentRedirector::redirect(const wire::Heartbeat& heartbeat, HeartbeatHandler& handler) {
  const auto& settings = services_.settings;
  const bool may_stay =
      heartbeat.zone == settings.zone || !settings.has_controller_in(heartbeat.zone);
  const double now = services_.reactor.now();
  if (may_stay && (now < next_redirect_at_ || !overloaded())) return {};
  const auto forwarders = candidate_forwarders(heartbeat.zone);
  // The first candidate depends on a hash of the machine id, which spreads agents over forwarders.
  const auto first = std::hash<std::string>{}(heartbeat.machine);
  for (std::size_t i = 0; i < forwarders.size(); ++i) {
    const std::string& forwarder = forwarders[(first + i) % forwarders.size()]->name;
    if (!handler.try_redirect(heartbeat.machine, forwarder)) continue;
    if (may_stay) next_redirect_at_ = now + min_redirect_interval_s();
    return forwarder;
  }
  return {};
}

}  // namespace cranklock::control
