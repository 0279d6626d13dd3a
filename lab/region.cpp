#include "lab/region.hpp"

#include <algorithm>

#include "control/job_api.hpp"

namespace cranklock::lab {

using net::Fd;
using net::Request;
using net::Response;
using net::Sleep;
using net::Task;

namespace {

constexpr double kTick = 0.5;         ///< a worker reports changes no more often
constexpr double kAnswerTimeout = 4;  ///< of its reports
constexpr double kHour = 3600;
constexpr double kMaxBody = 4 * 1024 * 1024;

Response answer(int status, std::string body = "{}") {
  return control::make_response(status, std::move(body));
}

}  // namespace

net::ServerLimits many_connections() {
  net::ServerLimits limits;
  limits.max_connections = 4096;
  limits.idle_timeout_s = kHour;
  return limits;
}

// ---- relays ----

bool Relay::start(net::Scope& scope) {
  listener_ = net::listen_on(listen_);
  if (listener_.valid()) scope.spawn(accept());
  return listener_.valid();
}

void Relay::cut(bool apart) {
  apart_ = apart;
  if (apart) pumps_.clear();
}

Task<void> Relay::accept() {
  for (;;) {
    net::Ready ready(reactor_, listener_.get(), false, kHour);
    if (!co_await ready) continue;
    for (Fd fd = net::accept_from(listener_.get()); fd.valid();
         fd = net::accept_from(listener_.get())) {
      if (!apart_) pumps_.spawn(connect(std::move(fd)));
    }
  }
}

Task<void> Relay::connect(Fd from) {
  auto connecting = net::connect_to(reactor_, to_, reactor_.now() + 1);
  Fd to = co_await connecting;
  if (!to.valid()) co_return;
  const auto one = std::make_shared<Fd>(std::move(from));
  const auto other = std::make_shared<Fd>(std::move(to));
  pumps_.spawn(pump(one, other));
  auto back = pump(other, one);
  co_await back;
}

Task<void> Relay::pump(SharedFd from, SharedFd to) {
  char bytes[8192];
  for (;;) {
    auto reading =
        net::read_some(reactor_, from->get(), bytes, sizeof bytes, reactor_.now() + kHour);
    const auto count = co_await reading;
    if (count <= 0) break;
    bytes_ += static_cast<std::uint64_t>(count);
    auto writing = net::write_all(reactor_, to->get(), {bytes, static_cast<std::size_t>(count)},
                                  reactor_.now() + 1);
    if (!co_await writing) break;
  }
  ::shutdown(from->get(), SHUT_RDWR);
  ::shutdown(to->get(), SHUT_RDWR);
}

// ---- the region ----

Region::Worker::Worker(net::EvReactor& reactor)
    : client(reactor, static_cast<std::size_t>(kMaxBody), 2) {}

Region::Region(net::EvReactor& reactor, const LabPlan& plan, const RegionPlan& region, int index,
               testing::WorkerStandIn::TaskEnvironment& environment, unsigned seed)
    : reactor_(reactor),
      plan_(plan),
      region_(region),
      index_(index),
      environment_(environment),
      random_(seed),
      state_(reactor) {
  state_.enforces_write_rate = true;
  state_.default_write_rps = plan.state_write_rps;
}

std::string Region::address(int port) const {
  constexpr int kFirstPort = 21000, kPorts = 100;
  return "127.0.0.1:" + std::to_string(kFirstPort + index_ * kPorts + port);
}

bool Region::start(net::Scope& scope) {
  state_server_ = std::make_unique<net::HttpServer>(
      reactor_, many_connections(), [this](Request r) { return serve_state(std::move(r)); });
  cloud_server_ = std::make_unique<net::HttpServer>(
      reactor_, many_connections(), [this](Request r) { return serve_cloud(std::move(r)); });
  if (!state_server_->listen(state_address()) || !cloud_server_->listen(cloud_address())) {
    return false;
  }
  scope.spawn(state_server_->run());
  scope.spawn(cloud_server_->run());
  for (int i = 0; i < region_.workers; ++i) {
    const auto zone = static_cast<std::size_t>(i) % region_.zones.size();
    add_worker(region_.zones[zone], false, reactor_.now() + plan_.heartbeat_interval_s * chance());
  }
  return true;
}

int Region::workers() const {
  return static_cast<int>(std::count_if(workers_.begin(), workers_.end(),
                                        [](const auto& entry) { return !entry.second->gone; }));
}

void Region::set_state_down(bool down) {
  state_down_ = down;
  if (!down) state_.extend_leases();
}

Task<Response> Region::serve_state(Request request) {
  constexpr double kPoll = 0.01;
  if (request.path == "/follow") {
    const double hold_s = std::stod(net::query_field(request.query, "HoldMs")) / 1000;
    const double until = reactor_.now() + hold_s;
    while (reactor_.now() < until && (state_down_ || !state_.has_changes(request))) {
      Sleep pause(reactor_, kPoll);
      co_await pause;
    }
  }
  co_return state_down_ ? answer(503) : state_.handle(request);
}

// ---- the cloud ----

Task<Response> Region::serve_cloud(Request request) {
  if (request.path == "/machine_types") {
    wire::MachineType type;
    type.name = "g8";
    type.resources = {12 * plan_.worker_gpus, plan_.worker_gpus, 96 * plan_.worker_gpus};
    type.cache_gb = 1000;
    type.fetch_gb_per_s = 10;
    type.price = 12;
    type.spot_price = 4;
    type.ready_s = plan_.boot_s;
    type.zones = region_.zones;
    wire::JsonWriter w;
    wire::write_machine_types(w, {type});
    co_return answer(200, w.take());
  }
  if (request.path == "/rentals/delete") {
    const wire::JsonDocument document(request.body);
    for (const auto& name : document.root()["Rigs"].GetArray()) {
      const auto found = workers_.find(name.GetString());
      if (found == workers_.end() || found->second->gone) continue;
      found->second->gone = true;
      found->second->stand_in.tasks.clear();
    }
    co_return answer(200);
  }
  co_return request.method == "POST" ? rent(request) : list(request);
}

Response Region::rent(const Request& request) {
  const wire::JsonDocument document(request.body);
  const auto& asked = document.root();
  // As many again as the plan has, so that lost machines can be replaced.
  // Where moves are to make the room there is nothing to rent.
  const int resources = plan_.fragments ? 0 : 2 * region_.workers - workers();
  const int count = std::min(asked["Count"].GetInt(), resources);
  if (count <= 0) return answer(503, R"({"error":"no capacity"})");
  const auto [entry, first] = rentals_.try_emplace(asked["Charter"].GetString());
  if (first) {
    wire::JsonWriter w;
    w.begin_object().key("Rigs").begin_array();
    for (int i = 0; i < count; ++i) {
      const double ready_at = reactor_.now() + plan_.boot_s * (0.6 + 0.9 * chance());
      w.text(
          add_worker(asked["Yard"].GetString(), asked["Loaners"].GetBool(), ready_at).stand_in.id);
    }
    w.end_array().end_object();
    entry->second = w.take();
  }
  return answer(200, entry->second);
}

Response Region::list(const Request& request) const {
  const std::size_t most = std::stoul(net::query_field(request.query, "Most"));
  wire::JsonWriter w;
  w.begin_object().key("Rigs").begin_array();
  std::size_t rows = 0;
  auto next = workers_.upper_bound(net::query_field(request.query, "Since"));
  for (; next != workers_.end() && rows < most; ++next) {
    const Worker& worker = *next->second;
    if (worker.gone) continue;
    const auto& machine = worker.stand_in;
    w.begin_object().key("Id").text(machine.id).key("Address").text(machine.address);
    w.key("Frame").text(machine.kind.type).key("Yard").text(machine.kind.zone);
    w.key("Loaners").flag(machine.kind.spot);
    w.key("Stance").text(reactor_.now() < worker.ready_at ? "booting" : "running");
    w.key("HeldS").amount(reactor_.now() - machine.created_at).end_object();
    ++rows;
  }
  w.end_array().key("HasNext").flag(next != workers_.end()).end_object();
  return answer(200, w.take());
}

// ---- workers ----

Region::Worker& Region::add_worker(const std::string& zone, bool spot, double ready_at) {
  constexpr int kDigits = 6, kPerNet = 250;
  auto worker = std::make_unique<Worker>(reactor_);
  const std::string number = std::to_string(++rented_);
  auto& stand_in = worker->stand_in;
  stand_in.id = "n-" + std::string(kDigits - number.size(), '0') + number;
  stand_in.address = "127." + std::to_string(10 + index_) + "." +
                     std::to_string(rented_ / kPerNet) + "." +
                     std::to_string(1 + rented_ % kPerNet) + ":9000";
  stand_in.kind = {"g8", zone, spot};
  stand_in.created_at = reactor_.now();
  worker->ready_at = ready_at;
  worker->target = rented_ % region_.controllers;
  Worker& added = *worker;
  workers_.emplace(stand_in.id, std::move(worker));
  added.scope.spawn(work(added));
  return added;
}

Task<Response> Region::serve_worker(Worker& worker, Request request) {
  if (worker.gone) co_return answer(503);
  if (request.path == "/commands" || !replica_server_) {
    co_return worker.stand_in.handle_commands(request, environment_, reactor_.now());
  }
  auto serving = replica_server_(worker.stand_in, std::move(request));
  auto response = co_await serving;
  co_return response;
}

Task<void> Region::work(Worker& worker) {
  Sleep boot(reactor_, worker.ready_at - reactor_.now());
  co_await boot;
  auto& stand_in = worker.stand_in;
  worker.server = std::make_unique<net::HttpServer>(
      reactor_, net::ServerLimits{},
      [this, &worker](Request request) { return serve_worker(worker, std::move(request)); });
  if (!worker.server->listen(stand_in.address)) co_return;
  worker.scope.spawn(worker.server->run());
  stand_in.last_answered_sent_at = reactor_.now();
  while (!worker.gone) {
    worker.changed = stand_in.advance_tasks(environment_, reactor_.now()) || worker.changed;
    const auto agent_epoch = stand_in.agent_epoch;
    stand_in.end_expired_lease(plan_.lease_s, reactor_.now());
    ended_leases_ += stand_in.agent_epoch == agent_epoch ? 0 : 1;
    if (worker.changed || reactor_.now() >= worker.next_heartbeat) {
      auto reporting = heartbeat(worker);
      co_await reporting;
    }
    Sleep pause(reactor_, kTick * (0.9 + 0.2 * chance()));
    co_await pause;
  }
}

Task<void> Region::heartbeat(Worker& worker) {
  worker.changed = false;
  worker.next_heartbeat = reactor_.now() + plan_.heartbeat_interval_s * (0.75 + 0.5 * chance());
  const double sent = reactor_.now();
  const auto agent_epoch = worker.stand_in.agent_epoch;
  Request request{"POST", "/checkin", "", worker.stand_in.next_heartbeat(), true};
  auto calling =
      worker.client.call(controller_address(worker.target, 0), std::move(request), kAnswerTimeout);
  const auto reply = co_await calling;
  if (reply.status() == 200) {
    heartbeat_s_.push_back(reactor_.now() - sent);
  } else {
    ++failed_heartbeats_;
  }
  if (worker.gone || agent_epoch != worker.stand_in.agent_epoch) co_return;
  if (reply.answered()) {
    take_answer(worker, reply.response, sent);
  } else {
    worker.target = (worker.target + 1) % region_.controllers;
    worker.next_heartbeat = reactor_.now() + 1;
  }
}

void Region::take_answer(Worker& worker, const Response& response, double sent) {
  auto& stand_in = worker.stand_in;
  const wire::JsonDocument document(response.body.empty() ? "{}" : response.body);
  if (response.status == 200) {
    const auto fencing_token = wire::read_count(document.root(), "KeyTurn").value_or(0);
    if (fencing_token < stand_in.fencing_token) return;
    worker.changed = worker.changed || fencing_token > stand_in.fencing_token;
    stand_in.fencing_token = fencing_token;
    stand_in.last_answered_sent_at = sent;
    const auto& commands = document.root()["Orders"];
    worker.changed = worker.changed || commands.Size() > 0;
    stand_in.execute_commands(commands, environment_, reactor_.now());
    return;
  }
  const auto named = wire::read_text(document.root(), "Foreman").value_or("");
  const auto dash = named.rfind('-');
  if (response.status == 421 && dash != std::string::npos) {
    worker.target = std::stoi(named.substr(dash + 1)) % region_.controllers;
    worker.next_heartbeat = reactor_.now();
    return;
  }
  worker.target = (worker.target + 1) % region_.controllers;
  worker.next_heartbeat = reactor_.now() + 1;
}

}  // namespace cranklock::lab
