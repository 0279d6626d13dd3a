#include "control/heartbeat_forwarder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "control/leader_lease.hpp"

namespace cranklock::control {

using net::Response;
using net::Task;

void HeartbeatForwarder::on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat) {
  if (peer_heartbeat.fencing_token == 0 || peer_heartbeat.fencing_token < fencing_token_) return;
  fencing_token_ = peer_heartbeat.fencing_token;
  leader_ = peer_heartbeat.name;
  leader_ms_ = peer_heartbeat.sent_clock_ms;
  leader_heard_at_ = reactor_.now();
}

void HeartbeatForwarder::describe(peer::PeerHeartbeat& peer_heartbeat) const {
  peer_heartbeat.echoed_fencing_token = fencing_token_;
  peer_heartbeat.echoed_clock_ms = leader_ms_;
  if (delegate_responded_at_ >= 0) {
    const double age = (reactor_.now() - delegate_responded_at_) * 1000;
    peer_heartbeat.delegate_responded_ms =
        static_cast<std::uint32_t>(std::min(age, peer::kNever - 1.0));
  }
}

bool HeartbeatForwarder::reaches_leader() const {
  return fencing_token_ > 0 && reactor_.now() - leader_heard_at_ < leader_timeout(settings_);
}

bool HeartbeatForwarder::leader_expected() const {
  if (reaches_leader()) return true;
  constexpr double kTakeOver = 1.5;  // of the leader lease's life: it ends, and another is taken
  const double silent = reactor_.now() - leader_heard_at_;
  return fencing_token_ > 0 && may_wait_() &&
         silent < leader_timeout(settings_) + kTakeOver * LeaderLease::lease_life(settings_);
}

// Guards the leader's timing of leases: it counts on no answer of ours while it is heard here, and
// on none after what it allowed. A worker that has seen a newer fencing token would drop the answer
// anyway.
bool HeartbeatForwarder::may_respond_as_delegate(const wire::Heartbeat& heartbeat) const {
  const Trust* trust = trusted_.find(heartbeat.machine);
  return trust != nullptr && trust->fencing_token == fencing_token_ &&
         heartbeat.fencing_token <= fencing_token_ && !reaches_leader() &&
         reactor_.now() < trust->until;
}

HeartbeatForwarder::Visit HeartbeatForwarder::last_visit(const std::string& machine) const {
  const Visit* visit = visits_.find(machine);
  return visit != nullptr ? *visit : Visit{};
}

void HeartbeatForwarder::note_forwarded(const wire::Heartbeat& heartbeat) {
  if (!is_of_other_nodes(heartbeat)) return;
  Visit visit = last_visit(heartbeat.machine);
  // For as long as it comes here, it may go on doing so.
  if (came_back(heartbeat.machine)) visit.sent_away_at = reactor_.now();
  visit.forwarded_at = reactor_.now();
  visits_.put(heartbeat.machine, visit);
}

void HeartbeatForwarder::note_sent_away(const wire::Heartbeat& heartbeat) {
  if (!is_of_other_nodes(heartbeat)) return;
  Visit visit = last_visit(heartbeat.machine);
  visit.sent_away_at = reactor_.now();
  visits_.put(heartbeat.machine, visit);
}

// Guards against a lease that ends on the way: a worker that comes from a node which holds its
// reports has lost half of a short lease, and one that is sent back there loses the rest.
bool HeartbeatForwarder::is_first_visit(const std::string& machine) const {
  const Visit visit = last_visit(machine);
  return reactor_.now() - std::max(visit.forwarded_at, visit.sent_away_at) >= settings_.lease_s;
}

// Guards against workers sent to and fro until their leases end: one that is back so soon has found
// that the leader, which this node hears, can't be reached from there.
bool HeartbeatForwarder::came_back(const std::string& machine) const {
  return reactor_.now() - last_visit(machine).sent_away_at < settings_.lease_s;
}

void HeartbeatForwarder::on_response(const peer::ForwardedResponse& answer) {
  const auto it = pending_.find(answer.id);
  if (it == pending_.end()) return;  // too late: its worker has been answered otherwise
  it->second->answer = answer;
  it->second->done = true;
  it->second->arrived.set();
}

/// One report on its way to whoever leads.
struct HeartbeatForwarder::Forwarding {
  HeartbeatForwarder& forwarder;
  std::string body;
  Pending pending;
  std::uint64_t id = 0;             ///< 0: not sent yet
  std::uint64_t fencing_token = 0;  ///< of the leader that it was sent to

  Forwarding(HeartbeatForwarder& by, std::string text)
      : forwarder(by), body(std::move(text)), pending(by.reactor_) {}
  Forwarding(const Forwarding&) = delete;
  Forwarding& operator=(const Forwarding&) = delete;
  ~Forwarding() { forwarder.pending_.erase(id); }
};

// What the former leader answers from now on counts no more: its successor is asked.
void HeartbeatForwarder::send_to_leader(Forwarding& forwarding) {
  pending_.erase(forwarding.id);
  forwarding.id = ++next_id_;
  forwarding.fencing_token = fencing_token_;
  pending_[forwarding.id] = &forwarding.pending;
  send_(leader_, peer::ForwardedHeartbeat{forwarding.id, forwarding.body});
}

Task<Response> HeartbeatForwarder::forward(wire::Heartbeat heartbeat, std::string body,
                                           std::function<double()> state_heard) {
  constexpr double kWorkersPatience = 4.0;  // PROTOCOL: then it tries the next node
  const double sent = reactor_.now();
  const double until = sent + 0.8 * kWorkersPatience;
  // What came last from outside is the leader's, give or take what lies between two peer
  // heartbeats.
  const auto cut_off = [&] {
    return state_heard() < leader_heard_at_ + settings_.heartbeat_interval_s / 2;
  };
  Response response;
  if (body.size() < peer::kMaxTextBytes) {
    Forwarding forwarding(*this, std::move(body));
    auto& pending = forwarding.pending;
    while (!pending.done && reactor_.now() < until) {
      // Guards against workers sent to a leader that stands still: its successor is waited for.
      if (reaches_leader() && forwarding.fencing_token != fencing_token_)
        send_to_leader(forwarding);
      // One that is cut off may answer by itself, unless the leader has the heartbeat.
      const bool lost = cut_off() ? forwarding.id == 0 : !leader_expected();
      if (!reaches_leader() && lost) break;
      net::Signal::Wait wait(pending.arrived,
                             std::min(settings_.heartbeat_interval_s / 4, until - reactor_.now()));
      co_await wait;
    }
    if (pending.done && pending.answer.status == 200) {
      const auto& answer = pending.answer;
      // Counted from the coming of the heartbeat, which was before the leader's answer.
      trusted_.put(heartbeat.machine, {answer.fencing_token, sent + answer.delegation_ms / 1000.0});
      response.body = answer.body;
      co_return response;
    }
  }
  if (cut_off() && may_respond_as_delegate(heartbeat)) {
    if (delegate_responded_at_ < 0 || reactor_.now() - delegate_responded_at_ > settings_.lease_s) {
      spdlog::info("answering the zone's workers in the leader's stead, token {}", fencing_token_);
    }
    delegate_responded_at_ = reactor_.now();
    response.body = wire::heartbeat_response(fencing_token_, {});
    co_return response;
  }
  response.status = 421;
  co_return response;
}

}  // namespace cranklock::control
