#include "sched/lease_tracker.hpp"

#include <algorithm>

namespace cranklock::sched {

void LeaseTracker::record_forwarder(const std::string& name, std::uint64_t incarnation,
                                    double no_response_until, double delegate_responded_at,
                                    double now) {
  const auto [entry, first_contact] = forwarders_.try_emplace(name);
  Forwarder& forwarder = entry->second;
  // The values cover only the current process of the forwarder. Responses of an earlier incarnation
  // are recorded nowhere, so it counts as having responded until now.
  if (first_contact || forwarder.incarnation != incarnation) delegate_responded_at = now;
  forwarder.incarnation = incarnation;
  forwarder.no_response_until = std::max(forwarder.no_response_until, no_response_until);
  forwarder.delegate_responded_at =
      std::max(forwarder.delegate_responded_at, delegate_responded_at);
}

bool LeaseTracker::is_forwarder_reachable(const std::string& name, double now) const {
  const auto found = forwarders_.find(name);
  return found != forwarders_.end() && now < found->second.no_response_until;
}

double LeaseTracker::latest_possible_response(const Machine& machine, double now) const {
  double latest = machine.lease.last_response;
  // An agent that has not sent this leader's fencing token may still accept responses of a former
  // leader. That leader last renewed its leader lease before this leadership began; it responds, or
  // delegates responses to forwarders, for at most `response_window_s` after that renewal.
  if (!machine.agent.token_acknowledged) {
    const double span = base::response_window_s(settings_) * (1 + 4 * base::kMaxClockDrift);
    latest = std::max(latest, leader_since_ + span);
  }
  for (const auto& [name, until] : machine.lease.delegated_until) {
    const bool reachable = is_forwarder_reachable(name, now);
    const double responded = reachable ? forwarders_.at(name).delegate_responded_at : now;
    latest = std::max(latest, std::min(until, responded));
  }
  return latest;
}

double LeaseTracker::lease_upper_bound_s() const {
  // Both clocks may drift, in opposite directions. A quarter of a heartbeat interval covers the
  // delay between taking the time of a response and sending it.
  return settings_.lease_s * (1 + 4 * base::kMaxClockDrift) + settings_.heartbeat_interval_s / 4;
}

bool LeaseTracker::has_expired(const Machine& machine, double now) const {
  return now > latest_possible_response(machine, now) + lease_upper_bound_s();
}

}  // namespace cranklock::sched
