// The stand-ins of one region (state service, cloud and workers) and the relays between regions.
// This process serves all of them over loopback.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/settings.hpp"
#include "net/client.hpp"
#include "net/server.hpp"
#include "net/stream.hpp"
#include "state_stand_in.hpp"
#include "worker_stand_in.hpp"

namespace cranklock::lab {

/// Forwards TCP connections from one region to one controller of another unless partitioned.
class Relay {
 public:
  Relay(net::EvReactor& reactor, std::string listen, std::string to)
      : reactor_(reactor), listen_(std::move(listen)), to_(std::move(to)) {}
  bool start(net::Scope& scope);
  /// A partition closes all connections, and until it ends every new one at once.
  void set_partitioned(bool partitioned);
  std::uint64_t bytes() const { return bytes_; }  ///< forwarded in both directions

 private:
  using SharedFd = std::shared_ptr<net::Fd>;
  net::Task<void> accept_connections();
  net::Task<void> forward(net::Fd from);
  net::Task<void> copy_bytes(SharedFd from, SharedFd to);

  net::EvReactor& reactor_;
  std::string listen_, to_;
  net::Fd listener_;
  bool partitioned_ = false;
  std::uint64_t bytes_ = 0;
  net::Scope connections_;
};

/// Limits of a stand-in's server to which a whole fleet may keep idle connections.
net::ServerLimits stand_in_server_limits();

class Region {
 public:
  /// `index` selects the addresses: workers listen on 127.<10 + index>.x.y.
  Region(net::EvReactor& reactor, const LabPlan& plan, const RegionPlan& region, int index,
         testing::WorkerStandIn::TaskEnvironment& environment, unsigned seed);

  bool start(net::Scope& scope);
  const RegionPlan& plan() const { return region_; }
  std::string state_address() const { return address(1); }
  std::string cloud_address() const { return address(2); }
  /// The address of a controller's client (0), peer (1) or region (2) listener.
  std::string controller_address(int controller, int listener) const {
    return address(10 + 3 * controller + listener);
  }
  /// While the state service is down, it responds with 503, to a watch at its timeout. When it is
  /// up again, all its leases are renewed.
  void set_state_down(bool down);
  /// Stops the heartbeats of a random share of the agents; 0: all send them again.
  void set_mute_share(double share);
  /// Holds up a random share of the commands to agents from now on; 0: none.
  void set_late_command_share(double share) { late_command_share_ = share; }
  /// Executes a random share of the controllers' requests again, up to 1.5 leases later; 0: none.
  void set_copied_request_share(double share) { copied_request_share_ = share; }
  /// Executes the last commands to agents again, if requests are being copied.
  void repeat_last_commands();
  /// Tasks that begin to run on a random share of the agents from now on fail; 0: none.
  void set_failing_share(double share);
  bool fails_task(const testing::WorkerStandIn& worker, const wire::TaskName& task) const;
  /// Sets what is called after each transaction that has changed the state service.
  void set_write_observer(std::function<void()> observer) { on_write_ = std::move(observer); }
  /// Handles requests to a worker's address other than agent commands.
  using ReplicaHandler =
      std::function<net::Task<net::Response>(const testing::WorkerStandIn&, net::Request)>;
  void set_replica_handler(ReplicaHandler handler) { replica_handler_ = std::move(handler); }
  testing::StateStandIn& state() { return state_; }
  int workers() const;
  /// Latencies of the heartbeats answered with status 200, and the number of all others.
  const std::vector<double>& heartbeat_latencies_s() const { return heartbeat_latencies_s_; }
  int failed_heartbeats() const { return failed_heartbeats_; }
  int expired_leases() const { return expired_leases_; }
  /// Calls `visit` for each worker that has not been deleted.
  template <typename Visitor>
  void for_each_worker(Visitor visit) const {
    for (const auto& [id, worker] : workers_) {
      if (!worker->deleted) visit(worker->stand_in);
    }
  }

 private:
  struct Worker {
    explicit Worker(net::EvReactor& reactor);
    testing::WorkerStandIn stand_in;
    net::HttpClient client;
    std::unique_ptr<net::HttpServer> server;
    double ready_at = 0, next_heartbeat_at = 0, last_sent_at = 0;
    int controller_index = 0;
    bool has_unreported_changes = false, deleted = false, is_mute = false;
    net::Scope scope;
  };
  std::string address(int port) const;
  net::Task<net::Response> serve_state(net::Request request);
  net::Task<net::Response> serve_cloud(net::Request request);
  net::Task<net::Response> serve_worker(Worker& worker, net::Request request);
  net::Response execute_commands(Worker& worker, const net::Request& request);
  /// Decides at random whether a request that was executed is executed again.
  bool is_copied() { return random_fraction() < copied_request_share_; }
  double copy_delay_s() { return 1.5 * plan_.lease_s * random_fraction(); }
  net::Task<void> copy_state_request(net::Request request, double delay_s);
  /// Handles a request to the state service, and observes a change.
  net::Response handle_state_request(const net::Request& request);
  /// Executes a command after a random delay, when its sender has given up.
  net::Task<void> execute_late(Worker& worker, net::Request request, double delay_s);
  net::Response create_rental(const net::Request& request);
  net::Response list_rentals(const net::Request& request) const;
  Worker& add_worker(const std::string& zone, bool spot, double ready_at);
  /// Boots the worker, then serves its address, advances its tasks and sends its heartbeats until
  /// it is deleted.
  net::Task<void> run_agent(Worker& worker);
  net::Task<void> send_heartbeat(Worker& worker);
  void process_heartbeat_response(Worker& worker, const net::Response& response, double sent_at);
  double random_fraction() { return std::uniform_real_distribution<>(0, 1)(random_); }

  net::EvReactor& reactor_;
  const LabPlan& plan_;
  const RegionPlan& region_;
  int index_;
  testing::WorkerStandIn::TaskEnvironment& environment_;
  std::mt19937 random_;
  testing::StateStandIn state_;
  bool state_down_ = false;
  double late_command_share_ = 0;
  double copied_request_share_ = 0;
  struct ExecutedCommands {
    Worker* worker;
    net::Request request;
  };
  std::deque<ExecutedCommands> last_commands_;
  std::map<std::string, double> failing_since_;  ///< by the agent's address
  std::function<void()> on_write_ = [] {};
  ReplicaHandler replica_handler_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, std::string> rentals_by_id_;
  int workers_created_ = 0;
  std::vector<double> heartbeat_latencies_s_;
  int failed_heartbeats_ = 0, expired_leases_ = 0;
  std::unique_ptr<net::HttpServer> state_server_, cloud_server_;
  net::Scope copies_;  ///< last member: its coroutines end before the members they use
};

}  // namespace cranklock::lab
