// Handles the heartbeats of agents on a controller that is not the leader.
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

/// Forwards heartbeats to the leader, and responds as the leader's delegate while cut off from it.
///
/// It forwards for agents of its own zone and of zones without a controller. The first heartbeat of
/// an agent from another controller's zone is forwarded too, which gives the agent a whole lease to
/// find another controller; then the agent is redirected to the leader. If it returns within a
/// lease, the leader is unreachable from its zone, and its heartbeats are forwarded for as long as
/// they arrive here.
///
/// A leader delegates the lease of each agent of the forwarder's zone for a limited time. Only
/// within that time, and only while neither the leader nor the key-value store is reachable, does
/// the forwarder respond on its own (invariant 4, "Heartbeat forwarders" in docs/design.md).
class HeartbeatForwarder {
 public:
  /// Sends a frame to the named controller of the same region. Frames may be lost.
  using SendFrame = std::function<void(const std::string& to, const peer::Frame& frame)>;

  HeartbeatForwarder(net::Reactor& reactor, const base::Settings& settings)
      : reactor_(reactor),
        settings_(settings),
        // Starting from the wall clock keeps ids unique across restarts, so that responses to
        // heartbeats forwarded by an earlier process of this controller are not matched to new
        // ones: the ids from the clock grow faster than heartbeats arrive.
        last_id_(static_cast<std::uint64_t>(reactor.wall_ms()) << 16),
        delegations_(kMaxAgents),
        other_zone_agents_(kMaxAgents) {}

  /// Nothing is forwarded until this is set.
  void set_send_frame(SendFrame send_frame) { send_frame_ = std::move(send_frame); }
  /// Sets the check whether connections may be held open for agents during a failover.
  void set_may_hold_requests(std::function<bool()> may_hold_requests) {
    may_hold_requests_ = std::move(may_hold_requests);
  }

  /// Seconds without a peer heartbeat of the leader after which it counts as unreachable. A
  /// forwarder responds as its delegate only after that; the leader relies on it
  /// (HeartbeatHandler::on_peer_heartbeat).
  static double leader_timeout(const base::Settings& settings) {
    return std::min(1.2 * settings.heartbeat_interval_s, 3.0);
  }

  /// Records the leader with the highest fencing token.
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat);
  /// Handles a leader's response to a forwarded heartbeat.
  void on_response(const peer::ForwardedResponse& response);
  /// Adds what the leader needs to this controller's own peer heartbeat: the echo of the leader's
  /// clock, and when this controller last responded as a delegate.
  void fill_peer_heartbeat(peer::PeerHeartbeat& peer_heartbeat) const;

  /// Whether heartbeats can be forwarded to a leader now.
  bool is_leader_reachable() const;
  /// Whether a leader is reachable; or was reachable so recently that its successor is expected
  /// soon, while connections may be held open for agents.
  bool is_leader_expected() const;
  /// Whether to handle the heartbeat here; otherwise the agent is redirected.
  bool may_forward(const wire::Heartbeat& heartbeat) const;

  /// Records that the agent received a response with status 200 here.
  void note_forwarded(const wire::Heartbeat& heartbeat);
  /// Records that the agent was redirected to the leader.
  void note_redirected(const wire::Heartbeat& heartbeat);

  /// Returns the response to the heartbeat, whose text is `body`: from the leader, from its
  /// successor, or from this controller as a delegate. Status 421: none of them responded, and the
  /// agent is to be redirected. `store_last_answer_at` returns when the key-value store last
  /// answered this controller. If the store answers although the leader is unreachable, the leader
  /// has failed, and the agents must find its successor. If the store does not answer either, this
  /// controller is cut off, and responds as a delegate.
  net::Task<net::Response> forward(wire::Heartbeat heartbeat, std::string body,
                                   std::function<double()> store_last_answer_at);

 private:
  struct PendingResponse {
    explicit PendingResponse(net::Reactor& reactor) : arrived(reactor) {}
    net::Signal arrived;
    bool done = false;
    peer::ForwardedResponse response;
  };
  /// When an agent of another controller's zone was last forwarded or redirected, in steady
  /// seconds.
  struct OtherZoneAgent {
    double forwarded_at = -1e9;
    double redirected_at = -1e9;
  };
  /// The leader's permission to respond to an agent without it.
  struct Delegation {
    std::uint64_t fencing_token = 0;  ///< of the response that granted it
    double until = 0;                 ///< steady seconds
  };
  struct Forwarding;
  /// Maximum number of agents with stored state, about 150 bytes each; many times the number of
  /// machines in production fleets (invariant 18).
  static constexpr std::size_t kMaxAgents = 32'768;

  void send_to_leader(Forwarding& forwarding);
  net::Task<void> await_response(Forwarding& forwarding, double until,
                                 std::function<bool()> cut_off);
  bool may_respond_as_delegate(const wire::Heartbeat& heartbeat) const;
  net::Response respond_as_delegate(const std::string& machine, std::uint64_t fencing_token);
  bool has_other_controllers(const wire::Heartbeat& heartbeat) const;
  bool is_first_within_lease(const std::string& machine) const;
  bool redirected_within_lease(const std::string& machine) const;
  OtherZoneAgent other_zone_agent(const std::string& machine) const;

  net::Reactor& reactor_;
  const base::Settings& settings_;
  SendFrame send_frame_;
  std::function<bool()> may_hold_requests_ = [] { return true; };
  std::string leader_;                      ///< the controller with the highest fencing token seen
  std::uint64_t fencing_token_ = 0;         ///< its fencing token; 0: no leader is known
  std::uint64_t leader_clock_ms_ = 0;       ///< its steady clock in its last peer heartbeat
  double last_leader_heartbeat_at_ = -1e9;  ///< when that arrived
  double delegate_responded_at_ = -1;       ///< last response as a delegate; -1: never
  std::uint64_t last_id_;                   ///< of the last heartbeat that was forwarded
  std::map<std::uint64_t, PendingResponse*> pending_;  ///< by id of the forwarded heartbeat
  base::RecentMap<Delegation> delegations_;            ///< by machine
  base::RecentMap<OtherZoneAgent> other_zone_agents_;  ///< by machine
};

}  // namespace cranklock::control
