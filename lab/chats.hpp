// Chats with replicas behind a router: users, the router with its drain interface, and the chat
// servers of replicas on their workers' addresses. All is spoken over loopback.
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
  Chats(net::EvReactor& reactor, const FragmentsPlan& plan, Region& region, unsigned seed);

  /// Opens the router's address; false when it can't be listened on.
  bool start(net::Scope& scope);
  /// Begins chats with replicas of these jobs, at the plan's rate, until the scope ends.
  void begin(std::vector<std::string> jobs, net::Scope& scope);
  void stop() { scope_.clear(); }
  static std::string router_address() { return "127.0.0.1:20900"; }

  int requests() const { return requests_; }
  int dropped() const { return dropped_; }
  double slowest_s() const { return slowest_s_; }
  int in_progress() const { return in_progress_; }
  int carried_over() const { return router_.reassigned_chats(); }
  int drains_asked() const { return router_.drain_requests(); }
  const std::string& first_drop() const { return first_drop_; }

 private:
  net::Task<net::Response> serve_router(net::Request request);
  net::Task<net::Response> forward(net::Request request);
  net::Task<net::Response> serve_replica(const testing::WorkerStandIn& worker,
                                         net::Request request);
  net::Task<void> open_chats();
  net::Task<void> chat(int number, std::string job, bool endless);
  void look_at_replicas();
  bool runs(const testing::WorkerStandIn& worker, const std::string& task,
            std::uint64_t attempt) const;
  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }

  net::EvReactor& reactor_;
  const FragmentsPlan& plan_;
  Region& region_;
  std::mt19937 random_;
  net::HttpClient client_;
  testing::RouterStandIn router_;
  std::unique_ptr<net::HttpServer> server_;
  std::vector<std::string> jobs_;
  double began_ = 0, looked_at_ = 0;
  int chats_ = 0, in_progress_ = 0, requests_ = 0, dropped_ = 0;
  double slowest_s_ = 0;
  std::string first_drop_;
  net::Scope scope_;  ///< last, so that its routines end before what they use
};

}  // namespace cranklock::lab
