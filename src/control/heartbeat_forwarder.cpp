#include "control/heartbeat_forwarder.hpp"

#include <utility>

#include "base/event_log.hpp"
#include "control/leader_lease.hpp"

namespace cranklock::control {

using net::Response;
using net::Task;

namespace {

constexpr double kMsPerSecond = 1000;
/// Seconds after which an agent abandons a request and tries the next controller (PROTOCOL).
constexpr double kAgentTimeoutS = 4.0;
/// Fraction of the agent timeout within which a response is sent.
constexpr double kMaxWaitFraction = 0.8;

}  // namespace

// ---- the leader ----

void HeartbeatForwarder::on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat) {
  if (peer_heartbeat.fencing_token == 0 || peer_heartbeat.fencing_token < fencing_token_) return;
  fencing_token_ = peer_heartbeat.fencing_token;
  leader_ = peer_heartbeat.name;
  leader_clock_ms_ = peer_heartbeat.sent_clock_ms;
  last_leader_heartbeat_at_ = reactor_.now();
}

void HeartbeatForwarder::fill_peer_heartbeat(peer::PeerHeartbeat& peer_heartbeat) const {
  peer_heartbeat.echoed_fencing_token = fencing_token_;
  peer_heartbeat.echoed_clock_ms = leader_clock_ms_;
  if (delegate_responded_at_ < 0) return;
  const double age_ms = (reactor_.now() - delegate_responded_at_) * kMsPerSecond;
  peer_heartbeat.delegate_responded_ms =
      static_cast<std::uint32_t>(std::min(age_ms, peer::kNeverMs - 1.0));
}

bool HeartbeatForwarder::is_leader_reachable() const {
  return fencing_token_ > 0 &&
         reactor_.now() - last_leader_heartbeat_at_ < leader_timeout(settings_);
}

bool HeartbeatForwarder::is_leader_expected() const {
  if (is_leader_reachable()) return true;
  // The lease of a failed leader expires within one TTL; the rest is for its successor to acquire
  // the leader key.
  constexpr double kFailoverInLeaseTtls = 1.5;
  if (fencing_token_ == 0 || !may_hold_requests_()) return false;
  return reactor_.now() - last_leader_heartbeat_at_ <
         leader_timeout(settings_) + kFailoverInLeaseTtls * LeaderLease::lease_ttl_s(settings_);
}

// ---- agents ----

bool HeartbeatForwarder::may_forward(const wire::Heartbeat& heartbeat) const {
  if (!send_frame_) return false;
  if (heartbeat.zone == settings_.zone) {
    return is_leader_expected() || may_respond_as_delegate(heartbeat);
  }
  if (!is_leader_expected()) return false;
  return !has_other_controllers(heartbeat) || is_first_within_lease(heartbeat.machine) ||
         redirected_within_lease(heartbeat.machine);
}

// Whether the agent is in another zone that has controllers of its own.
bool HeartbeatForwarder::has_other_controllers(const wire::Heartbeat& heartbeat) const {
  return heartbeat.zone != settings_.zone && settings_.has_controller_in(heartbeat.zone);
}

HeartbeatForwarder::OtherZoneAgent HeartbeatForwarder::other_zone_agent(
    const std::string& machine) const {
  const OtherZoneAgent* agent = other_zone_agents_.find(machine);
  return agent != nullptr ? *agent : OtherZoneAgent{};
}

void HeartbeatForwarder::note_forwarded(const wire::Heartbeat& heartbeat) {
  if (!has_other_controllers(heartbeat)) return;
  OtherZoneAgent agent = other_zone_agent(heartbeat.machine);
  // Updated with each heartbeat, so that the agent is forwarded for as long as its heartbeats
  // arrive here.
  if (redirected_within_lease(heartbeat.machine)) agent.redirected_at = reactor_.now();
  agent.forwarded_at = reactor_.now();
  other_zone_agents_.put(heartbeat.machine, agent);
}

void HeartbeatForwarder::note_redirected(const wire::Heartbeat& heartbeat) {
  if (!has_other_controllers(heartbeat)) return;
  OtherZoneAgent agent = other_zone_agent(heartbeat.machine);
  agent.redirected_at = reactor_.now();
  other_zone_agents_.put(heartbeat.machine, agent);
}

// Prevents lease expiry during redirection: an agent that arrives from an unresponsive controller
// has already used half of a short lease, and would use up the rest if it were redirected back
// there.
bool HeartbeatForwarder::is_first_within_lease(const std::string& machine) const {
  const OtherZoneAgent agent = other_zone_agent(machine);
  return reactor_.now() - std::max(agent.forwarded_at, agent.redirected_at) >= settings_.lease_s;
}

// Prevents redirection loops until the agents' leases expire: an agent that returns this soon could
// not reach from its zone the leader that this controller can reach.
bool HeartbeatForwarder::redirected_within_lease(const std::string& machine) const {
  return reactor_.now() - other_zone_agent(machine).redirected_at < settings_.lease_s;
}

// ---- forwarding ----

/// A heartbeat being forwarded to the current leader. The destructor removes it from the pending
/// ones.
struct HeartbeatForwarder::Forwarding {
  HeartbeatForwarder& forwarder;
  std::string body;
  PendingResponse pending;
  std::uint64_t id = 0;             ///< 0: not sent yet
  std::uint64_t fencing_token = 0;  ///< of the leader that it was sent to

  Forwarding(HeartbeatForwarder& owner, std::string text)
      : forwarder(owner), body(std::move(text)), pending(owner.reactor_) {}
  Forwarding(const Forwarding&) = delete;
  Forwarding& operator=(const Forwarding&) = delete;
  ~Forwarding() { forwarder.pending_.erase(id); }
};

void HeartbeatForwarder::on_response(const peer::ForwardedResponse& response) {
  const auto entry = pending_.find(response.id);
  if (entry == pending_.end()) return;  // late: the agent has already received another response
  PendingResponse& pending = *entry->second;
  pending.response = response;
  pending.done = true;
  pending.arrived.set();
}

// Uses a new id, so that later responses of a former leader are ignored.
void HeartbeatForwarder::send_to_leader(Forwarding& forwarding) {
  pending_.erase(forwarding.id);
  forwarding.id = ++last_id_;
  forwarding.fencing_token = fencing_token_;
  pending_[forwarding.id] = &forwarding.pending;
  send_frame_(leader_, peer::ForwardedHeartbeat{forwarding.id, forwarding.body});
}

// Waits for the response of the leader, or of its successor if one appears in time.
Task<void> HeartbeatForwarder::await_response(Forwarding& forwarding, double until,
                                              std::function<bool()> cut_off) {
  auto& pending = forwarding.pending;
  while (!pending.done && reactor_.now() < until) {
    // Waits for the successor of an unresponsive leader instead of redirecting agents to that
    // leader.
    if (is_leader_reachable() && forwarding.fencing_token != fencing_token_)
      send_to_leader(forwarding);
    // A controller that is cut off may respond as a delegate immediately, unless the heartbeat was
    // already sent to the leader.
    const bool gives_up = cut_off() ? forwarding.id == 0 : !is_leader_expected();
    if (!is_leader_reachable() && gives_up) co_return;
    net::Signal::Wait wait(pending.arrived,
                           std::min(settings_.heartbeat_interval_s / 4, until - reactor_.now()));
    co_await wait;
  }
}

Task<Response> HeartbeatForwarder::forward(wire::Heartbeat heartbeat, std::string body,
                                           std::function<double()> store_last_answer_at) {
  const double received_at = reactor_.now();
  // While the leader is unreachable: whether the store has not answered since the leader's last
  // heartbeat either. The margin allows for the interval between two peer heartbeats. While the
  // leader is reachable, the result is not used.
  const auto cut_off = [&] {
    return store_last_answer_at() < last_leader_heartbeat_at_ + settings_.heartbeat_interval_s / 2;
  };
  Response response;
  if (body.size() < peer::kMaxTextBytes) {
    Forwarding forwarding(*this, std::move(body));
    auto waiting =
        await_response(forwarding, received_at + kMaxWaitFraction * kAgentTimeoutS, cut_off);
    co_await waiting;
    const auto& leader_response = forwarding.pending.response;
    if (forwarding.pending.done && leader_response.status == 200) {
      // Counted from the arrival of the heartbeat, which precedes the leader's response.
      const double until = received_at + leader_response.delegation_ms / kMsPerSecond;
      delegations_.put(heartbeat.machine, {leader_response.fencing_token, until});
      response.body = leader_response.body;
      co_return response;
    }
  }
  if (cut_off() && may_respond_as_delegate(heartbeat))
    co_return respond_as_delegate(heartbeat.machine,
                                  delegations_.find(heartbeat.machine)->fencing_token);
  response.status = 421;
  co_return response;
}

// ---- responding as a delegate ----

// The leader's lease expiry relies on this: this controller sends no response as a delegate while
// the leader is reachable from here, nor after the delegation has expired (invariant 4). An agent
// that has seen a newer fencing token would reject the response anyway.
bool HeartbeatForwarder::may_respond_as_delegate(const wire::Heartbeat& heartbeat) const {
  const Delegation* delegation = delegations_.find(heartbeat.machine);
  // A leader may raise an agent's token above that of its own heartbeats; a former leader's tokens
  // are all lower.
  if (delegation == nullptr || delegation->fencing_token < fencing_token_) return false;
  if (heartbeat.fencing_token > delegation->fencing_token) return false;
  return !is_leader_reachable() && reactor_.now() < delegation->until;
}

// Extends the agent's lease; contains no commands.
Response HeartbeatForwarder::respond_as_delegate(const std::string& machine,
                                                 std::uint64_t fencing_token) {
  const double now = reactor_.now();
  if (delegate_responded_at_ < 0 || now - delegate_responded_at_ > settings_.lease_s) {
    base::log_info("responding as delegate", base::field("fencing_token", fencing_token));
  }
  base::log_debug("delegate response", base::field("machine", machine),
                  base::field("fencing_token", fencing_token));
  delegate_responded_at_ = now;
  Response response;
  response.body = wire::heartbeat_response(fencing_token, {});
  return response;
}

}  // namespace cranklock::control
