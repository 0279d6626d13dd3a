#include "world.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cranklock::testing {

using net::Reply;
using net::Request;
using net::Response;
using net::Sleep;
using wire::Cause;
using wire::Json;
using wire::JsonDocument;
using wire::JsonWriter;
using wire::TaskState;

namespace {

struct NodeTransport : net::Transport {
  World& world;
  int node;
  NodeTransport(World& w, int n) : world(w), node(n) {}
  net::Task<Reply> call(std::string address, Request request, double timeout_s) override {
    return world.call(node, std::move(address), std::move(request), timeout_s);
  }
};

Response answer(int status, std::string body = "{}") {
  return control::plain_answer(status, body);
}

}  // namespace

struct World::Host {
  base::Settings settings;
  NodeTransport transport;
  store::Client store;
  cloud::Client cloud;
  control::Node node;
  net::Scope scope;  // last: its routines end first

  Host(World& w, int i, base::Settings s)
      : settings(std::move(s)),
        transport(w, i),
        store(w.reactor, transport, settings),
        cloud(w.reactor, transport, settings),
        node({w.reactor, transport, settings, store, cloud}) {
    scope.spawn(node.learn_types());
    scope.spawn(node.feel_state());
    scope.spawn(node.run());
  }
};

World::World(int nodes, std::vector<std::string> zones, base::Settings settings)
    : base_settings(std::move(settings)), zones_(std::move(zones)) {
  base_settings.cloud = "cloud";
  base_settings.state = "state";
  base_settings.list_lag_s = 2;
  for (int i = 0; i < nodes; ++i) {
    base_settings.others.push_back({"n" + std::to_string(i), zone_of(i), "peer"});
    hosts_.push_back(nullptr);
  }
  for (int i = 0; i < nodes; ++i) start_node(i);
}

World::~World() {
  hosts_.clear();
  scope_.clear();
}

void World::start_node(int i) {
  auto settings = base_settings;
  settings.name = "n" + std::to_string(i);
  settings.zone = zone_of(i);
  auto& host = hosts_[static_cast<std::size_t>(i)];
  host = std::make_unique<Host>(*this, i, std::move(settings));
  if (zones_.empty()) return;
  host->node.set_send([this, i](const std::string& to, const peer::Frame& frame) {
    scope_.spawn(deliver(i, to[1] - '0', frame));
  });
  host->scope.spawn(link(i));
}

std::string World::zone_of(int node) const {
  return zones_.empty() ? "a" : zones_[static_cast<std::size_t>(node)];
}

bool World::apart(const std::string& zone, const std::string& other) const {
  return zone != other && (cut_zones.contains(zone) || cut_zones.contains(other));
}

net::Task<void> World::link(int node) {
  for (;;) {
    const auto hello = hosts_[static_cast<std::size_t>(node)]->node.hello();
    for (int other = 0; other < static_cast<int>(hosts_.size()); ++other) {
      if (other != node) scope_.spawn(deliver(node, other, hello));
    }
    Sleep pause(reactor, control::Node::hello_every(base_settings));
    co_await pause;
  }
}

net::Task<void> World::deliver(int from, int to, peer::Frame frame) {
  Sleep there(reactor, 0.003);
  co_await there;
  const auto& host = hosts_[static_cast<std::size_t>(to)];
  if (host && !apart(zone_of(from), zone_of(to))) {
    host->node.heard("n" + std::to_string(from), std::move(frame));
  }
}

void World::crash_node(int i) {
  hosts_[static_cast<std::size_t>(i)].reset();
}

int World::leader() const {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i] && hosts_[i]->node.leads()) return static_cast<int>(i);
  }
  return -1;
}

Response World::ask(int node, const std::string& method, const std::string& path,
                    const std::string& body) {
  auto task = hosts_[static_cast<std::size_t>(node)]->node.handle({method, path, "", body, true});
  task.start();
  for (int i = 0; i < 1000 && !task.done(); ++i) run(0.01);
  EXPECT_TRUE(task.done()) << "an answer was held back";
  return task.done() ? task.take() : Response{};
}

void World::submit(int node, const wire::JobSpec& spec) {
  known_jobs.insert(spec.id);
  JsonWriter w;
  wire::write_job(w, spec);
  ASSERT_EQ(ask(node, "POST", "/v1/jobs", w.take()).status, 201);
}

std::string World::state_of(int node, const std::string& id) {
  const auto response = ask(node, "GET", "/v1/jobs/" + id);
  if (response.status != 200) return std::to_string(response.status);
  const JsonDocument document(response.body);
  return wire::read_text(document.root(), "Stance").value_or("?");
}

void World::add_worker(const std::string& zone) {
  auto w = std::make_unique<Worker>();
  w->id = "n-" + std::to_string(++rented);
  w->address = "worker:" + w->id;
  w->zone = zone;
  w->answered_sent = reactor.now();
  Worker& ref = *w;
  workers[w->id] = std::move(w);
  scope_.spawn(work(ref));
}

int World::running(const std::string& job) const {
  int n = 0;
  for (const auto& [id, w] : workers) {
    for (const auto& [name, t] : w->tasks) {
      n += name.starts_with(job + "/") && t.state == TaskState::running ? 1 : 0;
    }
  }
  return n;
}

net::Task<Reply> World::call(int node, std::string address, Request request, double timeout_s) {
  Sleep there(reactor, 0.003);
  co_await there;
  Reply lost;  // unknown
  if (cut_zones.contains(zone_of(node)) && (address == "state" || address == "cloud")) {
    Sleep wait(reactor, timeout_s);
    co_await wait;
    co_return lost;
  }
  if (address == "state") {
    const bool watch = request.path == "/follow";
    const double until = reactor.now() + timeout_s;
    for (;;) {
      if (cut_from_state.contains(node)) {
        Sleep wait(reactor, until - reactor.now());
        co_await wait;
        co_return lost;
      }
      Response response = state_down ? answer(503) : state(request);
      const bool nothing =
          response.status == 200 && response.body.find("News\":[]") != std::string::npos;
      if (watch && (nothing || state_down) && reactor.now() < until - 1) {
        Sleep wait(reactor, 0.02);
        co_await wait;
        continue;
      }
      if (request.path == "/txn" && response.status == 200 && swallow_txn_answers > 0) {
        --swallow_txn_answers;
        Sleep wait(reactor, until - reactor.now());
        co_await wait;
        co_return lost;
      }
      co_return Reply{Reply::Kind::answered, response};
    }
  }
  if (address == "cloud") {
    Response response = cloud(request);
    if (request.path == "/rentals" && request.method == "POST" && swallow_rental_answers > 0) {
      --swallow_rental_answers;
      Sleep wait(reactor, timeout_s);
      co_await wait;
      co_return lost;
    }
    co_return Reply{Reply::Kind::answered, response};
  }
  struct UnderWay {
    int& count;
    ~UnderWay() { --count; }
  };
  const UnderWay one{++calls_under_way};
  most_calls_under_way = std::max(most_calls_under_way, calls_under_way);
  for (auto& [id, w] : workers) {
    if (w->address != address) continue;
    if (cut_from_workers.contains(node) || w->hangs || apart(zone_of(node), w->zone)) break;
    Response response = commands(*w, request);
    if (w->swallow_commands > 0) {
      --w->swallow_commands;
      break;
    }
    co_return Reply{Reply::Kind::answered, response};
  }
  Sleep wait(reactor, timeout_s);
  co_await wait;
  co_return lost;
}

// ---- the state service ----

void World::put(const std::string& key, const std::string& data, std::uint64_t lease) {
  store[key] = {data, revision, lease};
  events_.push_back({key, data, revision});
}

void World::erase(const std::string& key) {
  if (store.erase(key) > 0) events_.push_back({key, "", revision});
}

void World::expire() {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.second > reactor.now()) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, s] : store) {
      if (s.lease == it->first) keys.push_back(key);
    }
    if (!keys.empty()) ++revision;
    for (const auto& key : keys) erase(key);
    it = leases_.erase(it);
  }
}

Response World::state(const Request& r) {
  expire();
  const auto field = [&](const char* name) { return net::query_field(r.query, name); };
  JsonWriter w;
  if (r.path.starts_with("/store/")) {
    const auto it = store.find(r.path.substr(7));
    if (it == store.end()) {
      w.begin().key("LedgerTurn").count(revision).end();
      return answer(404, w.take());
    }
    w.begin().key("K").text(it->first).key("Data").raw(it->second.data);
    w.key("Mark").count(it->second.revision).end();
    return answer(200, w.take());
  }
  if (r.path == "/store") {
    w.begin().key("Rows").list();
    for (const auto& [key, s] : store) {
      if (!key.starts_with(field("Under"))) continue;
      w.begin().key("K").text(key).key("Data").raw(s.data).key("Mark").count(s.revision).end();
    }
    w.list_end().key("HasNext").flag(false).key("LedgerTurn").count(revision).end();
    return answer(200, w.take());
  }
  if (r.path == "/follow") {
    const auto since = std::stoull(field("Since"));
    w.begin().key("LedgerTurn").count(revision).key("News").list();
    for (const auto& e : events_) {
      if (e.revision <= since || !e.key.starts_with(field("Under"))) continue;
      w.begin().key(e.data.empty() ? "Remove" : "Write").text(e.key);
      if (!e.data.empty()) w.key("Data").raw(e.data);
      w.key("Mark").count(e.revision).end();
    }
    w.list_end().end();
    return answer(200, w.take());
  }
  if (r.path == "/leases") {
    const JsonDocument document(r.body);
    const double life = *wire::read_amount(document.root(), "LifeMs") / 1000;
    leases_[++next_lease_] = {life, reactor.now() + life};
    w.begin().key("Hold").count(next_lease_).end();
    return answer(200, w.take());
  }
  if (r.path.starts_with("/leases/")) {
    const auto it = leases_.find(std::stoull(r.path.substr(8)));
    if (it == leases_.end()) return answer(404);
    it->second.second = r.method == "DELETE" ? 0 : reactor.now() + it->second.first;
    expire();
    return answer(200);
  }
  // A transaction.
  const JsonDocument document(r.body);
  w.begin();
  bool failed = false;
  w.key("failed").list();
  for (const auto& c : document.root()["If"].GetArray()) {
    const auto it = store.find(c["K"].GetString());
    if ((it == store.end() ? 0 : it->second.revision) == c["Mark"].GetUint64()) continue;
    w.text(c["K"].GetString());
    failed = true;
  }
  w.list_end();
  if (!failed && document.root()["Then"].Size() > 0) {
    ++revision;
    for (const auto& c : document.root()["Then"].GetArray()) {
      if (c.HasMember("Remove")) {
        erase(c["Remove"].GetString());
      } else {
        put(c["Write"].GetString(), wire::to_text(c["Data"]),
            wire::read_count(c, "Hold").value_or(0));
      }
    }
  }
  w.key("LedgerTurn").count(revision).end();
  return answer(failed ? 409 : 200, w.take());
}

// ---- the cloud ----

Response World::cloud(const Request& r) {
  JsonWriter w;
  if (r.path == "/machine_types") {
    wire::write_machine_types(w, {machine_type()});
    return answer(200, w.take());
  }
  const JsonDocument document(r.body.empty() ? "{}" : r.body);
  if (r.path == "/rentals/delete") {
    deletions.push_back(reactor.now());
    for (const auto& m : document.root()["Rigs"].GetArray()) {
      const auto it = workers.find(m.GetString());
      if (it == workers.end()) continue;
      it->second->hangs = true;
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
        add_worker(document.root()["Yard"].GetString());
        w.text("n-" + std::to_string(rented));
      }
      w.list_end().end();
      it->second = w.take();
    }
    return answer(200, it->second);
  }
  w.begin().key("Rigs").list();
  for (const auto& [id, worker] : workers) {
    if (std::find(deleted.begin(), deleted.end(), id) != deleted.end()) continue;
    w.begin().key("Id").text(id).key("Address").text(worker->address).key("Frame").text("g8");
    w.key("Yard").text(worker->zone).key("Loaners").flag(false).key("Stance").text("running");
    w.key("HeldS").amount(1).end();
  }
  w.list_end().key("HasNext").flag(false).end();
  return answer(200, w.take());
}

// ---- workers ----

void World::progress(Worker& w) {
  for (auto& [name, t] : w.tasks) {
    if (t.state == TaskState::fetching && reactor.now() - t.since > 0.5) {
      for (const auto& [id, other] : workers) {
        const auto it = other->tasks.find(name);
        // What hangs beyond its lease kills its tasks before it does anything else.
        const bool over = reactor.now() - other->answered_sent > base_settings.lease_s;
        if (other.get() != &w && !over && it != other->tasks.end() &&
            it->second.state == TaskState::running) {
          ++ran_twice;
        }
      }
      t = {t.attempt, TaskState::running, Cause::none, reactor.now()};
      ++starts[name];
    }
    if (t.state == TaskState::running && reactor.now() - t.since > run_s) {
      t = {t.attempt, TaskState::exited, Cause::done, reactor.now()};
    }
  }
}

void World::execute(Worker& w, const Json& orders) {
  for (const auto& o : orders.GetArray()) {
    const std::string verb = o["Verb"].GetString(), name = o["Tooth"].GetString();
    const auto attempt = o["Crank"].GetUint64();
    const auto it = w.tasks.find(name);
    const bool held = it != w.tasks.end() && it->second.attempt == attempt;
    if (verb == "start" && !held) {
      w.tasks[name] = {attempt, TaskState::fetching, Cause::none, reactor.now()};
    } else if (verb == "kill" && held && it->second.state != TaskState::exited) {
      it->second = {attempt, TaskState::exited, Cause::stopped, reactor.now()};
    } else if (verb == "forget" && held && it->second.state == TaskState::exited) {
      w.tasks.erase(it);
    }
  }
}

std::string World::report_of(Worker& w) {
  JsonWriter j;
  j.begin().key("Rig").text(w.id).key("Address").text(w.address).key("Frame").text("g8");
  j.key("Yard").text(w.zone).key("Loaners").flag(false).key("Shift").count(w.session);
  j.key("Tick").count(++w.tick).key("KeyTurn").count(w.token).key("Teeth").list();
  for (const auto& [name, t] : w.tasks) {
    const char* state = t.state == TaskState::fetching  ? "fetching"
                        : t.state == TaskState::running ? "running"
                                                        : "exited";
    j.begin().key("Tooth").text(name).key("Crank").count(t.attempt).key("Stance").text(state);
    if (t.state == TaskState::exited)
      j.key("Cause").text(t.cause == Cause::done ? "done" : "halted");
    j.end();
  }
  j.list_end().end();
  return j.take();
}

Response World::commands(Worker& w, const Request& r) {
  progress(w);
  const JsonDocument document(r.body);
  const auto token = document.root()["KeyTurn"].GetUint64();
  if (token < w.token || document.root()["Shift"].GetUint64() != w.session) {
    return answer(409, report_of(w));
  }
  w.token = token;
  execute(w, document.root()["Orders"]);
  return answer(200, report_of(w));
}

net::Task<void> World::work(Worker& w) {
  for (;;) {
    Sleep pause(reactor, base_settings.report_s);
    co_await pause;
    if (w.hangs) continue;
    progress(w);
    if (reactor.now() - w.answered_sent > base_settings.lease_s) {
      ++w.session;
      w.tasks.clear();
      w.answered_sent = reactor.now();
    }
    const double sent = reactor.now();
    const auto& host = hosts_[static_cast<std::size_t>(w.target)];
    const int next = (w.target + 1) % static_cast<int>(hosts_.size());
    if (!host || cut_from_workers.contains(w.target)) {
      w.target = next;
      continue;
    }
    if (apart(zone_of(w.target), w.zone)) {
      Sleep patience(reactor, 4);
      co_await patience;
      w.target = next;
      continue;
    }
    auto asking = host->node.handle({"POST", "/checkin", "", report_of(w), true});
    const auto response = co_await asking;
    if (apart(zone_of(w.target), w.zone)) continue;
    const JsonDocument document(response.body.empty() ? "{}" : response.body);
    if (response.status == 421) {
      const auto to = wire::read_text(document.root(), "Foreman").value_or("");
      w.target = to.empty() ? next : to[1] - '0';
    } else if (response.status != 200) {
      w.target = next;
    } else if (document.root()["KeyTurn"].GetUint64() >= w.token) {
      w.token = document.root()["KeyTurn"].GetUint64();
      w.answered_sent = sent;
      execute(w, document.root()["Orders"]);
    }
  }
}

}  // namespace cranklock::testing
