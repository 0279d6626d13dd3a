// One controller: elections, and which part answers what.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/event_rate.hpp"
#include "control/heartbeat_forwarder.hpp"
#include "control/job_api.hpp"
#include "control/leader_term.hpp"
#include "peer/roster.hpp"

namespace cranklock::control {

class Node {
 public:
  explicit Node(Services services);
  ~Node();

  /// Runs elections and terms for ever.
  net::Task<void> run();
  /// Learns the machine types for users' submissions.
  net::Task<void> learn_types();
  /// Keeps in touch with the state service, so that /ready is true to fact.
  net::Task<void> probe_state_service();

  /// Answers whatever comes on the public address.
  net::Task<net::Response> handle(net::Request request);

  bool ready() const;
  /// What this node says to the others, and takes from them.
  peer::PeerHeartbeat peer_heartbeat() const;
  void heard(const std::string& from, peer::Frame frame);
  /// How frames reach the other nodes; without it each node serves only its own workers.
  void set_send(HeartbeatForwarder::Send send);
  /// Tells the share of this node's connections that is in use; without it nobody is handed on for
  /// want of connections.
  void set_connection_load(std::function<double()> load);
  /// How leaders of other regions are reached, where the settings name regions.
  void set_region_network(regions::RegionNetwork* network) { region_network_ = network; }
  /// Takes what the leader of another region says; ignored while this node does not lead.
  void on_region_frame(const std::string& region, const regions::RegionFrame& frame);
  /// 0: this node does not lead.
  std::uint64_t leader_fencing_token() const {
    return leads() ? leader_lease_->fencing_token() : 0;
  }
  static double peer_heartbeat_interval(const base::Settings& settings) {
    return settings.heartbeat_interval_s / 3;
  }
  bool leads() const { return term_ != nullptr && serving_; }
  LeaderTerm* term() { return term_.get(); }

 private:
  struct LeadershipGrant {
    bool ok = false;
    std::uint64_t lease = 0, fencing_token = 0;
    double sent = 0;
  };
  net::Task<LeadershipGrant> acquire_leadership();
  net::Task<void> serve_term(LeadershipGrant grant);
  net::Task<net::Response> handle_heartbeat_request(net::Request request);
  net::Task<bool> store_types(std::string text);
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat);
  void on_forwarded_heartbeat(const std::string& from, const peer::ForwardedHeartbeat& forwarded);
  /// The node that is to forward this worker's heartbeats from now on, or none.
  std::string forwarder_for(const wire::Heartbeat& heartbeat);
  std::vector<const base::Peer*> possible_forwarders(const std::string& zone) const;
  /// Heartbeats that come straight here take more of this node's processor or connections than they
  /// should.
  bool connections_overloaded() const;
  bool heartbeats_overloaded();
  /// Until the next worker may be handed on that could as well stay here.
  double redirect_interval();
  void note_leader(const store::ReadResult& found);
  bool reaches_state() const;
  bool cut_off_from_workers() const;
  std::string believed_leader() const;

  Services services_;
  JobApi job_api_;
  HeartbeatForwarder forwarder_;
  HeartbeatForwarder::Send send_;
  std::function<double()> connection_load_;
  regions::RegionNetwork* region_network_ = nullptr;
  net::Signal lost_;
  peer::Roster roster_;
  std::unique_ptr<LeaderLease> leader_lease_;
  std::unique_ptr<LeaderTerm> term_;
  net::Scope duties_;
  bool serving_ = false;  ///< the term has loaded its cluster state
  std::string leader_;    ///< whom the state service named last; empty: nobody
  std::uint64_t leader_fencing_token_ = 0;
  double abstain_until_ = 0;
  double state_heard_ = 0;
  double workers_heard_ = -1e9;
  base::EventRate direct_heartbeats_;  ///< to this node as the leader
  double next_redirect_at_ = 0;        ///< when a worker of this zone may be handed on again
  std::uint64_t nonce_ = 0;
  std::uint64_t incarnation_;  ///< of this process, as its peer heartbeats name it
};

}  // namespace cranklock::control
