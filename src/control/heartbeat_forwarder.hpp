// What a controller that is not the leader does with the heartbeats of agents.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/recent_map.hpp"
#include "base/settings.hpp"
#include "net/http.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "peer/frames.hpp"
#include "wire/agent_protocol.hpp"

namespace cranklock::control {

/// Forwards heartbeats to the leader, and responds to them as its delegate while cut off from it.
///
/// It forwards for agents of its own zone and of zones without a controller. An agent of another
/// controller's zone is forwarded for once, when it first comes, so that it has a whole lease to
/// find its place in; then it is redirected to the leader. If it is back within a lease, the leader
/// can't be reached from its zone, and it is forwarded for as long as it comes.
///
/// A leader delegates each agent of the forwarder's zone for a time. The forwarder responds on its
/// own only within that time, and only while it hears neither the leader nor the key-value store
/// (invariant 4, "Heartbeat forwarders" in docs/design.md).
class HeartbeatForwarder {
 public:
  /// Sends a frame to another controller of the region, by its name. Frames may be lost.
  using SendFrame = std::function<void(const std::string& to, const peer::Frame& frame)>;

  HeartbeatForwarder(net::Reactor& reactor, const base::Settings& settings)
      : reactor_(reactor),
        settings_(settings),
        // Guards against a response to a heartbeat that an earlier run of this controller forwarded
        // being taken for one to ours: the time of day grows faster than heartbeats come.
        last_id_(static_cast<std::uint64_t>(reactor.wall_ms()) << 16),
        delegations_(kMaxAgents),
        visits_(kMaxAgents) {}

  /// Without it nothing is forwarded.
  void set_send_frame(SendFrame send_frame) { send_frame_ = std::move(send_frame); }
  /// Tells whether there are connections to spare for agents that wait for a leader's successor.
  void set_may_wait(std::function<bool()> may_wait) { may_wait_ = std::move(may_wait); }

  /// Seconds without a peer heartbeat of the leader after which it counts as unreachable. Only then
  /// does a forwarder respond as its delegate; the leader relies on that
  /// (HeartbeatHandler::on_peer_heartbeat).
  static double leader_timeout(const base::Settings& settings) {
    return std::min(1.2 * settings.heartbeat_interval_s, 3.0);
  }

  /// Takes note of the leader with the highest fencing token.
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat);
  /// Takes a leader's response to a heartbeat that was forwarded to it.
  void on_response(const peer::ForwardedResponse& response);
  /// Adds to this controller's own peer heartbeat what its leader has to know: the echo of the
  /// leader's clock, and when this controller last responded as a delegate.
  void describe(peer::PeerHeartbeat& peer_heartbeat) const;

  /// Whether a leader is heard that heartbeats can be forwarded to.
  bool reaches_leader() const;
  /// Whether one is heard, or was heard so lately that its successor should be heard before long.
  bool leader_expected() const;
  /// Whether the agent may be responded to here; otherwise it is to be redirected.
  bool may_forward(const wire::Heartbeat& heartbeat) const;

  /// The agent was responded to with 200 here.
  void note_forwarded(const wire::Heartbeat& heartbeat);
  /// The agent was redirected to the leader.
  void note_redirected(const wire::Heartbeat& heartbeat);

  /// Has the heartbeat, of which `body` is the text, responded to: by the leader, by its successor,
  /// or by this controller as a delegate. Status 421: none of them did, and the agent is to be
  /// redirected. `store_last_answer_at` tells when the key-value store last answered this
  /// controller: that tells a zone that is cut off from a leader that has ended, whose agents had
  /// better look for its successor.
  net::Task<net::Response> forward(wire::Heartbeat heartbeat, std::string body,
                                   std::function<double()> store_last_answer_at);

 private:
  struct PendingResponse {
    explicit PendingResponse(net::Reactor& reactor) : arrived(reactor) {}
    net::Signal arrived;
    bool done = false;
    peer::ForwardedResponse response;
  };
  /// When an agent of another controller's zone was last here, in steady seconds.
  struct Visit {
    double forwarded_at = -1e9;
    double redirected_at = -1e9;
  };
  /// The leader's permission to respond to an agent on our own.
  struct Delegation {
    std::uint64_t fencing_token = 0;  ///< of the leader that gave it
    double until = 0;                 ///< steady seconds
  };
  struct Forwarding;
  /// Agents of which something is remembered, some 150 bytes each; many times the machines of the
  /// fleets in service (invariant 18).
  static constexpr std::size_t kMaxAgents = 32'768;

  void send_to_leader(Forwarding& forwarding);
  net::Task<void> await_response(Forwarding& forwarding, double until,
                                 std::function<bool()> cut_off);
  bool may_respond_as_delegate(const wire::Heartbeat& heartbeat) const;
  net::Response respond_as_delegate();
  bool has_other_controllers(const wire::Heartbeat& heartbeat) const;
  bool is_first_visit(const std::string& machine) const;
  bool returned_within_lease(const std::string& machine) const;
  Visit last_visit(const std::string& machine) const;

  net::Reactor& reactor_;
  const base::Settings& settings_;
  SendFrame send_frame_;
  std::function<bool()> may_wait_ = [] { return true; };
  std::string leader_;                 ///< the controller with the highest fencing token heard
  std::uint64_t fencing_token_ = 0;    ///< its fencing token; 0: no leader was heard
  std::uint64_t leader_clock_ms_ = 0;  ///< its steady clock in its last peer heartbeat
  double leader_heard_at_ = -1e9;      ///< when that came
  double delegate_responded_at_ = -1;  ///< when we last responded as a delegate; -1: never
  std::uint64_t last_id_;              ///< of the last heartbeat that was forwarded
  std::map<std::uint64_t, PendingResponse*> pending_;  ///< by id of the forwarded heartbeat
  base::RecentMap<Delegation> delegations_;            ///< by machine
  base::RecentMap<Visit> visits_;                      ///< by machine
};

}  // namespace cranklock::control
