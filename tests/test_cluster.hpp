// A small cluster in simulated time: state service, cloud, agents, users and controllers in one
// process, without sockets. Tests set the faults of each outside system; a rule checker counts what
// breaks the rules of PROTOCOL.
//
// One file per outside system: test_cluster_state_service.cpp, _cloud.cpp, _agents.cpp, _users.cpp,
// _peers.cpp; _network.cpp passes the calls; test_cluster.cpp starts and stops the nodes.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/node.hpp"
#include "fake_reactor.hpp"
#include "fixtures.hpp"
#include "rule_checker.hpp"
#include "state_stand_in.hpp"
#include "traffic_event.hpp"
#include "worker_stand_in.hpp"

namespace cranklock::testing {

/// How a user deals with a job: submits it until it is accepted, then asks about it at random nodes
/// about twice a second until it has ended.
struct UserBehavior {
  /// Seconds after which the user cancels the job; below 0: never.
  double cancel_after_s = -1;
  /// Cancels the job at the moment when one of its tasks ends.
  bool cancel_at_end = false;
  /// Within milliseconds after each change of state, asks all nodes and submits the job again.
  bool queries_all_nodes = false;
};

/// Nodes, and the outside systems around them, in one process.
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
  TestCluster(const TestCluster&) = delete;
  TestCluster& operator=(const TestCluster&) = delete;

  void run(double seconds) { reactor.run_until(reactor.now() + seconds); }

  // ---- nodes ----
  void start_node(int node);
  void crash_node(int node);
  /// None of the node's timers, answers or requests comes through, as when its machine is
  /// suspended. It resumes with all that it believed, and receives then what waits for it.
  void pause_node(int node);
  void resume_node(int node);
  bool is_paused(int node) const;
  /// The index of the node that serves as leader, or -1. A paused node does not.
  int leader() const;
  /// The node's leader term; nullptr while it does not lead.
  control::LeaderTerm* term(int node);
  int nodes() const { return static_cast<int>(hosts_.size()); }
  bool is_up(int node) const { return hosts_[static_cast<std::size_t>(node)] != nullptr; }

  // ---- users ----
  /// A user's request to one node; runs the cluster until it is answered.
  net::Response ask(int node, const std::string& method, const std::string& path,
                    const std::string& body = "");
  /// Submits to a node and expects that the job is accepted.
  void submit(int node, const wire::JobSpec& spec);
  /// The state of a job as the node tells it; the HTTP status where that is not 200.
  std::string state_of(int node, const std::string& id);
  /// Cancels at a node and expects that this is confirmed.
  void cancel(int node, const std::string& id);
  /// Adds a user who goes on by itself while the cluster runs.
  void add_user(const wire::JobSpec& spec, UserBehavior behavior = {});

  // ---- agents ----
  /// Adds a machine that sends heartbeats, after it has booted.
  void add_worker(const std::string& zone = "a", double boots_for = 0);
  /// Tasks of the job that run.
  int running(const std::string& job) const;
  /// Tasks of the job on machines that may still go on: in any state but exited.
  int live_tasks(const std::string& job) const;

  /// Delivers to all nodes what the leader of another region sends.
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

  // ---- the state service and its faults ----
  StateStandIn state_service{reactor};
  bool state_down = false;
  double state_slow_s = 0;         ///< requests take up to so long
  int state_requests = 0;          ///< by nodes, a watch counted once
  std::set<int> refused_by_state;  ///< nodes that get 503; their watches hang
  std::set<int> hanging_watches;   ///< nodes whose watches hang while all else is served
  std::set<int> cut_from_state;    ///< nodes whose requests get no answer and are not executed
  int lost_write_responses = 0;    ///< the next transactions that are executed and not answered
  double lost_write_response_share = 0;  ///< of transactions: executed at once and not answered
  double late_write_share = 0;     ///< of transactions: executed 2 to 12 s later and not answered
  std::set<int> late_write_nodes;  ///< whose writes may be late; empty: those of all

  // ---- the network ----
  std::set<int> cut_from_peers;
  std::set<int> cut_from_workers;         ///< agents are refused at once
  std::set<int> unresponsive_to_workers;  ///< agents wait for these nodes until their timeout
  std::set<std::string> cut_zones;        ///< cut off from everything outside, and working inside

  /// Answers what is sent to the address "router"; nothing: no answer.
  std::function<std::optional<net::Response>(const net::Request&)> router;

  // ---- the cloud and its faults ----
  int machines_created = 0;
  bool cloud_down = false;
  bool cloud_without_capacity = false;  ///< it refuses every scale-out request
  int lost_scale_out_responses = 0;     ///< the next requests that are executed and not answered
  double list_delay_s = 0;              ///< new machines are missing in the list for so long
  std::vector<double> deletion_requests_at;                ///< when they came
  std::map<std::string, std::string> scale_out_responses;  ///< by request name
  double boot_s = 0;                            ///< of machines that are requested from now on
  std::set<std::string> zones_that_never_boot;  ///< machines requested there never come up
  std::vector<std::string> deleted;             ///< machines, in the order of their deletion
  std::set<std::string> undeletable;            ///< a deletion that names one of them is malformed
  int list_requests = 0;

  // ---- agents and their faults ----
  /// A machine with its agent.
  struct Worker : WorkerStandIn {
    int target = 0;        ///< node that gets its next heartbeat
    int connected_to = 0;  ///< run of the node that holds its connection; 0: none does
    /// The last heartbeat was not answered with 200; the next one follows within a second.
    bool last_heartbeat_failed = false;
    bool gone = false;               ///< deleted
    double up_at = 0;                ///< until then it boots
    bool is_hung = false;            ///< neither sends heartbeats nor executes commands
    bool cannot_receive = false;     ///< heartbeats arrive; responses and commands do not
    bool cannot_send = false;        ///< reaches no node, and executes commands
    int lost_command_responses = 0;  ///< the next commands that are executed and not answered
    /// Commands arrive so much later and are answered to nobody.
    double commands_late_s = 0;
    /// Arrived while it was hung; executed when it resumes.
    std::vector<net::Request> queued_commands;
  };
  std::map<std::string, std::unique_ptr<Worker>> workers;
  /// Ends a hang: the lease may end first, then the queued commands are executed.
  void resume_worker(Worker& worker);
  /// Share of their interval by which heartbeats come sooner or later; the first one at random.
  double heartbeat_spread = 0;
  /// Connections that agents could not open, or that were closed under them unannounced.
  int refused_connections = 0, broken_connections = 0;
  /// Connections of agents to this node.
  std::size_t connections(int node) const;
  double run_s = 5;                        ///< run time of tasks
  std::map<std::string, double> run_s_of;  ///< of single tasks, where it differs
  std::set<std::string> broken_jobs;       ///< their tasks fail on every machine
  std::set<std::string> faulty_machines;   ///< every task fails there
  /// Share of heartbeats that come once more, from 2 s to one and a half leases later.
  double late_heartbeat_share = 0;
  /// When a new leader begins, all nodes get a copy of each machine's first heartbeat since the
  /// last change of leader, `replay_delay_s` later.
  bool replays_heartbeats = false;
  double replay_delay_s = 0;
  int ran_twice = 0;                                 ///< starts of a task that runs elsewhere
  int calls_in_flight = 0, max_calls_in_flight = 0;  ///< to agents, from all nodes
  std::map<std::string, int> starts;                 ///< by task

  // ---- for the nodes' transports and for routines of tests ----
  /// Passes an event of one of its nodes to `on_traffic`, with its time and region filled in.
  void observe(TrafficEvent event) const;
  /// A node's call to one of the outside systems.
  net::Task<net::Reply> call(int node, std::string address, net::Request request, double timeout_s);
  /// A request to a node's public address that outlives the node; nothing if it is not answered.
  net::Task<std::optional<net::Response>> exchange(int node, net::Request request,
                                                   double timeout_s);
  /// The same for a user, with the rule checker listening.
  net::Task<std::optional<net::Response>> user_asks(int node, std::string method, std::string path,
                                                    std::string body);
  /// A random number from 0 to 1.
  double random_fraction() { return std::uniform_real_distribution<>(0, 1)(random); }
  int random_node() { return static_cast<int>(random_fraction() * nodes()) % nodes(); }

 private:
  struct Host;
  struct Exchange;
  struct CloudCall;
  class AgentEnvironment;

  // test_cluster.cpp
  std::string zone_of(int node) const;
  bool apart(const std::string& zone, const std::string& other) const;

  // test_cluster_network.cpp
  /// Waits, and answers as if the response were lost.
  net::Task<net::Reply> lose(double timeout_s);
  net::Task<net::Reply> call_router(net::Request request, double timeout_s);
  net::Task<net::Response> handle(int node, net::Request request);
  net::Task<void> serve(int node, net::Request request, std::shared_ptr<Exchange> exchange);
  net::Task<void> serve_when_resumed(int node, net::Request request,
                                     std::shared_ptr<Exchange> exchange);

  // test_cluster_state_service.cpp
  net::Task<net::Reply> call_state_service(int node, net::Request request, double timeout_s);
  bool state_refuses(int node) const { return state_down || refused_by_state.contains(node); }
  bool write_comes_late(int node);
  bool write_response_is_lost();
  net::Task<void> apply_late(net::Request request, double delay_s);

  // test_cluster_cloud.cpp
  net::Task<void> serve_cloud(net::Request request, double timeout_s,
                              std::shared_ptr<CloudCall> call);
  net::Task<net::Reply> call_cloud(net::Request request, double timeout_s);
  net::Response handle_cloud_request(const net::Request& request);
  net::Response delete_machines(const wire::Json& request);
  net::Response create_machines(const wire::Json& request);
  net::Response list_machines(const net::Request& request);

  // test_cluster_agents.cpp
  bool lease_over(const Worker& worker) const;
  double run_time(const std::string& task) const;
  std::vector<HeldTask> tasks_on_machines() const;
  void progress(Worker& worker);
  net::Task<net::Reply> call_agent(int node, std::string address, net::Request request,
                                   double timeout_s);
  bool commands_arrive(int node, const Worker& worker) const;
  net::Task<void> execute_late(Worker& worker, net::Request request, double delay_s);
  /// Opens a connection to the node, or takes the one that is open; false when it has no room.
  bool connect(Worker& worker, int node);
  /// What the node does with the connection after an answer.
  void keep_or_close(Worker& worker, int node, bool answered);
  net::Task<void> boot_and_send_heartbeats(Worker& worker);
  net::Task<void> send_heartbeats(Worker& worker);
  net::Task<void> send_heartbeat(Worker& worker);
  /// Draws whether the heartbeat comes once more later, and records it for replay.
  void copy_heartbeat(const Worker& worker, const std::string& body);
  void on_heartbeat_response(Worker& worker, const net::Response& response, double sent);
  net::Task<void> deliver_late_heartbeat(int node, std::string body, double delay_s);
  /// Ends leases, lets tasks go on, and has the rules checked.
  net::Task<void> watch_over();
  void on_leader_change();

  // test_cluster_users.cpp
  net::Task<void> follow_job(wire::JobSpec spec, UserBehavior behavior);
  void query_all_nodes(const wire::JobSpec& spec);
  net::Task<void> query_once(int node, wire::JobSpec spec, bool submits);
  bool has_ending_task(const std::string& job) const;

  // test_cluster_peers.cpp
  net::Task<void> send_peer_heartbeats(int node);
  net::Task<void> deliver(int from, int to, peer::Frame frame);

  std::unique_ptr<AgentEnvironment> environment_;
  std::vector<std::string> zones_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::map<std::string, std::string> recorded_heartbeats_;  ///< by machine
  int last_leader_ = -1;
  int last_run_ = 0;  ///< of any node
  net::Scope scope_;
};

/// Runs until the condition holds; false when that takes too long.
template <typename Condition>
bool wait_for(TestCluster& cluster, double timeout_s, Condition condition) {
  constexpr double kStep = 0.25;
  for (double waited = 0; waited < timeout_s && !condition(); waited += kStep) cluster.run(kStep);
  return condition();
}

/// Whether every accepted job has ended, as users were told.
inline bool all_jobs_ended(const TestCluster& cluster) {
  const auto accepted = cluster.rules.accepted();
  return std::all_of(accepted.begin(), accepted.end(),
                     [&](const std::string& id) { return !cluster.rules.outcome(id).empty(); });
}

/// Ids of jobs by number.
inline std::string name(int i) {
  return "j-" + std::to_string(100'000 + i);
}

}  // namespace cranklock::testing
