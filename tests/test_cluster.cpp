#include "test_cluster.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <list>

#include "net/connection_budget.hpp"

namespace cranklock::testing {

using net::Reply;
using net::Request;
using net::Response;
using net::Sleep;
using wire::JsonDocument;
using wire::JsonWriter;
using wire::TaskState;

namespace {

constexpr double kWay = 0.003;  ///< of a message
constexpr double kLook = 0.02;  ///< how often it is looked whether a node still stands still

struct NodeTransport : net::Transport {
  TestCluster& cluster;
  int node;
  NodeTransport(TestCluster& w, int n) : cluster(w), node(n) {}
  net::Task<Reply> call(std::string address, Request request, double timeout_s) override {
    TrafficEvent event;
    event.node = node;
    const std::string to = address, method = request.method, path = request.path,
                      query = request.query;
    event.address = to, event.method = method, event.path = path, event.query = query;
    event.body = request.body;
    cluster.observe(event);
    auto calling = cluster.call(node, std::move(address), std::move(request), timeout_s);
    auto reply = co_await calling;
    while (cluster.stands_still(node)) {
      Sleep pause(cluster.reactor, kLook);
      co_await pause;
    }
    event.kind = TrafficEvent::Kind::reply;
    event.response = reply.answered() ? &reply.response : nullptr;
    event.body = reply.answered() ? std::string_view(reply.response.body) : std::string_view();
    cluster.observe(event);
    co_return reply;
  }
};

Response answer(int status, std::string body = "{}") {
  return control::make_response(status, std::move(body));
}

}  // namespace

struct TestCluster::Host {
  base::Settings settings;
  FakeReactor::Loop reactor;
  NodeTransport transport;
  store::Client store;
  cloud::Client cloud;
  control::Node node;
  int run;  ///< another one each time it starts
  net::ConnectionBudget connections;
  std::list<Worker*> idle;  ///< connected workers, the longest idle first
  net::Scope scope;         // last: its routines end first

  Host(TestCluster& w, int i, base::Settings s, int number)
      : settings(std::move(s)),
        reactor(w.reactor),
        transport(w, i),
        store(reactor, transport, settings),
        cloud(reactor, transport, settings),
        node({reactor, transport, settings, store, cloud}),
        run(number),
        connections(base::public_connections(settings)) {
    node.set_connection_load([this] { return connections.load(); });
    node.start(scope);
  }
};

struct TestCluster::Exchange {
  explicit Exchange(net::Reactor& reactor) : answered(reactor) {}
  net::Signal answered;
  std::optional<Response> response;
};

struct TestCluster::CloudCall {
  explicit CloudCall(net::Reactor& reactor) : answered(reactor) {}
  net::Signal answered;
  Reply reply;
};

class TestCluster::Surroundings : public WorkerStandIn::Surroundings {
 public:
  explicit Surroundings(TestCluster& cluster) : cluster_(cluster) {}

  double fetch_s(const wire::TaskName&) const override { return 0.5; }
  double run_s(const wire::TaskName& task) const override {
    return cluster_.run_time(wire::to_string(task));
  }
  bool is_completed(const wire::TaskName& task) const override {
    return cluster_.rules.is_completed(task.job, task.index);
  }
  void told_to_start(const wire::TaskName& task) override {
    cluster_.rules.told_to_start(task.job, cluster_.reactor.now());
  }
  bool starts(const WorkerStandIn& worker, const wire::TaskName& task) override {
    std::vector<Seen> others;
    for (auto& seen : cluster_.everything()) {
      if (seen.job != task.job || !seen.has_image) continue;
      cluster_.ran_twice += seen.task == task.index && seen.machine != worker.id ? 1 : 0;
      others.push_back(std::move(seen));
    }
    cluster_.rules.starts({task.job, worker.id, task.index, worker.kind, true}, others,
                          cluster_.reactor.now());
    ++cluster_.starts[wire::to_string(task)];
    return true;
  }
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

TestCluster::TestCluster(int nodes, std::vector<std::string> zones, base::Settings settings,
                         regions::RegionNetwork* network)
    : base_settings(std::move(settings)),
      region_network(network),
      rules(base_settings),
      surroundings_(std::make_unique<Surroundings>(*this)),
      zones_(std::move(zones)) {
  state_service.usual_write_rps = base_settings.state_write_rps;
  base_settings.cloud = "cloud";
  base_settings.state = "state";
  base_settings.list_lag_s = 2;
  for (int i = 0; i < nodes; ++i) {
    base_settings.others.push_back({"n" + std::to_string(i), zone_of(i), "peer"});
    hosts_.push_back(nullptr);
  }
  base_settings.nodes = nodes;
  for (int i = 0; i < nodes; ++i) start_node(i);
  scope_.spawn(watch_over());
}

TestCluster::~TestCluster() {
  for (const auto& [rule, how] : rules.broken) {
    EXPECT_TRUE(expected_broken.contains(rule)) << rule << ": " << how;
  }
  for (const auto& rule : expected_broken) {
    EXPECT_TRUE(rules.broken.contains(rule)) << rule << " was not noticed";
  }
  hosts_.clear();
  scope_.clear();
}

void TestCluster::start_node(int i) {
  auto settings = base_settings;
  settings.name = "n" + std::to_string(i);
  settings.zone = zone_of(i);
  if (const auto known = known_limits.find(i); known != known_limits.end()) {
    settings.state_write_rps = known->second.write_rps;
    settings.value_kb = known->second.value_kb;
    settings.txn_ops = known->second.txn_ops;
  }
  if (nodes_without_moves.contains(i)) settings.operators.defrag = {};
  auto& host = hosts_[static_cast<std::size_t>(i)];
  host = std::make_unique<Host>(*this, i, std::move(settings), ++last_run_);
  if (host->settings.operators.regions.enabled()) host->node.set_region_network(region_network);
  if (zones_.empty()) return;
  host->node.set_send_frame([this, i](const std::string& to, const peer::Frame& frame) {
    scope_.spawn(deliver(i, to[1] - '0', frame));
  });
  host->scope.spawn(link(i));
}

std::string TestCluster::zone_of(int node) const {
  return zones_.empty() ? "a" : zones_[static_cast<std::size_t>(node)];
}

bool TestCluster::apart(const std::string& zone, const std::string& other) const {
  return zone != other && (cut_zones.contains(zone) || cut_zones.contains(other));
}

net::Task<void> TestCluster::link(int node) {
  for (;;) {
    while (stands_still(node)) {
      Sleep pause(reactor, kLook);
      co_await pause;
    }
    const auto peer_heartbeat = hosts_[static_cast<std::size_t>(node)]->node.peer_heartbeat();
    for (int other = 0; other < static_cast<int>(hosts_.size()); ++other) {
      if (other != node) scope_.spawn(deliver(node, other, peer_heartbeat));
    }
    Sleep pause(reactor, control::Node::peer_heartbeat_interval(base_settings));
    co_await pause;
  }
}

net::Task<void> TestCluster::deliver(int from, int to, peer::Frame frame) {
  const std::string packed = peer::pack(frame), receiver = "n" + std::to_string(to);
  TrafficEvent event;
  event.kind = TrafficEvent::Kind::peer_frame;
  event.node = from, event.address = receiver, event.body = packed;
  observe(event);
  Sleep there(reactor, kWay);
  co_await there;
  while (stands_still(to)) {
    Sleep pause(reactor, kLook);
    co_await pause;
  }
  const auto& host = hosts_[static_cast<std::size_t>(to)];
  if (cut_from_peers.contains(from) || cut_from_peers.contains(to)) co_return;
  if (host && !apart(zone_of(from), zone_of(to))) {
    host->node.on_peer_frame("n" + std::to_string(from), frame);
  }
}

void TestCluster::on_region_frame(const std::string& region, const regions::RegionFrame& frame) {
  const std::string packed = regions::pack(frame);
  TrafficEvent event;
  event.kind = TrafficEvent::Kind::region_frame;
  event.address = region, event.body = packed;
  for (const auto& host : hosts_) {
    if (host) {
      event.node = static_cast<int>(&host - hosts_.data());
      observe(event);
      host->node.on_region_frame(region, frame);
    }
  }
}

void TestCluster::observe(TrafficEvent event) const {
  if (!on_traffic) return;
  event.at_s = reactor.now();
  event.region = base_settings.operators.regions.self;
  on_traffic(event);
}

net::Task<Response> TestCluster::handle(int node, Request request) {
  TrafficEvent event;
  event.kind = TrafficEvent::Kind::public_request;
  event.node = node;
  const std::string method = request.method, path = request.path, query = request.query;
  event.method = method, event.path = path, event.query = query;
  event.body = request.body;
  observe(event);
  auto handling = hosts_[static_cast<std::size_t>(node)]->node.handle(std::move(request));
  auto response = co_await handling;
  event.kind = TrafficEvent::Kind::public_answer;
  event.response = &response, event.body = response.body;
  observe(event);
  co_return response;
}

void TestCluster::crash_node(int i) {
  hosts_[static_cast<std::size_t>(i)].reset();
}

void TestCluster::stop_node(int i) {
  hosts_[static_cast<std::size_t>(i)]->reactor.stands_still = true;
}

void TestCluster::wake_node(int i) {
  hosts_[static_cast<std::size_t>(i)]->reactor.stands_still = false;
}

bool TestCluster::stands_still(int node) const {
  const auto& host = hosts_[static_cast<std::size_t>(node)];
  return host && host->reactor.stands_still;
}

int TestCluster::leader() const {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const auto& host = hosts_[i];
    if (host && !host->reactor.stands_still && host->node.leads()) return static_cast<int>(i);
  }
  return -1;
}

control::LeaderTerm* TestCluster::term(int node) {
  const auto& host = hosts_[static_cast<std::size_t>(node)];
  return host ? host->node.term() : nullptr;
}

Response TestCluster::ask(int node, const std::string& method, const std::string& path,
                          const std::string& body) {
  const auto question = rules.ask(method, path, body);
  auto task = handle(node, {method, path, "", body, true});
  task.start();
  for (int i = 0; i < 1000 && !task.done(); ++i) run(0.01);
  EXPECT_TRUE(task.done()) << "an answer was held back";
  if (!task.done()) return {};
  auto response = task.take();
  rules.answered(question, response.status, response.body, reactor.now());
  return response;
}

namespace {
std::string text_of(const wire::JobSpec& spec) {
  JsonWriter w;
  wire::write_job(w, spec);
  return w.take();
}
}  // namespace

void TestCluster::submit(int node, const wire::JobSpec& spec) {
  const auto response = ask(node, "POST", "/v1/jobs", text_of(spec));
  ASSERT_EQ(response.status, 201) << response.body;
}

void TestCluster::cancel(int node, const std::string& id) {
  ASSERT_EQ(ask(node, "POST", "/v1/jobs/" + id + "/withdraw").status, 200);
  ASSERT_EQ(rules.outcome(id), "withdrawn");
}

std::string TestCluster::state_of(int node, const std::string& id) {
  const auto response = ask(node, "GET", "/v1/jobs/" + id);
  if (response.status != 200) return std::to_string(response.status);
  const JsonDocument document(response.body);
  return wire::read_text(document.root(), "Stance").value_or("?");
}

void TestCluster::add_worker(const std::string& zone, double boots_for) {
  auto w = std::make_unique<Worker>();
  w->up_at = reactor.now() + boots_for;
  w->id = "n-" + std::to_string(++rented);
  w->address = "worker:" + w->id;
  w->kind.zone = zone;
  w->answered_sent = w->began = reactor.now();
  Worker& ref = *w;
  workers[w->id] = std::move(w);
  scope_.spawn(boots_for > 0 ? boot_and_work(ref) : work(ref));
}

int TestCluster::running(const std::string& job) const {
  int n = 0;
  for (const auto& [id, w] : workers) {
    for (const auto& [name, t] : w->tasks) {
      n += name.starts_with(job + "/") && t.state == TaskState::running ? 1 : 0;
    }
  }
  return n;
}

int TestCluster::held(const std::string& job) const {
  int n = 0;
  for (const auto& [id, w] : workers) {
    if (w->gone || lease_over(*w)) continue;
    for (const auto& [name, t] : w->tasks) {
      n += name.starts_with(job + "/") && t.state != TaskState::exited ? 1 : 0;
    }
  }
  return n;
}

// ---- users ----

net::Task<std::optional<Response>> TestCluster::user_asks(int node, std::string method,
                                                          std::string path, std::string body) {
  const auto question = rules.ask(method, path, body);
  auto asking = exchange(node, {method, path, "", body, true}, 5);
  auto response = co_await asking;
  if (response) rules.answered(question, response->status, response->body, reactor.now());
  co_return response;
}

net::Task<void> TestCluster::look_once(int node, wire::JobSpec spec, bool submits) {
  Sleep moment(reactor, 0.01 * chance());
  co_await moment;
  auto asking =
      user_asks(node, submits ? "POST" : "GET", submits ? "/v1/jobs" : "/v1/jobs/" + spec.id,
                submits ? text_of(spec) : "");
  co_await asking;
}

net::Task<void> TestCluster::look_closely(wire::JobSpec spec) {
  for (int node = 0; node < nodes(); ++node) {
    scope_.spawn(look_once(node, spec, false));
    scope_.spawn(look_once(node, spec, true));
  }
  co_return;
}

void TestCluster::add_user(const wire::JobSpec& spec, UserHabits habits) {
  scope_.spawn(use(spec, habits));
}

net::Task<void> TestCluster::use(wire::JobSpec spec, UserHabits habits) {
  const double began = reactor.now();
  const auto path = "/v1/jobs/" + spec.id;
  std::string known;
  for (;;) {
    const bool cancels = habits.cancels_after >= 0 && reactor.now() - began >= habits.cancels_after;
    std::optional<Response> response;
    // Whoever has not heard that it is accepted, or cancelled, asks again.
    if (known.empty()) {
      auto asking = user_asks(any_node(), "POST", "/v1/jobs", text_of(spec));
      response = co_await asking;
    } else {
      auto asking =
          user_asks(any_node(), cancels ? "POST" : "GET", cancels ? path + "/withdraw" : path, "");
      response = co_await asking;
    }
    if (response && (response->status == 200 || response->status == 201)) {
      const JsonDocument document(response->body);
      const auto state = wire::read_text(document.root(), "Stance").value_or("");
      if (habits.looks && state != known) {
        auto looking = look_closely(spec);
        co_await looking;
      }
      known = state;
      if (state == "done" || state == "withdrawn") co_return;
    }
    Sleep pause(reactor, cancels || known.empty() ? 1.0 : 0.3 + 0.4 * chance());
    co_await pause;
    if (!habits.cancels_at_end || habits.cancels_after >= 0) continue;
    for (const auto& [id, w] : workers) {
      for (const auto& [name, t] : w->tasks) {
        const bool ends =
            t.state == TaskState::exited || reactor.now() - t.since > run_time(name) - 0.5;
        if (name.starts_with(spec.id + "/") && ends) habits.cancels_after = 0;
      }
    }
  }
}

net::Task<void> TestCluster::serve(int node, Request request, std::shared_ptr<Exchange> exchange) {
  auto handling = handle(node, std::move(request));
  auto response = co_await handling;
  exchange->response = std::move(response);
  exchange->answered.set();
}

net::Task<void> TestCluster::serve_when_awake(int node, Request request,
                                              std::shared_ptr<Exchange> exchange) {
  const auto& host = hosts_[static_cast<std::size_t>(node)];
  const int run = host->run;
  while (stands_still(node)) {
    Sleep pause(reactor, kLook);
    co_await pause;
  }
  if (host && host->run == run) {
    host->scope.spawn(serve(node, std::move(request), std::move(exchange)));
  }
}

net::Task<std::optional<Response>> TestCluster::exchange(int node, Request request,
                                                         double timeout_s) {
  Sleep there(reactor, 0.001);
  co_await there;
  const auto& host = hosts_[static_cast<std::size_t>(node)];
  if (!host) co_return std::nullopt;
  auto pending = std::make_shared<Exchange>(reactor);
  if (stands_still(node)) {
    scope_.spawn(serve_when_awake(node, std::move(request), pending));
  } else {
    host->scope.spawn(serve(node, std::move(request), pending));
  }
  net::Signal::Wait wait(pending->answered, timeout_s);
  co_await wait;
  co_return std::move(pending->response);
}

// ---- what passes between ----

// What was sent arrives, though its sender has given up meanwhile.
net::Task<void> TestCluster::serve_cloud(Request request, double timeout_s,
                                         std::shared_ptr<CloudCall> call) {
  Sleep there(reactor, kWay);
  co_await there;
  auto calling = call_cloud(std::move(request), timeout_s);
  call->reply = co_await calling;
  call->answered.set();
}

net::Task<Reply> TestCluster::call(int node, std::string address, Request request,
                                   double timeout_s) {
  if (address == "cloud" && !cut_zones.contains(zone_of(node))) {
    auto pending = std::make_shared<CloudCall>(reactor);
    scope_.spawn(serve_cloud(std::move(request), timeout_s, pending));
    net::Signal::Wait wait(pending->answered, timeout_s + kWay);
    co_await wait;
    co_return pending->reply;
  }
  Sleep there(reactor, kWay);
  co_await there;
  Reply lost;  // unknown
  if (address == "cloud" || (address == "state" && cut_zones.contains(zone_of(node)))) {
    Sleep wait(reactor, timeout_s);
    co_await wait;
    co_return lost;
  }
  if (address == "state") {
    auto calling = call_state(node, std::move(request), timeout_s);
    auto reply = co_await calling;
    co_return reply;
  }
  if (address == "router") {
    auto calling = call_router(std::move(request), timeout_s);
    auto reply = co_await calling;
    co_return reply;
  }
  auto calling = call_worker(node, std::move(address), std::move(request), timeout_s);
  auto reply = co_await calling;
  co_return reply;
}

net::Task<Reply> TestCluster::call_state(int node, Request request, double timeout_s) {
  Reply lost;  // unknown
  ++state_requests;
  const bool watch = request.path == "/follow";
  const double until = reactor.now() + timeout_s;
  const double hold_s = watch ? std::stod(net::query_field(request.query, "HoldMs")) / 1000 : 0;
  const double opened = reactor.now();
  if (state_slow_s > 0) {
    Sleep slowly(reactor, state_slow_s * chance());
    co_await slowly;
  }
  if (unserved(node) && !cut_from_state.contains(node)) {
    co_return Reply{Reply::Kind::answered, answer(503)};
  }
  for (;;) {
    if (cut_from_state.contains(node)) {
      Sleep wait(reactor, until - reactor.now());
      co_await wait;
      co_return lost;
    }
    const bool txn = request.path == "/txn";
    const bool may_be_late = late_nodes.empty() || late_nodes.contains(node);
    if (txn && may_be_late && chance() < late_txns) {
      scope_.spawn(apply_late(request, 2 + 10 * chance()));
      Sleep wait(reactor, until - reactor.now());
      co_await wait;
      co_return lost;
    }
    if (watch && (unserved(node) || hanging_watches.contains(node))) {
      if (reactor.now() >= until) co_return lost;
      Sleep wait(reactor, 0.02);
      co_await wait;
      continue;
    }
    Response response = state_service.handle(request);
    const bool nothing =
        response.status == 200 && response.body.find("News\":[]") != std::string::npos;
    if (watch && nothing && reactor.now() < opened + hold_s) {
      Sleep wait(reactor, 0.02);
      co_await wait;
      continue;
    }
    if (txn && response.status == 200 && (swallow_txn_answers > 0 || chance() < lost_txns)) {
      if (swallow_txn_answers > 0) --swallow_txn_answers;
      Sleep wait(reactor, until - reactor.now());
      co_await wait;
      co_return lost;
    }
    co_return Reply{Reply::Kind::answered, response};
  }
}

net::Task<Reply> TestCluster::call_cloud(Request request, double timeout_s) {
  if (cloud_down) {
    co_return Reply{Reply::Kind::answered, answer(503, R"({"error":"trouble"})")};
  }
  if (cloud_full && request.path == "/rentals" && request.method == "POST") {
    co_return Reply{Reply::Kind::answered, answer(503, R"({"error":"no capacity"})")};
  }
  Response response = cloud(request);
  if (request.path == "/rentals" && request.method == "POST" && swallow_rental_answers > 0) {
    --swallow_rental_answers;
    Sleep wait(reactor, timeout_s);
    co_await wait;
    co_return Reply{};
  }
  co_return Reply{Reply::Kind::answered, response};
}

net::Task<Reply> TestCluster::call_router(Request request, double timeout_s) {
  const auto response = router ? router(request) : std::nullopt;
  if (response) co_return Reply{Reply::Kind::answered, *response};
  Sleep wait(reactor, timeout_s);
  co_await wait;
  co_return Reply{};
}

net::Task<Reply> TestCluster::call_worker(int node, std::string address, Request request,
                                          double timeout_s) {
  struct UnderWay {
    int& count;
    ~UnderWay() { --count; }
  };
  const UnderWay one{++calls_under_way};
  max_calls_in_flight = std::max(max_calls_in_flight, calls_under_way);
  constexpr std::size_t kPrefix = std::string_view("worker:").size();
  const auto [begin, end] = workers.equal_range(address.substr(kPrefix));
  for (auto it = begin; it != end; ++it) {
    auto& w = it->second;
    if (w->gone || reactor.now() < w->up_at || w->cannot_receive || cut_from_workers.contains(node))
      break;
    if (held_from_workers.contains(node)) break;
    if (apart(zone_of(node), w->kind.zone)) break;
    if (w->commands_late_s > 0) {
      scope_.spawn(arrive_late(*w, request, w->commands_late_s));
      break;
    }
    if (w->hangs) {
      w->held.push_back(request);
      break;
    }
    Response response = w->commands(request, *surroundings_, reactor.now());
    if (w->swallow_commands > 0) {
      --w->swallow_commands;
      break;
    }
    co_return Reply{Reply::Kind::answered, response};
  }
  Sleep wait(reactor, timeout_s);
  co_await wait;
  co_return Reply{};
}

// ---- the cloud ----

Response TestCluster::cloud(const Request& r) {
  JsonWriter w;
  if (r.path == "/machine_types") {
    wire::write_machine_types(w, {machine_type()});
    return answer(200, w.take());
  }
  const JsonDocument document(r.body.empty() ? "{}" : r.body);
  if (r.path == "/rentals/delete") {
    deletions.push_back(reactor.now());
    for (const auto& m : document.root()["Rigs"].GetArray()) {
      if (undeletable.contains(m.GetString())) return answer(400);
    }
    for (const auto& m : document.root()["Rigs"].GetArray()) {
      const auto it = workers.find(m.GetString());
      if (it == workers.end()) continue;
      it->second->hangs = it->second->gone = true;
      it->second->tasks.clear();
      deleted.emplace_back(m.GetString());
    }
    return answer(200);
  }
  if (r.method == "POST") {
    const std::string name = document.root()["Charter"].GetString();
    auto [it, fresh] = rentals.try_emplace(name);
    if (fresh) {
      w.begin().key("Rigs").list();
      for (int i = 0; i < document.root()["Count"].GetInt(); ++i) {
        const std::string zone = document.root()["Yard"].GetString();
        constexpr double kNever = 1e9;
        add_worker(zone, barren_zones.contains(zone) ? kNever : boot_s);
        w.text("n-" + std::to_string(rented));
      }
      w.list_end().end();
      it->second = w.take();
    }
    return answer(200, it->second);
  }
  ++list_requests;
  const std::size_t most = std::stoul(net::query_field(r.query, "Most"));
  std::size_t listed = 0;
  auto next = workers.upper_bound(net::query_field(r.query, "Since"));
  w.begin().key("Rigs").list();
  for (; next != workers.end() && listed < most; ++next) {
    const auto& [id, worker] = *next;
    if (worker->gone || reactor.now() - worker->began < unlisted_s) continue;
    ++listed;
    w.begin().key("Id").text(id).key("Address").text(worker->address).key("Frame").text("g8");
    w.key("Yard")
        .text(worker->kind.zone)
        .key("Loaners")
        .flag(false)
        .key("Stance")
        .text(reactor.now() < worker->up_at ? "booting" : "running");
    w.key("HeldS").amount(reactor.now() - worker->began).end();
  }
  w.list_end().key("HasNext").flag(next != workers.end()).end();
  return answer(200, w.take());
}

// ---- workers ----

bool TestCluster::lease_over(const Worker& w) const {
  return w.lease_over(base_settings.lease_s, reactor.now());
}

double TestCluster::run_time(const std::string& task) const {
  const auto it = run_s_of.find(task);
  return it == run_s_of.end() ? run_s : it->second;
}

std::vector<Seen> TestCluster::everything() const {
  std::vector<Seen> out;
  for (const auto& [id, w] : workers) {
    // What hangs beyond its lease kills its tasks before it does anything else.
    if (w->gone || lease_over(*w)) continue;
    for (const auto& [name, t] : w->tasks) {
      const auto task = wire::parse_task(name);
      if (t.state == TaskState::exited || !task) continue;
      out.push_back({task->job, id, task->index, w->kind, t.state != TaskState::fetching});
    }
  }
  return out;
}

void TestCluster::progress(Worker& w) {
  w.progress(*surroundings_, reactor.now());
}

void TestCluster::wake(Worker& w) {
  if (w.gone) return;
  w.hangs = false;
  w.end_lease(base_settings.lease_s, reactor.now());
  const auto held_back = std::move(w.held);
  w.held.clear();
  for (const auto& request : held_back) w.commands(request, *surroundings_, reactor.now());
}

net::Task<void> TestCluster::arrive_late(Worker& w, Request request, double after) {
  Sleep pause(reactor, after);
  co_await pause;
  if (w.hangs) {
    w.held.push_back(std::move(request));
  } else if (!w.gone) {
    w.commands(request, *surroundings_, reactor.now());
  }
}

net::Task<void> TestCluster::apply_late(Request request, double after) {
  Sleep pause(reactor, after);
  co_await pause;
  while (state_down) {
    Sleep outage(reactor, 0.1);
    co_await outage;
  }
  state_service.handle(request);
}

net::Task<void> TestCluster::heartbeat_late(int node, std::string body, double after) {
  Sleep pause(reactor, after);
  co_await pause;
  auto sending = exchange(node, {"POST", "/checkin", "", std::move(body), true}, 4);
  co_await sending;  // whom the answer was meant for has long had another
}

// What goes on by itself: leases of workers and of the state service, and the rule checker's look.
net::Task<void> TestCluster::watch_over() {
  constexpr double kEvery = 0.25;
  for (;;) {
    Sleep pause(reactor, kEvery);
    co_await pause;
    if (state_down) state_service.extend_leases();
    for (auto& [id, w] : workers) {
      if (w->hangs) continue;
      w->end_lease(base_settings.lease_s, reactor.now());
      progress(*w);
    }
    rules.look(everything(), reactor.now());
    if (leader() == last_leader_) continue;
    last_leader_ = leader();
    if (last_leader_ < 0) continue;
    for (const auto& [id, body] : kept_heartbeats_) {
      for (int node = 0; node < nodes(); ++node) scope_.spawn(heartbeat_late(node, body, kept_s));
    }
    kept_heartbeats_.clear();
  }
}

std::size_t TestCluster::connections(int node) const {
  const auto& host = hosts_[static_cast<std::size_t>(node)];
  return host ? host->connections.open() : 0;
}

bool TestCluster::connect(Worker& w, int node) {
  Host& host = *hosts_[static_cast<std::size_t>(node)];
  if (w.connected_to == host.run) {
    host.idle.remove(&w);
    return true;
  }
  for (const auto& other : hosts_) {
    if (!other || other->run != w.connected_to) continue;
    other->idle.remove(&w);
    other->connections.closed();
  }
  w.connected_to = 0;
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
  w.connected_to = host.run;
  return true;
}

void TestCluster::keep_or_close(Worker& w, int node, bool answered) {
  const auto& host = hosts_[static_cast<std::size_t>(node)];
  if (!host || host->run != w.connected_to) {
    w.connected_to = 0;  // it went with the node
  } else if (answered && host->connections.keeps_answered()) {
    host->idle.push_back(&w);
  } else {
    host->connections.closed();
    w.connected_to = 0;
  }
}

net::Task<void> TestCluster::boot_and_work(Worker& w) {
  Sleep boot(reactor, w.up_at - reactor.now());
  co_await boot;
  if (w.gone) co_return;
  w.answered_sent = reactor.now();
  auto working = work(w);
  co_await working;
}

net::Task<void> TestCluster::work(Worker& w) {
  if (heartbeat_spread > 0) {
    Sleep begin(reactor, base_settings.heartbeat_interval_s * chance());
    co_await begin;
  }
  for (;;) {
    const double spread = heartbeat_spread > 0 ? heartbeat_spread * (2 * chance() - 1) : 0;
    const double interval = base_settings.heartbeat_interval_s * (1 + spread);
    Sleep pause(reactor, w.turned_away ? std::min(interval, 1.0) : interval);
    co_await pause;
    w.turned_away = true;  // until it is answered
    if (w.gone) co_return;
    if (w.hangs) continue;
    progress(w);
    w.end_lease(base_settings.lease_s, reactor.now());
    const double sent = reactor.now();
    const int target = w.target, next = (target + 1) % nodes();
    if (w.cannot_send || !is_up(target) || cut_from_workers.contains(target)) {
      w.target = next;
      continue;
    }
    if (apart(zone_of(target), w.kind.zone) || held_from_workers.contains(target)) {
      Sleep leader_timeout(reactor, 4);
      co_await leader_timeout;
      w.target = next;
      continue;
    }
    if (!connect(w, target)) {
      w.target = next;
      continue;
    }
    const std::string body = w.heartbeat();
    if (chance() < late_heartbeats) {
      const double after = 2 + chance() * (1.5 * base_settings.lease_s - 2);
      scope_.spawn(heartbeat_late(any_node(), body, after));
    }
    if (keeps_heartbeats) kept_heartbeats_.emplace(w.id, body);
    const auto agent_epoch = w.agent_epoch;
    auto asking = exchange(target, {"POST", "/checkin", "", body, true}, 4);
    const auto response = co_await asking;
    keep_or_close(w, target, response && response->status == 200);
    if (w.cannot_receive) {
      Sleep leader_timeout(reactor, std::max(sent + 4 - reactor.now(), 0.0));
      co_await leader_timeout;
      w.target = next;
      continue;
    }
    if (!response) {
      w.target = next;
      continue;
    }
    if (apart(zone_of(target), w.kind.zone) || w.hangs || w.gone || agent_epoch != w.agent_epoch)
      continue;
    const JsonDocument document(response->body.empty() ? "{}" : response->body);
    if (response->status == 421) {
      const auto to = wire::read_text(document.root(), "Foreman").value_or("");
      w.target = to.empty() ? next : to[1] - '0';
    } else if (response->status != 200) {
      w.target = next;
    } else if (document.root()["KeyTurn"].GetUint64() >= w.fencing_token) {
      w.fencing_token = document.root()["KeyTurn"].GetUint64();
      w.turned_away = false;
      w.answered_sent = sent;
      w.execute(document.root()["Orders"], *surroundings_, reactor.now());
    }
  }
}

}  // namespace cranklock::testing
