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

constexpr double kAgentTickS = 0.5;  ///< mean pause between an agent's checks for changes
constexpr double kHeartbeatTimeoutS = 4;
constexpr double kIdleTimeoutS = 3600;
constexpr double kMaxBodyBytes = 4 * 1024 * 1024;

Response json_response(int status, std::string body = "{}") {
  return control::make_response(status, std::move(body));
}

}  // namespace

net::ServerLimits stand_in_server_limits() {
  net::ServerLimits limits;
  limits.max_connections = 4096;
  limits.idle_timeout_s = kIdleTimeoutS;
  return limits;
}

// ---- relays ----

bool Relay::start(net::Scope& scope) {
  listener_ = net::listen_on(listen_);
  if (listener_.valid()) scope.spawn(accept_connections());
  return listener_.valid();
}

void Relay::set_partitioned(bool partitioned) {
  partitioned_ = partitioned;
  if (partitioned) connections_.clear();
}

Task<void> Relay::accept_connections() {
  for (;;) {
    net::Ready ready(reactor_, listener_.get(), false, kIdleTimeoutS);
    if (!co_await ready) continue;
    for (Fd fd = net::accept_from(listener_.get()); fd.valid();
         fd = net::accept_from(listener_.get())) {
      if (!partitioned_) connections_.spawn(forward(std::move(fd)));
    }
  }
}

Task<void> Relay::forward(Fd from) {
  auto connecting = net::connect_to(reactor_, to_, reactor_.now() + 1);
  Fd to = co_await connecting;
  if (!to.valid()) co_return;
  const auto client = std::make_shared<Fd>(std::move(from));
  const auto server = std::make_shared<Fd>(std::move(to));
  connections_.spawn(copy_bytes(client, server));
  auto returning = copy_bytes(server, client);
  co_await returning;
}

Task<void> Relay::copy_bytes(SharedFd from, SharedFd to) {
  char bytes[8192];
  for (;;) {
    auto reading =
        net::read_some(reactor_, from->get(), bytes, sizeof bytes, reactor_.now() + kIdleTimeoutS);
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
    : client(reactor, static_cast<std::size_t>(kMaxBodyBytes), 2) {}

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
  constexpr int kFirstPort = 21000, kPortsPerRegion = 100;
  return "127.0.0.1:" + std::to_string(kFirstPort + index_ * kPortsPerRegion + port);
}

bool Region::start(net::Scope& scope) {
  state_server_ = std::make_unique<net::HttpServer>(
      reactor_, stand_in_server_limits(), [this](Request r) { return serve_state(std::move(r)); });
  cloud_server_ = std::make_unique<net::HttpServer>(
      reactor_, stand_in_server_limits(), [this](Request r) { return serve_cloud(std::move(r)); });
  if (!state_server_->listen(state_address()) || !cloud_server_->listen(cloud_address())) {
    return false;
  }
  scope.spawn(state_server_->run());
  scope.spawn(cloud_server_->run());
  for (int i = 0; i < region_.workers; ++i) {
    const auto zone = static_cast<std::size_t>(i) % region_.zones.size();
    add_worker(region_.zones[zone], false,
               reactor_.now() + plan_.heartbeat_interval_s * random_fraction());
  }
  return true;
}

int Region::workers() const {
  return static_cast<int>(std::count_if(workers_.begin(), workers_.end(),
                                        [](const auto& entry) { return !entry.second->deleted; }));
}

void Region::set_state_down(bool down) {
  state_down_ = down;
  if (!down) state_.extend_leases();
}

Task<Response> Region::serve_state(Request request) {
  constexpr double kPollIntervalS = 0.01;
  if (request.path == "/follow") {
    const double hold_s = std::stod(net::query_field(request.query, "HoldMs")) / 1000;
    const double until = reactor_.now() + hold_s;
    while (reactor_.now() < until && (state_down_ || !state_.has_changes(request))) {
      Sleep pause(reactor_, kPollIntervalS);
      co_await pause;
    }
  }
  if (state_down_) co_return json_response(503);
  auto response = handle_state_request(request);
  if (request.method != "GET" && response.status == 200 && is_copied())
    copies_.spawn(copy_state_request(std::move(request), copy_delay_s()));
  co_return response;
}

Response Region::handle_state_request(const Request& request) {
  const auto writes_before = state_.writes;
  auto response = state_.handle(request);
  if (state_.writes != writes_before) on_write_();
  return response;
}

Task<void> Region::copy_state_request(Request request, double delay_s) {
  Sleep delay(reactor_, delay_s);
  co_await delay;
  if (!state_down_) handle_state_request(request);
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
    co_return json_response(200, w.take());
  }
  if (request.path == "/rentals/delete") {
    const wire::JsonDocument document(request.body);
    for (const auto& name : document.root()["Rigs"].GetArray()) {
      const auto found = workers_.find(name.GetString());
      if (found == workers_.end() || found->second->deleted) continue;
      found->second->deleted = true;
      found->second->stand_in.tasks.clear();
    }
    co_return json_response(200);
  }
  co_return request.method == "POST" ? create_rental(request) : list_rentals(request);
}

Response Region::create_rental(const Request& request) {
  const wire::JsonDocument document(request.body);
  const auto& fields = document.root();
  // The cloud has capacity for twice the planned fleet, so that lost machines can be replaced. In a
  // fragmentation run it creates no machines, so that only moves can free whole ones.
  const int available = plan_.fragments ? 0 : 2 * region_.workers - workers();
  const int count = std::min(fields["Count"].GetInt(), available);
  if (count <= 0) return json_response(503, R"({"error":"no capacity"})");
  const auto [entry, created] = rentals_by_id_.try_emplace(fields["Charter"].GetString());
  if (created) {
    wire::JsonWriter w;
    w.begin_object().key("Rigs").begin_array();
    for (int i = 0; i < count; ++i) {
      const double ready_at = reactor_.now() + plan_.boot_s * (0.6 + 0.9 * random_fraction());
      w.text(add_worker(fields["Yard"].GetString(), fields["Loaners"].GetBool(), ready_at)
                 .stand_in.id);
    }
    w.end_array().end_object();
    entry->second = w.take();
  }
  return json_response(200, entry->second);
}

Response Region::list_rentals(const Request& request) const {
  const std::size_t limit = std::stoul(net::query_field(request.query, "Most"));
  wire::JsonWriter w;
  w.begin_object().key("Rigs").begin_array();
  std::size_t rows = 0;
  auto position = workers_.upper_bound(net::query_field(request.query, "Since"));
  for (; position != workers_.end() && rows < limit; ++position) {
    const Worker& worker = *position->second;
    if (worker.deleted) continue;
    const auto& machine = worker.stand_in;
    w.begin_object().key("Id").text(machine.id).key("Address").text(machine.address);
    w.key("Frame").text(machine.kind.type).key("Yard").text(machine.kind.zone);
    w.key("Loaners").flag(machine.kind.spot);
    w.key("Stance").text(reactor_.now() < worker.ready_at ? "booting" : "running");
    w.key("HeldS").amount(reactor_.now() - machine.created_at).end_object();
    ++rows;
  }
  w.end_array().key("HasNext").flag(position != workers_.end()).end_object();
  return json_response(200, w.take());
}

// ---- workers ----

Region::Worker& Region::add_worker(const std::string& zone, bool spot, double ready_at) {
  constexpr int kIdDigits = 6, kWorkersPerSubnet = 250;
  auto worker = std::make_unique<Worker>(reactor_);
  const std::string number = std::to_string(++workers_created_);
  auto& stand_in = worker->stand_in;
  stand_in.id = "n-" + std::string(kIdDigits - number.size(), '0') + number;
  stand_in.address = "127." + std::to_string(10 + index_) + "." +
                     std::to_string(workers_created_ / kWorkersPerSubnet) + "." +
                     std::to_string(1 + workers_created_ % kWorkersPerSubnet) + ":9000";
  stand_in.kind = {"g8", zone, spot};
  stand_in.created_at = reactor_.now();
  worker->ready_at = ready_at;
  worker->controller_index = workers_created_ % region_.controllers;
  Worker& added = *worker;
  workers_.emplace(stand_in.id, std::move(worker));
  added.scope.spawn(run_agent(added));
  return added;
}

void Region::set_mute_share(double share) {
  for (auto& [id, worker] : workers_) worker->is_mute = random_fraction() < share;
}

Task<void> Region::execute_late(Worker& worker, Request request, double delay_s) {
  Sleep delay(reactor_, delay_s);
  co_await delay;
  if (!worker.deleted) worker.stand_in.handle_commands(request, environment_, reactor_.now());
}

Response Region::execute_commands(Worker& worker, const Request& request) {
  constexpr std::size_t kMaxRecorded = 1000;
  auto response = worker.stand_in.handle_commands(request, environment_, reactor_.now());
  if (copied_request_share_ <= 0 || response.status != 200) return response;
  if (last_commands_.size() == kMaxRecorded) last_commands_.pop_front();
  last_commands_.push_back({&worker, request});
  if (is_copied()) worker.scope.spawn(execute_late(worker, request, copy_delay_s()));
  return response;
}

void Region::repeat_last_commands() {
  constexpr double kMaxDelayS = 1;
  for (const auto& [worker, request] : last_commands_)
    worker->scope.spawn(execute_late(*worker, request, kMaxDelayS * random_fraction()));
}

void Region::set_failing_share(double share) {
  failing_since_.clear();
  for (const auto& [id, worker] : workers_) {
    if (random_fraction() < share) failing_since_[worker->stand_in.address] = reactor_.now();
  }
}

bool Region::fails_task(const testing::WorkerStandIn& worker, const wire::TaskName& task) const {
  const auto since = failing_since_.find(worker.address);
  if (since == failing_since_.end()) return false;
  const auto held = worker.tasks.find(wire::to_string(task));
  return held != worker.tasks.end() && held->second.state_since >= since->second;
}

Task<Response> Region::serve_worker(Worker& worker, Request request) {
  if (worker.deleted) co_return json_response(503);
  if (request.path == "/commands" && random_fraction() < late_command_share_) {
    constexpr double kMinDelayS = 2, kMaxExtraDelayS = 10;
    const double delay_s = kMinDelayS + kMaxExtraDelayS * random_fraction();
    worker.scope.spawn(execute_late(worker, std::move(request), delay_s));
    Sleep unanswered(reactor_, delay_s);
    co_await unanswered;
    co_return json_response(503);
  }
  if (request.path == "/commands" || !replica_handler_) co_return execute_commands(worker, request);
  auto serving = replica_handler_(worker.stand_in, std::move(request));
  auto response = co_await serving;
  co_return response;
}

Task<void> Region::run_agent(Worker& worker) {
  Sleep boot(reactor_, worker.ready_at - reactor_.now());
  co_await boot;
  auto& stand_in = worker.stand_in;
  worker.server = std::make_unique<net::HttpServer>(
      reactor_, net::ServerLimits{},
      [this, &worker](Request request) { return serve_worker(worker, std::move(request)); });
  if (!worker.server->listen(stand_in.address)) co_return;
  worker.scope.spawn(worker.server->run());
  stand_in.last_answered_sent_at = reactor_.now();
  while (!worker.deleted) {
    worker.has_unreported_changes =
        stand_in.advance_tasks(environment_, reactor_.now()) || worker.has_unreported_changes;
    const auto agent_epoch = stand_in.agent_epoch;
    stand_in.end_expired_lease(plan_.lease_s, reactor_.now());
    expired_leases_ += stand_in.agent_epoch == agent_epoch ? 0 : 1;
    const bool is_due = worker.has_unreported_changes || reactor_.now() >= worker.next_heartbeat_at;
    if (is_due && !worker.is_mute) {
      auto reporting = send_heartbeat(worker);
      co_await reporting;
    }
    Sleep pause(reactor_, kAgentTickS * (0.9 + 0.2 * random_fraction()));
    co_await pause;
  }
}

Task<void> Region::send_heartbeat(Worker& worker) {
  worker.has_unreported_changes = false;
  worker.next_heartbeat_at =
      reactor_.now() + plan_.heartbeat_interval_s * (0.75 + 0.5 * random_fraction());
  const double sent_at = reactor_.now();
  const auto agent_epoch = worker.stand_in.agent_epoch;
  Request request{"POST", "/checkin", "", worker.stand_in.next_heartbeat(), true};
  auto calling = worker.client.call(controller_address(worker.controller_index, 0),
                                    std::move(request), kHeartbeatTimeoutS);
  const auto reply = co_await calling;
  if (reply.status() == 200) {
    heartbeat_latencies_s_.push_back(reactor_.now() - sent_at);
  } else {
    ++failed_heartbeats_;
  }
  if (worker.deleted || agent_epoch != worker.stand_in.agent_epoch) co_return;
  if (reply.answered()) {
    process_heartbeat_response(worker, reply.response, sent_at);
  } else {
    worker.controller_index = (worker.controller_index + 1) % region_.controllers;
    worker.next_heartbeat_at = reactor_.now() + 1;
  }
}

void Region::process_heartbeat_response(Worker& worker, const Response& response, double sent_at) {
  auto& stand_in = worker.stand_in;
  const wire::JsonDocument document(response.body.empty() ? "{}" : response.body);
  if (response.status == 200) {
    const auto fencing_token = wire::read_count(document.root(), "KeyTurn").value_or(0);
    if (fencing_token < stand_in.fencing_token) return;
    worker.has_unreported_changes =
        worker.has_unreported_changes || fencing_token > stand_in.fencing_token;
    stand_in.fencing_token = fencing_token;
    stand_in.last_answered_sent_at = sent_at;
    const auto& commands = document.root()["Orders"];
    worker.has_unreported_changes = worker.has_unreported_changes || commands.Size() > 0;
    stand_in.execute_commands(commands, environment_, reactor_.now());
    return;
  }
  const auto leader = wire::read_text(document.root(), "Foreman").value_or("");
  const auto dash = leader.rfind('-');
  if (response.status == 421 && dash != std::string::npos) {
    worker.controller_index = std::stoi(leader.substr(dash + 1)) % region_.controllers;
    worker.next_heartbeat_at = reactor_.now();
    return;
  }
  worker.controller_index = (worker.controller_index + 1) % region_.controllers;
  worker.next_heartbeat_at = reactor_.now() + 1;
}

}  // namespace cranklock::lab
