// Chat traffic to replicas behind a router: users, the router with its drain interface, and the
// replicas' chat servers on their workers' addresses, all over HTTP on loopback.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/region.hpp"
#include "lab/settings.hpp"
#include "net/client.hpp"
#include "net/server.hpp"
#include "router_stand_in.hpp"

namespace cranklock::lab {

class Chats {
 public:
  Chats(net::EvReactor& reactor, const FragmentationPlan& plan, Region& region, unsigned seed);

  /// Starts the router; false if its address cannot be listened on.
  bool start(net::Scope& scope);
  /// Starts new chats with replicas of these jobs at the plan's rate until the scope ends.
  void start_traffic(std::vector<std::string> jobs, net::Scope& scope);
  /// Ends all chats in progress.
  void stop() { scope_.clear(); }
  static std::string router_address() { return "127.0.0.1:20900"; }

  /// Users' requests that have ended, and those of them without a response of status 200.
  int requests() const { return requests_; }
  int dropped() const { return dropped_; }
  double slowest_s() const { return slowest_s_; }
  int in_progress() const { return in_progress_; }
  /// Chats that the router has reassigned to another replica, and requests to its drain endpoint.
  int carried_over() const { return router_.reassigned_chats(); }
  int drains_asked() const { return router_.drain_requests(); }
  const std::string& first_drop_reason() const { return first_drop_reason_; }

 private:
  net::Task<net::Response> serve_router(net::Request request);
  net::Task<net::Response> forward(net::Request request);
  net::Task<net::Response> serve_replica(const testing::WorkerStandIn& worker,
                                         net::Request request);
  net::Task<void> start_chats();
  net::Task<void> run_chat(int number, std::string job, bool endless);
  void refresh_replicas();
  bool is_running(const testing::WorkerStandIn& worker, const std::string& task,
                  std::uint64_t attempt) const;
  double random_fraction() { return std::uniform_real_distribution<>(0, 1)(random_); }

  net::EvReactor& reactor_;
  const FragmentationPlan& plan_;
  Region& region_;
  std::mt19937 random_;
  net::HttpClient client_;
  testing::RouterStandIn router_;
  std::unique_ptr<net::HttpServer> server_;
  std::vector<std::string> service_jobs_;
  double started_at_ = 0, replicas_refreshed_at_ = 0;
  int chats_started_ = 0, in_progress_ = 0, requests_ = 0, dropped_ = 0;
  double slowest_s_ = 0;
  std::string first_drop_reason_;
  net::Scope scope_;  ///< last member: coroutines are destroyed before the objects they use
};

}  // namespace cranklock::lab
