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

// Whether heartbeats take more of this controller's processor or connections than they should. One
// that comes straight here costs two packets and a connection; forwarded ones come and go together
// with others, at the expense of a controller that has more to spare.
bool AgentRedirector::overloaded() {
  constexpr double kMaxProcessorShare = 0.1;  // of this controller's own
  constexpr double kPacketsPerHeartbeat = 2;  // the heartbeat and its response
  const double cost = direct_heartbeats_.per_second(services_.reactor.now()) *
                      kPacketsPerHeartbeat * base::kCpuSecondsPerPacket;
  return cost > kMaxProcessorShare * services_.settings.core_share || connections_overloaded();
}

// Seconds between two agents that could as well stay: in the time between two heartbeats of an
// agent no more than a tenth of those that come straight here, or ten. The rate tells only later
// what each has changed.
double AgentRedirector::redirect_interval() {
  constexpr double kMinPerInterval = 10, kMaxFraction = 0.1;
  const double heartbeat_interval_s = services_.settings.heartbeat_interval_s;
  const double direct =
      direct_heartbeats_.per_second(services_.reactor.now()) * heartbeat_interval_s;
  return heartbeat_interval_s / std::max(kMinPerInterval, kMaxFraction * direct);
}

// The controllers of the zone; all others, where the zone has none.
std::vector<const base::Peer*> AgentRedirector::possible_forwarders(const std::string& zone) const {
  const bool any = !services_.settings.has_controller_in(zone);
  std::vector<const base::Peer*> forwarders;
  for (const auto& other : services_.settings.others) {
    if (any || other.zone == zone) forwarders.push_back(&other);
  }
  return forwarders;
}

std::string AgentRedirector::redirect(const wire::Heartbeat& heartbeat, HeartbeatHandler& handler) {
  const auto& settings = services_.settings;
  const bool may_stay =
      heartbeat.zone == settings.zone || !settings.has_controller_in(heartbeat.zone);
  const double now = services_.reactor.now();
  if (may_stay && (now < next_redirect_at_ || !overloaded())) return {};
  const auto forwarders = possible_forwarders(heartbeat.zone);
  // Each agent begins at another of them, so that they share the work.
  const auto first = std::hash<std::string>{}(heartbeat.machine);
  for (std::size_t i = 0; i < forwarders.size(); ++i) {
    const std::string& forwarder = forwarders[(first + i) % forwarders.size()]->name;
    if (!handler.try_redirect(heartbeat.machine, forwarder)) continue;
    if (may_stay) next_redirect_at_ = now + redirect_interval();
    return forwarder;
  }
  return {};
}

}  // namespace cranklock::control
