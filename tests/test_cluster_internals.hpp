// What the files of the test cluster share and tests do not need: the node with all that belongs to
// it, calls that outlive their callers, and the agents' view of the cluster.
#pragma once

#include <list>
#include <optional>
#include <string>

#include "net/connection_budget.hpp"
#include "test_cluster.hpp"

namespace cranklock::testing {

inline constexpr double kMessageDelay = 0.003;  ///< seconds that a message takes one way
inline constexpr double kPausePollDelay =
    0.02;  ///< seconds between checks whether a node is paused

/// A node's transport: passes calls to the cluster and reports them as traffic.
struct NodeTransport : net::Transport {
  TestCluster& cluster;
  int node;
  NodeTransport(TestCluster& owner, int index) : cluster(owner), node(index) {}
  net::Task<net::Reply> call(std::string address, net::Request request, double timeout_s) override;
};

/// One run of a node with its clients, from its start until it crashes.
struct TestCluster::Host {
  base::Settings settings;
  FakeReactor::Loop reactor;
  NodeTransport transport;
  store::Client store;
  cloud::Client cloud;
  control::Node node;
  int run;  ///< a new number each time a node starts
  net::ConnectionBudget connections;
  std::list<Worker*> idle;  ///< connected agents, the longest idle first
  net::Scope scope;         ///< last, so that its routines end before what they use

  Host(TestCluster& cluster, int index, base::Settings node_settings, int run_number);
};

/// A request to a node's public address; the caller may stop waiting before it is answered.
struct TestCluster::Exchange {
  explicit Exchange(net::Reactor& reactor) : answered(reactor) {}
  net::Signal answered;
  std::optional<net::Response> response;
};

/// A node's call to the cloud; it is executed though the node has given up waiting.
struct TestCluster::CloudCall {
  explicit CloudCall(net::Reactor& reactor) : answered(reactor) {}
  net::Signal answered;
  net::Reply reply;
};

/// What the agents' tasks are part of: run times, faults and the rule checker of the cluster.
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
  bool starts(const WorkerStandIn& worker, const wire::TaskName& task) override;
  bool gang_complete(const wire::TaskName&, std::uint64_t) const override { return true; }
  bool fails(const WorkerStandIn& worker, const wire::TaskName& task) const override {
    return cluster_.broken_jobs.contains(task.job) || cluster_.faulty_machines.contains(worker.id);
  }
  void completed(const wire::TaskName& task) override {
    cluster_.rules.completed(task.job, task.index);
  }

 private:
  TestCluster& cluster_;
};

/// A stand-in's response.
inline net::Response response_of(int status, std::string body = "{}") {
  return control::make_response(status, std::move(body));
}

/// The body of a submission.
inline std::string to_json(const wire::JobSpec& spec) {
  wire::JsonWriter writer;
  wire::write_job(writer, spec);
  return writer.take();
}

}  // namespace cranklock::testing
