// Internals shared by the test_cluster_*.cpp files: a running node with its clients, calls that
// outlive their callers, and the agents' task environment.
#pragma once

#include <list>
#include <optional>
#include <string>

#include "net/connection_budget.hpp"
#include "test_cluster.hpp"

namespace cranklock::testing {

inline constexpr double kMessageDelay = 0.003;  ///< seconds, one way
inline constexpr double kPausePollDelay =
    0.02;  ///< seconds between checks whether a node is paused

/// A node's transport: forwards calls to the cluster and reports them as traffic.
struct NodeTransport : net::Transport {
  TestCluster& cluster;
  int node;
  NodeTransport(TestCluster& owner, int index) : cluster(owner), node(index) {}
  net::Task<net::Reply> call(std::string address, net::Request request, double timeout_s) override;
};

/// A running node with its clients, from start to crash.
struct TestCluster::Host {
  base::Settings settings;
  FakeReactor::Loop reactor;
  NodeTransport transport;
  store::Client store;
  cloud::Client cloud;
  control::Node node;
  int run;  ///< unique number of this run, over all nodes
  net::ConnectionBudget connections;
  std::list<Worker*> idle;  ///< agents with an idle connection, longest idle first
  net::Scope scope;         ///< last member: its coroutines are destroyed before what they use

  Host(TestCluster& cluster, int index, base::Settings node_settings, int run_number);
};

/// A request to a node's public address; the caller may time out before the response.
struct TestCluster::Exchange {
  explicit Exchange(net::Reactor& reactor) : answered(reactor) {}
  net::Signal answered;
  std::optional<net::Response> response;
};

/// A node's call to the cloud; it is executed even if the node has timed out.
struct TestCluster::CloudCall {
  explicit CloudCall(net::Reactor& reactor) : answered(reactor) {}
  net::Signal answered;
  net::Reply reply;
};

/// Connects the agents' tasks to the cluster: run times, faults and the rule checker.
class TestCluster::AgentEnvironment : public WorkerStandIn::TaskEnvironment {
 public:
  explicit AgentEnvironment(TestCluster& cluster) : cluster_(cluster) {}

  double fetch_s(const wire::TaskName&) const override { return 0.5; }
  double run_s(const wire::TaskName& task) const override {
    return cluster_.run_time(wire::to_string(task));
  }
  bool is_completed(const wire::TaskName& task) const override {
    return cluster_.rules.is_completed(task.job, task.index);
  }
  void on_start_command(const wire::TaskName& task) override {
    cluster_.rules.on_start_command(task.job, cluster_.reactor.now());
  }
  bool on_image_fetched(const WorkerStandIn& worker, const wire::TaskName& task) override;
  std::optional<GangState> gang_state(const wire::TaskName& task, std::uint64_t attempt) override;
  double gang_wait_s() const override { return cluster_.base_settings.gang_wait_s; }
  bool must_fail(const WorkerStandIn& worker, const wire::TaskName& task) const override {
    return cluster_.broken_jobs.contains(task.job) ||
           cluster_.faulty_machines.contains(worker.id) || fails_new_task(worker, task);
  }
  void on_task_completed(const wire::TaskName& task) override {
    cluster_.rules.on_task_completed(task.job, task.index);
  }

 private:
  /// The number of the gang's tasks that have their image and have not exited, on machines that are
  /// not hung.
  std::size_t present_tasks(const GangAttempt& gang) const;
  bool fails_new_task(const WorkerStandIn& worker, const wire::TaskName& task) const;
  /// The run time of the slowest task, which is that of the gang.
  double gang_run_s(const wire::JobSpec& spec) const;

  TestCluster& cluster_;
  GangStandIn gangs_;
};

/// A response of one of the cluster's stand-ins.
inline net::Response make_stand_in_response(int status, std::string body = "{}") {
  return control::make_response(status, std::move(body));
}

/// The request body of a job submission.
inline std::string to_json(const wire::JobSpec& spec) {
  wire::JsonWriter writer;
  wire::write_job(writer, spec);
  return writer.take();
}

}  // namespace cranklock::testing
