// The agents of the test cluster: their heartbeats, their connections to nodes, the commands that
// reach them, and their faults.
#include <algorithm>

#include "test_cluster_internals.hpp"

namespace cranklock::testing {

using net::Reply;
using net::Request;
using net::Response;
using net::Sleep;
using wire::JsonDocument;
using wire::TaskState;

namespace {

constexpr double kHeartbeatTimeout = 4;  ///< seconds that an agent waits for a node

}  // namespace

bool TestCluster::AgentEnvironment::starts(const WorkerStandIn& worker,
                                           const wire::TaskName& task) {
  std::vector<HeldTask> others;
  for (auto& held : cluster_.tasks_on_machines()) {
    if (held.job != task.job || !held.has_image) continue;
    cluster_.ran_twice += held.task == task.index && held.machine != worker.id ? 1 : 0;
    others.push_back(std::move(held));
  }
  cluster_.rules.starts({task.job, worker.id, task.index, worker.kind, true}, others,
                        cluster_.reactor.now());
  ++cluster_.starts[wire::to_string(task)];
  return true;
}

void TestCluster::add_worker(const std::string& zone, double boots_for) {
  auto worker = std::make_unique<Worker>();
  worker->up_at = reactor.now() + boots_for;
  worker->id = "n-" + std::to_string(++machines_created);
  worker->address = "worker:" + worker->id;
  worker->kind.zone = zone;
  worker->answered_sent = worker->began = reactor.now();
  Worker& added = *worker;
  workers[worker->id] = std::move(worker);
  scope_.spawn(boots_for > 0 ? boot_and_send_heartbeats(added) : send_heartbeats(added));
}

// ---- what they hold ----

int TestCluster::running(const std::string& job) const {
  int count = 0;
  for (const auto& [id, worker] : workers) {
    for (const auto& [name, task] : worker->tasks) {
      count += name.starts_with(job + "/") && task.state == TaskState::running ? 1 : 0;
    }
  }
  return count;
}

int TestCluster::live_tasks(const std::string& job) const {
  int count = 0;
  for (const auto& [id, worker] : workers) {
    if (worker->gone || lease_over(*worker)) continue;
    for (const auto& [name, task] : worker->tasks) {
      count += name.starts_with(job + "/") && task.state != TaskState::exited ? 1 : 0;
    }
  }
  return count;
}

bool TestCluster::lease_over(const Worker& worker) const {
  return worker.lease_over(base_settings.lease_s, reactor.now());
}

double TestCluster::run_time(const std::string& task) const {
  const auto it = run_s_of.find(task);
  return it == run_s_of.end() ? run_s : it->second;
}

std::vector<HeldTask> TestCluster::tasks_on_machines() const {
  std::vector<HeldTask> held;
  for (const auto& [id, worker] : workers) {
    // An agent that is hung beyond its lease kills its tasks before it does anything else.
    if (worker->gone || lease_over(*worker)) continue;
    for (const auto& [name, task] : worker->tasks) {
      const auto parsed = wire::parse_task(name);
      if (task.state == TaskState::exited || !parsed) continue;
      held.push_back(
          {parsed->job, id, parsed->index, worker->kind, task.state != TaskState::fetching});
    }
  }
  return held;
}

void TestCluster::progress(Worker& worker) {
  worker.progress(*environment_, reactor.now());
}

// ---- commands ----

net::Task<Reply> TestCluster::call_agent(int node, std::string address, Request request,
                                         double timeout_s) {
  struct CallInFlight {
    int& count;
    ~CallInFlight() { --count; }
  };
  const CallInFlight in_flight{++calls_in_flight};
  max_calls_in_flight = std::max(max_calls_in_flight, calls_in_flight);
  constexpr std::size_t kPrefix = std::string_view("worker:").size();
  const auto it = workers.find(address.substr(kPrefix));
  if (it != workers.end() && commands_arrive(node, *it->second)) {
    Worker& worker = *it->second;
    if (worker.commands_late_s > 0) {
      scope_.spawn(execute_late(worker, request, worker.commands_late_s));
    } else if (worker.is_hung) {
      worker.queued_commands.push_back(request);
    } else {
      Response response = worker.commands(request, *environment_, reactor.now());
      const bool lost = worker.lost_command_responses > 0;
      if (!lost) co_return Reply{Reply::Kind::answered, response};
      --worker.lost_command_responses;
    }
  }
  auto losing = lose(timeout_s);
  co_return co_await losing;
}

bool TestCluster::commands_arrive(int node, const Worker& worker) const {
  if (worker.gone || reactor.now() < worker.up_at || worker.cannot_receive) return false;
  if (cut_from_workers.contains(node) || unresponsive_to_workers.contains(node)) return false;
  return !apart(zone_of(node), worker.kind.zone);
}

void TestCluster::resume_worker(Worker& worker) {
  if (worker.gone) return;
  worker.is_hung = false;
  worker.end_lease(base_settings.lease_s, reactor.now());
  const auto queued = std::move(worker.queued_commands);
  worker.queued_commands.clear();
  for (const auto& request : queued) worker.commands(request, *environment_, reactor.now());
}

net::Task<void> TestCluster::execute_late(Worker& worker, Request request, double delay_s) {
  Sleep delay(reactor, delay_s);
  co_await delay;
  if (worker.is_hung) {
    worker.queued_commands.push_back(std::move(request));
  } else if (!worker.gone) {
    worker.commands(request, *environment_, reactor.now());
  }
}

// ---- connections ----

std::size_t TestCluster::connections(int node) const {
  const auto& host = hosts_[static_cast<std::size_t>(node)];
  return host ? host->connections.open() : 0;
}

bool TestCluster::connect(Worker& worker, int node) {
  Host& host = *hosts_[static_cast<std::size_t>(node)];
  if (worker.connected_to == host.run) {
    host.idle.remove(&worker);
    return true;
  }
  for (const auto& other : hosts_) {
    if (!other || other->run != worker.connected_to) continue;
    other->idle.remove(&worker);
    other->connections.closed();
  }
  worker.connected_to = 0;
  if (host.connections.is_full() && !host.idle.empty()) {
    host.idle.front()->connected_to = 0;
    host.idle.pop_front();
    host.connections.closed();
    ++broken_connections;
  }
  if (!host.connections.may_accept()) {
    ++refused_connections;
    return false;
  }
  host.connections.opened();
  worker.connected_to = host.run;
  return true;
}

void TestCluster::keep_or_close(Worker& worker, int node, bool answered) {
  const auto& host = hosts_[static_cast<std::size_t>(node)];
  if (!host || host->run != worker.connected_to) {
    worker.connected_to = 0;  // it went with the node
  } else if (answered && host->connections.may_keep_alive()) {
    host->idle.push_back(&worker);
  } else {
    host->connections.closed();
    worker.connected_to = 0;
  }
}

// ---- heartbeats ----

net::Task<void> TestCluster::boot_and_send_heartbeats(Worker& worker) {
  Sleep boot(reactor, worker.up_at - reactor.now());
  co_await boot;
  if (worker.gone) co_return;
  worker.answered_sent = reactor.now();
  auto sending = send_heartbeats(worker);
  co_await sending;
}

net::Task<void> TestCluster::send_heartbeats(Worker& worker) {
  if (heartbeat_spread > 0) {
    Sleep first(reactor, base_settings.heartbeat_interval_s * random_fraction());
    co_await first;
  }
  for (;;) {
    const double spread = heartbeat_spread > 0 ? heartbeat_spread * (2 * random_fraction() - 1) : 0;
    const double interval = base_settings.heartbeat_interval_s * (1 + spread);
    Sleep pause(reactor, worker.last_heartbeat_failed ? std::min(interval, 1.0) : interval);
    co_await pause;
    worker.last_heartbeat_failed = true;  // until it is answered
    if (worker.gone) co_return;
    if (worker.is_hung) continue;
    progress(worker);
    worker.end_lease(base_settings.lease_s, reactor.now());
    auto sending = send_heartbeat(worker);
    co_await sending;
  }
}

net::Task<void> TestCluster::send_heartbeat(Worker& worker) {
  const double sent = reactor.now();
  const int target = worker.target;
  const int next = (target + 1) % nodes();
  if (worker.cannot_send || !is_up(target) || cut_from_workers.contains(target)) {
    worker.target = next;
    co_return;
  }
  if (apart(zone_of(target), worker.kind.zone) || unresponsive_to_workers.contains(target)) {
    Sleep timeout(reactor, kHeartbeatTimeout);
    co_await timeout;
    worker.target = next;
    co_return;
  }
  if (!connect(worker, target)) {
    worker.target = next;
    co_return;
  }
  const std::string body = worker.heartbeat();
  copy_heartbeat(worker, body);
  const auto agent_epoch = worker.agent_epoch;
  auto asking = exchange(target, {"POST", "/checkin", "", body, true}, kHeartbeatTimeout);
  const auto response = co_await asking;
  keep_or_close(worker, target, response && response->status == 200);
  if (worker.cannot_receive) {
    Sleep timeout(reactor, std::max(sent + kHeartbeatTimeout - reactor.now(), 0.0));
    co_await timeout;
    worker.target = next;
    co_return;
  }
  if (!response) {
    worker.target = next;
    co_return;
  }
  const bool ignored = apart(zone_of(target), worker.kind.zone) || worker.is_hung || worker.gone ||
                       agent_epoch != worker.agent_epoch;
  if (!ignored) on_heartbeat_response(worker, *response, sent);
}

void TestCluster::copy_heartbeat(const Worker& worker, const std::string& body) {
  if (random_fraction() < late_heartbeat_share) {
    constexpr double kMinDelay = 2;
    const double delay_s =
        kMinDelay + random_fraction() * (1.5 * base_settings.lease_s - kMinDelay);
    scope_.spawn(deliver_late_heartbeat(random_node(), body, delay_s));
  }
  if (replays_heartbeats) recorded_heartbeats_.emplace(worker.id, body);
}

void TestCluster::on_heartbeat_response(Worker& worker, const Response& response, double sent) {
  const int next = (worker.target + 1) % nodes();
  const JsonDocument document(response.body.empty() ? "{}" : response.body);
  if (response.status == 421) {
    const auto leader_name = wire::read_text(document.root(), "Foreman").value_or("");
    worker.target = leader_name.empty() ? next : leader_name[1] - '0';
  } else if (response.status != 200) {
    worker.target = next;
  } else if (document.root()["KeyTurn"].GetUint64() >= worker.fencing_token) {
    worker.fencing_token = document.root()["KeyTurn"].GetUint64();
    worker.last_heartbeat_failed = false;
    worker.answered_sent = sent;
    worker.execute(document.root()["Orders"], *environment_, reactor.now());
  }
}

net::Task<void> TestCluster::deliver_late_heartbeat(int node, std::string body, double delay_s) {
  Sleep delay(reactor, delay_s);
  co_await delay;
  auto sending = exchange(node, {"POST", "/checkin", "", std::move(body), true}, kHeartbeatTimeout);
  co_await sending;  // the agent has long had another answer
}

// ---- what happens without a message ----

net::Task<void> TestCluster::watch_over() {
  constexpr double kInterval = 0.25;
  for (;;) {
    Sleep pause(reactor, kInterval);
    co_await pause;
    if (state_down) state_service.extend_leases();
    for (auto& [id, worker] : workers) {
      if (worker->is_hung) continue;
      worker->end_lease(base_settings.lease_s, reactor.now());
      progress(*worker);
    }
    rules.check_held_tasks(tasks_on_machines(), reactor.now());
    if (leader() != last_leader_) on_leader_change();
  }
}

void TestCluster::on_leader_change() {
  last_leader_ = leader();
  if (last_leader_ < 0) return;
  for (const auto& [id, body] : recorded_heartbeats_) {
    for (int node = 0; node < nodes(); ++node) {
      scope_.spawn(deliver_late_heartbeat(node, body, replay_delay_s));
    }
  }
  recorded_heartbeats_.clear();
}

}  // namespace cranklock::testing
