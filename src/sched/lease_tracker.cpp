#include "sched/lease_tracker.hpp"

#include <algorithm>

namespace cranklock::sched {

void LeaseTracker::record_forwarder(const std::string& name, std::uint64_t incarnation,
                                    double quiet_until, double delegate_responded_at, double now) {
  const auto [entry, first] = forwarders_.try_emplace(name);
  Forwarder& forwarder = entry->second;
  // Guards against trusting a process about its predecessor: nobody remembers what another
  // incarnation did until it ended, so it counts as having answered until now.
  if (first || forwarder.incarnation != incarnation) delegate_responded_at = now;
  forwarder.incarnation = incarnation;
  forwarder.quiet_until = std::max(forwarder.quiet_until, quiet_until);
  forwarder.delegate_responded_at =
      std::max(forwarder.delegate_responded_at, delegate_responded_at);
}

bool LeaseTracker::is_forwarder_reachable(const std::string& name, double now) const {
  const auto found = forwarders_.find(name);
  return found != forwarders_.end() && now < found->second.quiet_until;
}

double LeaseTracker::latest_possible_response(const Machine& machine, double now) const {
  double latest = machine.lease.last_response;
  // An agent that has not shown our fencing token may still take answers of a former leader. That
  // leader renewed its lease for the last time before our leadership, and answers, or lets
  // forwarders answer, for no longer than `response_window_s` after it.
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

double LeaseTracker::lease_upper_bound() const {
  // Both clocks may drift, in opposite directions. A quarter of a heartbeat interval covers the
  // time between our taking the time of an answer and its leaving.
  return settings_.lease_s * (1 + 4 * base::kMaxClockDrift) + settings_.heartbeat_interval_s / 4;
}

bool LeaseTracker::has_expired(const Machine& machine, double now) const {
  return now > latest_possible_response(machine, now) + lease_upper_bound();
}

}  // namespace cranklock::sched
