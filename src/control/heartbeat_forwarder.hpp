// A node that does not lead serves its own zone's workers: it forwards their reports to the leader,
// and when the zone is cut off it answers them in the leader's stead, for as long as that is safe.
// It forwards for zones without a controller too. A worker of another zone is answered by
// forwarding when it first comes, so that it has a whole lease to find its place in; then it is
// sent to the leader, and forwarded for good if it comes back, since the leader can't be reached
// from there.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/recent_map.hpp"
#include "base/settings.hpp"
#include "net/http.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "peer/frames.hpp"
#include "wire/agent_protocol.hpp"

namespace cranklock::control {

class HeartbeatForwarder {
 public:
  using Send = std::function<void(const std::string& to, const peer::Frame&)>;

  HeartbeatForwarder(net::Reactor& reactor, const base::Settings& settings)
      : reactor_(reactor),
        settings_(settings),
        // Guards against an answer to a former run, whose question was held up on the way, being
        // taken for one to ours: the time of day goes faster than reports come.
        next_id_(static_cast<std::uint64_t>(reactor.wall_ms()) << 16),
        trusted_(kMaxWorkers),
        visits_(kMaxWorkers) {}

  /// Without it nothing is forwarded.
  void set_send(Send send) { send_ = std::move(send); }
  /// Whether there are connections to spare for workers that wait for a leader's successor.
  void set_may_wait(std::function<bool()> may_wait) { may_wait_ = std::move(may_wait); }

  /// A leader that has not been heard for so long can't be reached. Only then does a forwarder
  /// answer in its stead; until then, so the leader knows, no forwarder that it heard from has.
  static double leader_timeout(const base::Settings& settings) {
    return std::min(1.2 * settings.heartbeat_interval_s, 3.0);
  }

  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat);
  void on_response(const peer::ForwardedResponse& answer);
  /// What this node's peer heartbeats say of it.
  void describe(peer::PeerHeartbeat& peer_heartbeat) const;
  /// A leader is heard that may have reports forwarded to it.
  bool reaches_leader() const;
  /// One is, or was so lately that its successor should be heard before long.
  bool leader_expected() const;
  bool may_forward(const wire::Heartbeat& heartbeat) const {
    if (!send_) return false;
    if (heartbeat.zone == settings_.zone)
      return leader_expected() || may_respond_as_delegate(heartbeat);
    if (!leader_expected()) return false;
    return !is_of_other_nodes(heartbeat) || is_first_visit(heartbeat.machine) ||
           came_back(heartbeat.machine);
  }
  /// The worker was answered 200 here.
  void note_forwarded(const wire::Heartbeat& heartbeat);
  /// The worker was told to report to the leader.
  void note_sent_away(const wire::Heartbeat& heartbeat);

  /// `state_heard` says when the state service last answered: that tells a zone that is cut off
  /// from a leader that has ended, whose workers had better look for its successor. An answer of
  /// status 421 means that they should go elsewhere.
  net::Task<net::Response> forward(wire::Heartbeat heartbeat, std::string body,
                                   std::function<double()> state_heard);

 private:
  struct Pending {
    explicit Pending(net::Reactor& reactor) : arrived(reactor) {}
    net::Signal arrived;
    bool done = false;
    peer::ForwardedResponse answer;
  };
  /// When a worker of another zone was last here.
  struct Visit {
    double forwarded_at = -1e9;
    double sent_away_at = -1e9;
  };
  struct Forwarding;
  struct Trust {
    std::uint64_t fencing_token = 0;
    double until = 0;
  };
  /// Workers of which something is remembered, some 150 bytes each; many times the machines of the
  /// fleets in service.
  static constexpr std::size_t kMaxWorkers = 32'768;

  void send_to_leader(Forwarding& forwarding);
  bool may_respond_as_delegate(const wire::Heartbeat& heartbeat) const;
  /// Whether its zone is another one, with a node to forward for it.
  bool is_of_other_nodes(const wire::Heartbeat& heartbeat) const {
    return heartbeat.zone != settings_.zone && settings_.has_node(heartbeat.zone);
  }
  bool is_first_visit(const std::string& machine) const;
  bool came_back(const std::string& machine) const;
  Visit last_visit(const std::string& machine) const;

  net::Reactor& reactor_;
  const base::Settings& settings_;
  Send send_;
  std::function<bool()> may_wait_ = [] { return true; };
  std::string leader_;
  std::uint64_t fencing_token_ = 0;  ///< the highest that a leader was heard with
  std::uint64_t leader_ms_ = 0;
  double leader_heard_at_ = -1e9;
  double delegate_responded_at_ = -1;
  std::uint64_t next_id_;
  std::map<std::uint64_t, Pending*> pending_;
  base::RecentMap<Trust> trusted_;  ///< by worker, as the leader last allowed
  base::RecentMap<Visit> visits_;   ///< by worker
};

}  // namespace cranklock::control
