// The stand-ins of one region: state service, cloud, workers, and the relays by which other regions
// reach its controllers. All are served over loopback by this process.
#pragma once

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

/// Passes bytes between one region and one controller of another, until it is cut.
class Relay {
 public:
  Relay(net::EvReactor& reactor, std::string listen, std::string to)
      : reactor_(reactor), listen_(std::move(listen)), to_(std::move(to)) {}
  bool start(net::Scope& scope);
  /// Ends all connections, and refuses new ones while it lasts.
  void cut(bool apart);
  std::uint64_t bytes() const { return bytes_; }  ///< passed in both directions

 private:
  using SharedFd = std::shared_ptr<net::Fd>;
  net::Task<void> accept();
  net::Task<void> connect(net::Fd from);
  net::Task<void> pump(SharedFd from, SharedFd to);

  net::EvReactor& reactor_;
  std::string listen_, to_;
  net::Fd listener_;
  bool apart_ = false;
  std::uint64_t bytes_ = 0;
  net::Scope pumps_;
};

/// Of a stand-in's server, to which a whole fleet may keep its connections.
net::ServerLimits many_connections();

class Region {
 public:
  /// `index` decides on addresses: workers have 127.<10 + index>.x.y each.
  Region(net::EvReactor& reactor, const LabPlan& plan, const RegionPlan& region, int index,
         testing::WorkerStandIn::TaskEnvironment& environment, unsigned seed);

  bool start(net::Scope& scope);
  const RegionPlan& plan() const { return region_; }
  std::string state_address() const { return address(1); }
  std::string cloud_address() const { return address(2); }
  /// Of the public, the peers' and the regions' listener of a controller.
  std::string controller_address(int controller, int listener) const {
    return address(10 + 3 * controller + listener);
  }
  void set_state_down(bool down);
  /// Answers what comes to a worker's address beside commands.
  using ReplicaServer =
      std::function<net::Task<net::Response>(const testing::WorkerStandIn&, net::Request)>;
  void set_replica_server(ReplicaServer server) { replica_server_ = std::move(server); }
  testing::StateStandIn& state() { return state_; }
  int workers() const;
  /// How long workers' reports took to be answered 200, in seconds, and how many were not.
  const std::vector<double>& heartbeat_seconds() const { return heartbeat_s_; }
  int failed_heartbeats() const { return failed_heartbeats_; }
  int ended_leases() const { return ended_leases_; }
  /// What it holds, for the rule checker.
  template <typename Use>
  void each_worker(Use use) const {
    for (const auto& [id, worker] : workers_) {
      if (!worker->gone) use(worker->stand_in);
    }
  }

 private:
  struct Worker {
    explicit Worker(net::EvReactor& reactor);
    testing::WorkerStandIn stand_in;
    net::HttpClient client;
    std::unique_ptr<net::HttpServer> server;
    double ready_at = 0, next_heartbeat = 0, last_sent = 0;
    int target = 0;
    bool changed = false, gone = false;
    net::Scope scope;
  };
  std::string address(int port) const;
  net::Task<net::Response> serve_state(net::Request request);
  net::Task<net::Response> serve_cloud(net::Request request);
  net::Task<net::Response> serve_worker(Worker& worker, net::Request request);
  net::Response rent(const net::Request& request);
  net::Response list(const net::Request& request) const;
  Worker& add_worker(const std::string& zone, bool spot, double ready_at);
  net::Task<void> work(Worker& worker);
  net::Task<void> heartbeat(Worker& worker);
  void take_answer(Worker& worker, const net::Response& response, double sent);
  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }

  net::EvReactor& reactor_;
  const LabPlan& plan_;
  const RegionPlan& region_;
  int index_;
  testing::WorkerStandIn::TaskEnvironment& environment_;
  std::mt19937 random_;
  testing::StateStandIn state_;
  bool state_down_ = false;
  ReplicaServer replica_server_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, std::string> rentals_;
  int rented_ = 0;
  std::vector<double> heartbeat_s_;
  int failed_heartbeats_ = 0, ended_leases_ = 0;
  std::unique_ptr<net::HttpServer> state_server_, cloud_server_;
};

}  // namespace cranklock::lab
