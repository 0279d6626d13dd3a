// One controller: wires the parts that take part in elections, respond to agents and serve clients.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "control/heartbeat_router.hpp"
#include "control/job_api.hpp"
#include "control/leader_election.hpp"
#include "control/machine_type_loader.hpp"
#include "control/services.hpp"
#include "control/store_monitor.hpp"
#include "net/http.hpp"
#include "net/task.hpp"
#include "peer/roster.hpp"

namespace cranklock::control {

/// A controller, without the sockets that it is reached by: the process (src/app) and the test
/// cluster hand it requests and frames, and tell it how to send.
class Node {
 public:
  explicit Node(Services services);

  /// Starts its routines, which run until the scope is destroyed. The node must outlive it.
  void start(net::Scope& scope);

  /// How frames reach the other controllers; without it each controller serves its own agents only.
  void set_send_frame(HeartbeatForwarder::SendFrame send_frame);
  /// Tells the share of this controller's connections that is in use; without it no agent is
  /// redirected for want of connections.
  void set_connection_load(std::function<double()> connection_load);
  /// How leaders of other regions are reached, where the settings name regions.
  void set_region_network(regions::RegionNetwork* network);

  /// Answers any request that comes to the public address.
  net::Task<net::Response> handle(net::Request request);
  /// Takes a frame from another controller of the region.
  void on_peer_frame(const std::string& from, const peer::Frame& frame);
  /// Takes a frame from the leader of another region; ignored while this controller does not lead.
  void on_region_frame(const std::string& region, const regions::RegionFrame& frame);

  /// What this controller tells the others of itself, every peer_heartbeat_interval().
  peer::PeerHeartbeat peer_heartbeat() const;
  static double peer_heartbeat_interval(const base::Settings& settings) {
    return settings.heartbeat_interval_s / 3;
  }
  /// The answer to GET /ready, by which the load balancer chooses controllers.
  bool ready() const;

  /// Whether this controller is the leader and has loaded its cluster state.
  bool leads() const { return election_.leads(); }
  /// Of the present leadership; 0: this controller does not lead.
  std::uint64_t leader_fencing_token() const { return election_.fencing_token(); }
  /// The present leader term, which may still be loading; nullptr: there is none.
  LeaderTerm* term() { return election_.term(); }

 private:
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat);

  Services services_;
  std::uint64_t incarnation_;  ///< of this process, as its peer heartbeats name it
  StoreMonitor store_monitor_;
  peer::Roster roster_;
  JobApi job_api_;
  MachineTypeLoader machine_type_loader_;
  LeaderElection election_;
  HeartbeatRouter heartbeat_router_;
};

}  // namespace cranklock::control
