// A small world in simulated time: state service, cloud, workers and controllers in one process,
// with no sockets. It counts what breaks the rules on running.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/node.hpp"
#include "fixtures.hpp"

namespace cranklock::testing {

class FakeReactor : public net::Reactor {
 public:
  double now() const override { return now_; }
  std::int64_t wall_ms() const override {
    return 1'000'000 + static_cast<std::int64_t>(now_ * 1000);
  }
  void run_until(double t) {
    while (!timers().empty() && timers().begin()->first.first <= t) {
      now_ = std::max(now_, timers().begin()->first.first);
      run_due();
    }
    now_ = t;
  }

 private:
  void rearm() override {}
  double now_ = 0;
};

class World {
 public:
  /// Nodes are told apart by zones only when these are given, one each; then they are linked too.
  explicit World(int nodes = 3, std::vector<std::string> zones = {},
                 base::Settings settings = small_settings());
  ~World();

  void run(double seconds) { reactor.run_until(reactor.now() + seconds); }
  void start_node(int i);
  void crash_node(int i);
  /// The index of the node that serves as leader, or -1.
  int leader() const;
  /// A user's request to one node; runs the world until it is answered.
  net::Response ask(int node, const std::string& method, const std::string& path,
                    const std::string& body = "");
  /// Submits to a node and expects to be accepted.
  void submit(int node, const wire::JobSpec& spec);
  std::string state_of(int node, const std::string& id);
  void add_worker(const std::string& zone = "a");
  int running(const std::string& job) const;

  FakeReactor reactor;
  base::Settings base_settings;

  // The state service.
  struct Stored {
    std::string data;
    std::uint64_t revision, lease;
  };
  std::map<std::string, Stored> store;
  std::uint64_t revision = 0;
  bool state_down = false;
  std::set<int> cut_from_state;  ///< nodes whose requests get no answer and are not executed
  std::set<int> cut_from_workers;
  std::set<std::string> cut_zones;  ///< cut off from everything outside, and working inside
  int swallow_txn_answers = 0;      ///< so many transactions are executed, and not answered

  // The cloud.
  int rented = 0;
  int swallow_rental_answers = 0;
  std::vector<double> deletions;               ///< when requests of it came
  std::map<std::string, std::string> rentals;  ///< by request name
  std::vector<std::string> deleted;

  // Workers.
  struct Task {
    std::uint64_t attempt;
    wire::TaskState state;
    wire::Cause cause;
    double since;
  };
  struct Worker {
    std::string id, address, zone;
    std::uint64_t session = 1, tick = 0, token = 0;
    double answered_sent = 0;
    int target = 0;
    bool hangs = false;        ///< neither reports nor executes
    int swallow_commands = 0;  ///< so many are executed, and not answered
    std::map<std::string, Task> tasks;
  };
  std::map<std::string, std::unique_ptr<Worker>> workers;
  double run_s = 5;  ///< of array tasks
  int ran_twice = 0;
  int calls_under_way = 0, most_calls_under_way = 0;  ///< to workers, from all nodes
  std::map<std::string, int> starts;                  ///< by task
  std::set<std::string> known_jobs;

  net::Task<net::Reply> call(int node, std::string address, net::Request request, double timeout_s);

 private:
  struct Host;
  net::Response state(const net::Request& r);
  net::Response cloud(const net::Request& r);
  net::Response commands(Worker& w, const net::Request& r);
  net::Task<void> work(Worker& w);
  void execute(Worker& w, const wire::Json& orders);
  void progress(Worker& w);
  std::string report_of(Worker& w);
  void put(const std::string& key, const std::string& data, std::uint64_t lease);
  void erase(const std::string& key);
  void expire();
  std::string zone_of(int node) const;
  bool apart(const std::string& zone, const std::string& other) const;
  net::Task<void> link(int node);
  net::Task<void> deliver(int from, int to, peer::Frame frame);

  struct Event {
    std::string key, data;
    std::uint64_t revision;
  };
  std::vector<Event> events_;
  std::map<std::uint64_t, std::pair<double, double>> leases_;  ///< life and end
  std::uint64_t next_lease_ = 0;
  std::vector<std::string> zones_;
  std::vector<std::unique_ptr<Host>> hosts_;
  net::Scope scope_;
};

}  // namespace cranklock::testing
