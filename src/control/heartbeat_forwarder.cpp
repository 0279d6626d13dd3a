#include "control/heartbeat_forwarder.hpp"

#include <utility>

#include "base/event_log.hpp"
#include "control/leader_lease.hpp"

namespace cranklock::control {

using net::Response;
using net::Task;

namespace {

constexpr double kMsPerSecond = 1000;
/// Seconds after which an agent gives a request up and tries the next controller (PROTOCOL).
constexpr double kAgentTimeout = 4.0;
/// The part of it within which an agent is responded to.
constexpr double kMaxWaitFraction = 0.8;

}  // namespace

// ---- the leader ----

void HeartbeatForwarder::on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat) {
  if (peer_heartbeat.fencing_token == 0 || peer_heartbeat.fencing_token < fencing_token_) return;
  fencing_token_ = peer_heartbeat.fencing_token;
  leader_ = peer_heartbeat.name;
  leader_clock_ms_ = peer_heartbeat.sent_clock_ms;
  leader_heard_at_ = reactor_.now();
}

void HeartbeatForwarder::describe(peer::PeerHeartbeat& peer_heartbeat) const {
  peer_heartbeat.echoed_fencing_token = fencing_token_;
  peer_heartbeat.echoed_clock_ms = leader_clock_ms_;
  if (delegate_responded_at_ < 0) return;
  const double age_ms = (reactor_.now() - delegate_responded_at_) * kMsPerSecond;
  peer_heartbeat.delegate_responded_ms =
      static_cast<std::uint32_t>(std::min(age_ms, peer::kNeverMs - 1.0));
}

bool HeartbeatForwarder::reaches_leader() const {
  return fencing_token_ > 0 && reactor_.now() - leader_heard_at_ < leader_timeout(settings_);
}

bool HeartbeatForwarder::leader_expected() const {
  if (reaches_leader()) return true;
  // The leader's lease ends within its life; the rest is for its successor to acquire the key.
  constexpr double kFailoverInLeaseLives = 1.5;
  if (fencing_token_ == 0 || !may_wait_()) return false;
  return reactor_.now() - leader_heard_at_ <
         leader_timeout(settings_) + kFailoverInLeaseLives * LeaderLease::lease_life(settings_);
}

// ---- agents ----

bool HeartbeatForwarder::may_forward(const wire::Heartbeat& heartbeat) const {
  if (!send_frame_) return false;
  if (heartbeat.zone == settings_.zone) {
    return leader_expected() || may_respond_as_delegate(heartbeat);
  }
  if (!leader_expected()) return false;
  return !has_other_controllers(heartbeat) || is_first_visit(heartbeat.machine) ||
         returned_within_lease(heartbeat.machine);
}

// Whether the agent's zone is not ours and has controllers of its own to forward for it.
bool HeartbeatForwarder::has_other_controllers(const wire::Heartbeat& heartbeat) const {
  return heartbeat.zone != settings_.zone && settings_.has_controller_in(heartbeat.zone);
}

HeartbeatForwarder::Visit HeartbeatForwarder::last_visit(const std::string& machine) const {
  const Visit* visit = visits_.find(machine);
  return visit != nullptr ? *visit : Visit{};
}

void HeartbeatForwarder::note_forwarded(const wire::Heartbeat& heartbeat) {
  if (!has_other_controllers(heartbeat)) return;
  Visit visit = last_visit(heartbeat.machine);
  // Renewed with each heartbeat, so that the agent is forwarded for as long as it comes here.
  if (returned_within_lease(heartbeat.machine)) visit.redirected_at = reactor_.now();
  visit.forwarded_at = reactor_.now();
  visits_.put(heartbeat.machine, visit);
}

void HeartbeatForwarder::note_redirected(const wire::Heartbeat& heartbeat) {
  if (!has_other_controllers(heartbeat)) return;
  Visit visit = last_visit(heartbeat.machine);
  visit.redirected_at = reactor_.now();
  visits_.put(heartbeat.machine, visit);
}

// Guards against a lease that ends on the way: an agent that comes from a controller which does not
// respond has lost half of a short lease, and would lose the rest if it were sent back there.
bool HeartbeatForwarder::is_first_visit(const std::string& machine) const {
  const Visit visit = last_visit(machine);
  return reactor_.now() - std::max(visit.forwarded_at, visit.redirected_at) >= settings_.lease_s;
}

// Guards against agents that are redirected to and fro until their leases end: one that is back so
// soon has found that the leader, which this controller hears, can't be reached from its zone.
bool HeartbeatForwarder::returned_within_lease(const std::string& machine) const {
  return reactor_.now() - last_visit(machine).redirected_at < settings_.lease_s;
}

// ---- forwarding ----

/// A heartbeat on its way to whoever is the leader. Its end removes it from the pending ones.
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
  if (entry == pending_.end()) return;  // too late: its agent has been responded to otherwise
  PendingResponse& pending = *entry->second;
  pending.response = response;
  pending.done = true;
  pending.arrived.set();
}

// Under a new id, so that what a former leader responds from now on is ignored.
void HeartbeatForwarder::send_to_leader(Forwarding& forwarding) {
  pending_.erase(forwarding.id);
  forwarding.id = ++last_id_;
  forwarding.fencing_token = fencing_token_;
  pending_[forwarding.id] = &forwarding.pending;
  send_frame_(leader_, peer::ForwardedHeartbeat{forwarding.id, forwarding.body});
}

// Waits for the response of the leader, or of its successor if one is heard in time.
Task<void> HeartbeatForwarder::await_response(Forwarding& forwarding, double until,
                                              std::function<bool()> cut_off) {
  auto& pending = forwarding.pending;
  while (!pending.done && reactor_.now() < until) {
    // Guards against agents redirected to a leader that stands still: its successor is waited for.
    if (reaches_leader() && forwarding.fencing_token != fencing_token_) send_to_leader(forwarding);
    // A controller that is cut off may respond as a delegate at once, unless the leader has the
    // heartbeat already.
    const bool hopeless = cut_off() ? forwarding.id == 0 : !leader_expected();
    if (!reaches_leader() && hopeless) co_return;
    net::Signal::Wait wait(pending.arrived,
                           std::min(settings_.heartbeat_interval_s / 4, until - reactor_.now()));
    co_await wait;
  }
}

Task<Response> HeartbeatForwarder::forward(wire::Heartbeat heartbeat, std::string body,
                                           std::function<double()> store_last_answer_at) {
  const double received_at = reactor_.now();
  // Whether the store was heard last no later than the leader, give or take what lies between two
  // peer heartbeats: then neither of them is reached.
  const auto cut_off = [&] {
    return store_last_answer_at() < leader_heard_at_ + settings_.heartbeat_interval_s / 2;
  };
  Response response;
  if (body.size() < peer::kMaxTextBytes) {
    Forwarding forwarding(*this, std::move(body));
    auto waiting =
        await_response(forwarding, received_at + kMaxWaitFraction * kAgentTimeout, cut_off);
    co_await waiting;
    const auto& leaders = forwarding.pending.response;
    if (forwarding.pending.done && leaders.status == 200) {
      // Counted from the coming of the heartbeat, which was before the leader's response.
      const double until = received_at + leaders.delegation_ms / kMsPerSecond;
      delegations_.put(heartbeat.machine, {leaders.fencing_token, until});
      response.body = leaders.body;
      co_return response;
    }
  }
  if (cut_off() && may_respond_as_delegate(heartbeat)) co_return respond_as_delegate();
  response.status = 421;
  co_return response;
}

// ---- responding as a delegate ----

// Guards the leader's timing of leases: it counts on no response of ours while it is heard here,
// nor after the delegation has ended (invariant 4). An agent that has seen a newer fencing token
// would drop the response anyway.
bool HeartbeatForwarder::may_respond_as_delegate(const wire::Heartbeat& heartbeat) const {
  const Delegation* delegation = delegations_.find(heartbeat.machine);
  if (delegation == nullptr || delegation->fencing_token != fencing_token_) return false;
  if (heartbeat.fencing_token > fencing_token_) return false;
  return !reaches_leader() && reactor_.now() < delegation->until;
}

// Prolongs the agent's lease and carries no commands.
Response HeartbeatForwarder::respond_as_delegate() {
  const double now = reactor_.now();
  if (delegate_responded_at_ < 0 || now - delegate_responded_at_ > settings_.lease_s) {
    base::log_info("responding as delegate", base::field("fencing_token", fencing_token_));
  }
  delegate_responded_at_ = now;
  Response response;
  response.body = wire::heartbeat_response(fencing_token_, {});
  return response;
}

}  // namespace cranklock::control
