// One controller: wires the components for elections, agent heartbeats and the client API.
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

/// A controller without its sockets: the process (src/app) and the test cluster pass requests and
/// frames to it, and set how it sends frames.
class Node {
 public:
  explicit Node(Services services);

  /// Starts the coroutines, which run until the scope is destroyed. The node must outlive the
  /// scope.
  void start(net::Scope& scope);

  /// Sets how frames are sent to the other controllers; without it no heartbeats are forwarded and
  /// the leader redirects no agents.
  void set_send_frame(HeartbeatForwarder::SendFrame send_frame);
  /// Sets the function that returns the fraction of this controller's connections in use; without
  /// it no agent is redirected because of connection load.
  void set_connection_load(std::function<double()> connection_load);
  /// Sets the connection to the leaders of other regions; needed only if the settings name regions.
  void set_region_network(regions::RegionNetwork* network);

  /// Handles a request to the public address.
  net::Task<net::Response> handle(net::Request request);
  /// Handles a frame from another controller of the region.
  void on_peer_frame(const std::string& from, const peer::Frame& frame);
  /// Handles a frame from the leader of another region; ignored while this controller does not
  /// lead.
  void on_region_frame(const std::string& region, const regions::RegionFrame& frame);

  /// The heartbeat sent to the other controllers every peer_heartbeat_interval().
  peer::PeerHeartbeat peer_heartbeat() const;
  static double peer_heartbeat_interval(const base::Settings& settings) {
    return settings.heartbeat_interval_s / 3;
  }
  /// The result of GET /ready, which the load balancer uses to select controllers.
  bool ready() const;

  /// Whether this controller is the leader and has loaded its cluster state.
  bool leads() const { return election_.leads(); }
  /// The fencing token of the current term; 0 if this controller does not lead.
  std::uint64_t leader_fencing_token() const { return election_.fencing_token(); }
  /// The current leader term, which may still be loading; nullptr if there is none.
  LeaderTerm* term() { return election_.term(); }

 private:
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat);

  Services services_;
  std::uint64_t incarnation_;  ///< identifies this process in its peer heartbeats
  StoreMonitor store_monitor_;
  peer::Roster roster_;
  JobApi job_api_;
  MachineTypeLoader machine_type_loader_;
  LeaderElection election_;
  HeartbeatRouter heartbeat_router_;
};

}  // namespace cranklock::control
