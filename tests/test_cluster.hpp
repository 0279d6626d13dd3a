// A small cluster in simulated time: state service, cloud, workers and controllers in one process,
// with no sockets. It plays PROTOCOL's troubles, and its rule checker counts what breaks the rules.
#pragma once

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "control/node.hpp"
#include "fixtures.hpp"
#include "rule_checker.hpp"
#include "state_stand_in.hpp"
#include "worker_stand_in.hpp"

namespace cranklock::testing {

class FakeReactor : public net::Reactor {
 public:
  /// A loop that runs on this one's clock.
  class Loop : public net::Reactor {
   public:
    explicit Loop(FakeReactor& clock) : clock_(clock) { clock_.loops_.push_back(this); }
    ~Loop() override { std::erase(clock_.loops_, this); }
    double now() const override { return clock_.now(); }
    std::int64_t wall_ms() const override { return clock_.wall_ms(); }
    bool stands_still = false;  ///< nothing of it runs meanwhile

   private:
    friend class FakeReactor;
    double due() const {
      return stands_still || timers().empty() ? kNever : timers().begin()->first.first;
    }
    void rearm() override {}
    FakeReactor& clock_;
  };

  double now() const override { return now_; }
  std::int64_t wall_ms() const override {
    return 1'000'000 + static_cast<std::int64_t>(now_ * 1000);
  }
  void run_until(double t) {
    for (;;) {
      Loop* next = nullptr;
      double due = timers().empty() ? kNever : timers().begin()->first.first;
      for (Loop* loop : loops_) {
        if (loop->due() < due) next = loop, due = loop->due();
      }
      if (due > t) break;
      now_ = std::max(now_, due);
      next != nullptr ? next->run_due() : run_due();
    }
    now_ = t;
  }

 private:
  static constexpr double kNever = std::numeric_limits<double>::infinity();
  void rearm() override {}
  double now_ = 0;
  std::vector<Loop*> loops_;
};

/// A user submits, asks about twice a second at any node, and may cancel after a while or at the
/// moment of the end; with `looks`, all nodes are asked, and the job is submitted again, within
/// milliseconds after each change of state.
struct UserHabits {
  double cancels_after = -1;
  bool cancels_at_end = false;
  bool looks = false;
};

/// A message that a node sends or is answered with, as the node sees it. The views hold only during
/// the call that passes the event on.
struct TrafficEvent {
  enum class Kind {
    request,         ///< the node asks the state service, the cloud, a worker or the router
    reply,           ///< what came of that
    public_request,  ///< a user's request or a worker's heartbeat, which the node takes up
    public_answer,   ///< what the node answers to it
    peer_frame,      ///< the node sends to another of its region
    region_frame     ///< the node hears from another region's leader
  };
  Kind kind = Kind::request;
  double at_s = 0;          ///< simulated time
  std::string_view region;  ///< of the node; empty where regions share no limits
  int node = 0;
  std::string_view address;              ///< the other side; empty: a user or a worker that asks
  std::string_view method, path, query;  ///< of what is asked or answered
  /// Of a reply or an answer; nothing for a request, a frame, or a reply that never came.
  const net::Response* response = nullptr;
  std::string_view body;  ///< of a request or an answer; the packed bytes of a frame
};

class TestCluster {
 public:
  /// Called with the traffic of every cluster in the process. Clusters send as soon as they are
  /// made, so it is set before and not for a single one.
  static inline std::function<void(const TrafficEvent&)> on_traffic;

  /// Nodes are told apart by zones only when these are given, one each; then they are linked too.
  explicit TestCluster(int nodes = 3, std::vector<std::string> zones = {},
                       base::Settings settings = small_settings(),
                       regions::RegionNetwork* network = nullptr);
  /// Fails the test if a rule was broken that it did not expect.
  ~TestCluster();

  void run(double seconds) { reactor.run_until(reactor.now() + seconds); }
  void start_node(int i);
  void crash_node(int i);
  /// The node stands still, as when its machine is held up: none of its timers, answers or requests
  /// comes through. It wakes with all that it believed, and what waits for it comes then.
  void stop_node(int i);
  void wake_node(int i);
  bool stands_still(int node) const;
  /// The index of the node that serves as leader, or -1. One that stands still does not.
  int leader() const;
  /// What the node's term knows; nullptr while it leads none.
  control::LeaderTerm* term(int node);
  int nodes() const { return static_cast<int>(hosts_.size()); }
  bool is_up(int node) const { return hosts_[static_cast<std::size_t>(node)] != nullptr; }
  /// A user's request to one node; runs the cluster until it is answered.
  net::Response ask(int node, const std::string& method, const std::string& path,
                    const std::string& body = "");
  /// Submits to a node and expects to be accepted.
  void submit(int node, const wire::JobSpec& spec);
  std::string state_of(int node, const std::string& id);
  /// Cancels at a node and expects to be told so.
  void cancel(int node, const std::string& id);
  void add_worker(const std::string& zone = "a", double boots_for = 0);
  int running(const std::string& job) const;
  /// What tasks of it machines hold that may still go on, in any state but exited.
  int held(const std::string& job) const;

  void add_user(const wire::JobSpec& spec, UserHabits habits = {});
  /// Delivers to all nodes what the leader of another region says.
  void on_region_frame(const std::string& region, const regions::RegionFrame& frame);

  FakeReactor reactor;
  base::Settings base_settings;
  /// Limits of the state service as single nodes know them, where they differ from base_settings.
  struct KnownLimits {
    double write_rps = 0, value_kb = 0;
    int txn_ops = 0;
  };
  std::map<int, KnownLimits> known_limits;
  /// Nodes that carry out no moves, as those of an older version do; set before they start.
  std::set<int> nodes_without_moves;
  /// Of all nodes, where the settings name regions; set before they start.
  regions::RegionNetwork* region_network = nullptr;
  RuleChecker rules;
  std::set<std::string> expected_broken;  ///< rules that this cluster is made to break
  std::mt19937 random{1};

  StateStandIn state_service{reactor};
  bool state_down = false;
  double state_slow_s = 0;
  int state_requests = 0;          ///< that nodes have made, a watch counted once
  std::set<int> refused_by_state;  ///< 503 for these alone; what they watch hangs
  std::set<int> hanging_watches;   ///< nodes whose watches hang while all else is served
  std::set<int> cut_from_state;    ///< nodes whose requests get no answer and are not executed
  std::set<int> cut_from_peers;
  std::set<int> cut_from_workers;
  std::set<int> held_from_workers;  ///< the same, and workers wait in vain for their answers
  std::set<std::string> cut_zones;  ///< cut off from everything outside, and working inside
  int swallow_txn_answers = 0;      ///< so many transactions are executed, and not answered
  double late_txns = 0;             ///< this share is executed 2 to 12 s later, and not answered
  std::set<int> late_nodes;         ///< late_txns is of these alone; empty: of all
  double lost_txns = 0;             ///< this share is executed at once, and not answered

  /// Answers what is sent to the address "router"; nothing: no answer.
  std::function<std::optional<net::Response>(const net::Request&)> router;

  // The cloud.
  int rented = 0;
  bool cloud_down = false;
  bool cloud_full = false;  ///< it has no machine to rent
  int swallow_rental_answers = 0;
  double unlisted_s = 0;                       ///< new machines are missing in the list for so long
  std::vector<double> deletions;               ///< when requests of it came
  std::map<std::string, std::string> rentals;  ///< by request name
  double boot_s = 0;                           ///< of machines rented from now on
  std::set<std::string> barren_zones;          ///< where machines that are rented never come up
  std::vector<std::string> deleted;
  std::set<std::string> undeletable;  ///< a deletion that names one of them is malformed
  int list_requests = 0;

  /// What troubles a worker may have.
  struct Worker : WorkerStandIn {
    int target = 0;
    /// The run of a node that holds this worker's connection; 0: none does.
    int connected_to = 0;
    bool turned_away = false;     ///< last time; it tries the next node a second later
    bool gone = false;            ///< deleted
    double up_at = 0;             ///< until then it boots
    bool hangs = false;           ///< neither reports nor executes
    bool cannot_receive = false;  ///< reports arrive, answers and commands don't
    bool cannot_send = false;     ///< reaches no node, and executes commands
    int swallow_commands = 0;     ///< so many are executed, and not answered
    /// Commands arrive so much later, and are answered to nobody; what comes while it hangs is
    /// executed when it goes on.
    double commands_late_s = 0;
    std::vector<net::Request> held;
  };
  std::map<std::string, std::unique_ptr<Worker>> workers;
  /// A machine that hangs goes on.
  void wake(Worker& w);
  /// Heartbeats come so much of their interval sooner or later, and not all at the same moment.
  double heartbeat_spread = 0;
  /// Connections that workers could not open, or that were closed under them unannounced.
  int refused_connections = 0, broken_connections = 0;
  /// Of workers to this node.
  std::size_t connections(int node) const;
  double run_s = 5;                        ///< of tasks
  std::map<std::string, double> run_s_of;  ///< of single tasks, where it differs
  std::set<std::string> broken_jobs;       ///< their tasks fail on every machine
  std::set<std::string> faulty_machines;   ///< every task fails there
  /// Of reports, this share comes once more from 2 s to one and a half leases later.
  double late_heartbeats = 0;
  bool keeps_heartbeats =
      false;          ///< copies of heartbeats come to all nodes when a new leader begins
  double kept_s = 0;  ///< or so long after
  int ran_twice = 0;
  int calls_under_way = 0, max_calls_in_flight = 0;  ///< to workers, from all nodes
  std::map<std::string, int> starts;                 ///< by task

  /// Passes an event of one of its nodes to `on_traffic`, with its time and region filled in.
  void observe(TrafficEvent event) const;
  net::Task<net::Reply> call(int node, std::string address, net::Request request, double timeout_s);
  /// A request to a node's public address that outlives the node; nothing if it is not answered.
  net::Task<std::optional<net::Response>> exchange(int node, net::Request request,
                                                   double timeout_s);
  /// The same for a user, with the rule checker listening.
  net::Task<std::optional<net::Response>> user_asks(int node, std::string method, std::string path,
                                                    std::string body);
  double chance() { return std::uniform_real_distribution<>(0, 1)(random); }
  int any_node() { return static_cast<int>(chance() * nodes()) % nodes(); }

 private:
  struct Host;
  struct Exchange;
  struct CloudCall;
  class Surroundings;
  net::Task<net::Reply> call_state(int node, net::Request request, double timeout_s);
  net::Task<void> serve_cloud(net::Request request, double timeout_s,
                              std::shared_ptr<CloudCall> call);
  net::Task<net::Reply> call_cloud(net::Request request, double timeout_s);
  net::Task<net::Reply> call_router(net::Request request, double timeout_s);
  net::Task<net::Reply> call_worker(int node, std::string address, net::Request request,
                                    double timeout_s);
  net::Response cloud(const net::Request& r);
  net::Task<void> boot_and_work(Worker& w);
  net::Task<void> work(Worker& w);
  /// Opens a connection to the node, or takes the one that is open; false when it has no room.
  bool connect(Worker& w, int node);
  /// What the node does with the connection after an answer.
  void keep_or_close(Worker& w, int node, bool answered);
  net::Task<net::Response> handle(int node, net::Request request);
  net::Task<void> serve(int node, net::Request request, std::shared_ptr<Exchange> exchange);
  net::Task<void> serve_when_awake(int node, net::Request request,
                                   std::shared_ptr<Exchange> exchange);
  net::Task<void> arrive_late(Worker& w, net::Request request, double after);
  net::Task<void> apply_late(net::Request request, double after);
  net::Task<void> heartbeat_late(int node, std::string body, double after);
  net::Task<void> watch_over();
  net::Task<void> use(wire::JobSpec spec, UserHabits habits);
  net::Task<void> look_closely(wire::JobSpec spec);
  net::Task<void> look_once(int node, wire::JobSpec spec, bool submits);
  void progress(Worker& w);
  bool lease_over(const Worker& w) const;
  double run_time(const std::string& task) const;
  std::vector<Seen> everything() const;
  std::string zone_of(int node) const;
  bool apart(const std::string& zone, const std::string& other) const;
  bool unserved(int node) const { return state_down || refused_by_state.contains(node); }
  net::Task<void> link(int node);
  net::Task<void> deliver(int from, int to, peer::Frame frame);

  std::unique_ptr<Surroundings> surroundings_;
  std::vector<std::string> zones_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::map<std::string, std::string> kept_heartbeats_;  ///< by machine
  int last_leader_ = -1;
  int last_run_ = 0;  ///< of any node
  net::Scope scope_;
};

/// Runs until it holds; false when that takes too long.
template <typename Holds>
bool wait_for(TestCluster& w, double timeout_s, Holds holds) {
  for (double t = 0; t < timeout_s && !holds(); t += 0.25) w.run(0.25);
  return holds();
}

/// Whether every accepted job has ended, as users were told.
inline bool all_over(const TestCluster& w) {
  const auto accepted = w.rules.accepted();
  return std::all_of(accepted.begin(), accepted.end(),
                     [&](const std::string& id) { return !w.rules.outcome(id).empty(); });
}

/// Ids of jobs by number.
inline std::string name(int i) {
  return "j-" + std::to_string(100'000 + i);
}

}  // namespace cranklock::testing
