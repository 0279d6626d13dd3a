#include "lab/chats.hpp"

#include <algorithm>
#include <utility>

#include "control/job_api.hpp"

namespace cranklock::lab {

using net::Request;
using net::Response;
using net::Sleep;
using net::Task;

namespace {

constexpr double kTimeout = 10;  ///< of a user for the answer to one request
constexpr std::size_t kMaxConnections = 4096;
constexpr std::size_t kMaxBody = std::size_t{64} * 1024;
constexpr const char* kChatPath = "/chat";
constexpr const char* kDrainPath = "/drains";

/// One request of a chat, as the user sends it to the router.
std::string write_turn(int chat, const std::string& job) {
  wire::JsonWriter w;
  w.begin_object().key("chat").integer(chat).key("job").text(job).end_object();
  return w.take();
}

/// The same as the router sends it to a replica.
std::string write_replica_turn(const testing::RouterStandIn::Replica& replica) {
  wire::JsonWriter w;
  w.begin_object().key("task").text(wire::to_string(replica.task));
  w.key("attempt").count(replica.attempt).end_object();
  return w.take();
}

}  // namespace

Chats::Chats(net::EvReactor& reactor, const FragmentsPlan& plan, Region& region, unsigned seed)
    : reactor_(reactor),
      plan_(plan),
      region_(region),
      random_(seed),
      client_(reactor, kMaxBody, kMaxConnections),
      router_(static_cast<std::size_t>(plan.max_chats)) {
  region.set_replica_server([this](const testing::WorkerStandIn& worker, Request request) {
    return serve_replica(worker, std::move(request));
  });
}

bool Chats::start(net::Scope& scope) {
  server_ = std::make_unique<net::HttpServer>(
      reactor_, many_connections(),
      [this](Request request) { return serve_router(std::move(request)); });
  if (!server_->listen(router_address())) return false;
  scope.spawn(server_->run());
  return true;
}

// ---- the router ----

bool Chats::runs(const testing::WorkerStandIn& worker, const std::string& task,
                 std::uint64_t attempt) const {
  const auto held = worker.tasks.find(task);
  return held != worker.tasks.end() && held->second.attempt == attempt &&
         held->second.state == wire::TaskState::running;
}

// A replica is in the router's list within so short a time of its start.
void Chats::look_at_replicas() {
  constexpr double kEvery = 0.02;
  const double now = reactor_.now();
  if (now - looked_at_ < kEvery) return;
  looked_at_ = now;
  std::vector<testing::RouterStandIn::Replica> replicas;
  region_.each_worker([&](const testing::WorkerStandIn& worker) {
    for (const auto& [name, held] : worker.tasks) {
      const auto task = *wire::parse_task(name);
      const bool serves = std::find(jobs_.begin(), jobs_.end(), task.job) != jobs_.end();
      if (!serves || !runs(worker, name, held.attempt)) continue;
      replicas.push_back({task, held.attempt, worker.id, worker.address});
    }
  });
  router_.set_replicas(std::move(replicas), now);
}

Task<Response> Chats::serve_router(Request request) {
  look_at_replicas();
  if (request.path == kDrainPath) co_return router_.handle(request, reactor_.now());
  if (request.path != kChatPath) co_return control::make_response(404, "{}");
  auto forwarding = forward(std::move(request));
  auto response = co_await forwarding;
  co_return response;
}

Task<Response> Chats::forward(Request request) {
  const wire::JsonDocument document(request.body);
  const auto chat = static_cast<int>(wire::read_count(document.root(), "chat").value_or(0));
  const auto job = wire::read_text(document.root(), "job").value_or("");
  const auto replica = router_.begin_request(chat, job, reactor_.now());
  if (!replica) co_return control::make_response(503, R"({"error":"no replica serves"})");
  Request turn{"POST", kChatPath, "", write_replica_turn(*replica), true};
  auto calling = client_.call(replica->address, std::move(turn), kTimeout);
  const auto reply = co_await calling;
  router_.end_request(chat);
  if (reply.status() == 200) co_return control::make_response(200, "{}");
  co_return control::make_response(502, R"({"error":"the replica did not answer: )" +
                                            wire::to_string(replica->task) + " on " +
                                            replica->machine + "\"}");
}

// ---- replicas ----

// Answers if it runs all the time that the answer takes.
Task<Response> Chats::serve_replica(const testing::WorkerStandIn& worker, Request request) {
  const wire::JsonDocument document(request.body);
  const auto task = wire::read_text(document.root(), "task").value_or("");
  const auto attempt = wire::read_count(document.root(), "attempt").value_or(0);
  const bool ran = runs(worker, task, attempt);
  Sleep thinking(reactor_, plan_.turn_s);
  co_await thinking;
  co_return control::make_response(ran && runs(worker, task, attempt) ? 200 : 503, "{}");
}

// ---- users ----

void Chats::begin(std::vector<std::string> jobs, net::Scope& scope) {
  jobs_ = std::move(jobs);
  began_ = reactor_.now();
  scope.spawn(open_chats());
}

Task<void> Chats::open_chats() {
  constexpr double kTick = 0.02;
  double due = 0;
  for (;;) {
    const double at = reactor_.now() - began_;
    const bool rush = at >= plan_.rush_from_s && at < plan_.rush_from_s + plan_.rush_for_s;
    due += kTick * plan_.chats_per_s * (rush ? plan_.rush_factor : 1);
    for (; due >= 1; --due) {
      const auto job = static_cast<std::size_t>(chance() * static_cast<double>(jobs_.size()));
      scope_.spawn(chat(++chats_, jobs_[job % jobs_.size()], chance() < plan_.endless_share));
    }
    Sleep pause(reactor_, kTick);
    co_await pause;
  }
}

Task<void> Chats::chat(int number, std::string job, bool endless) {
  ++in_progress_;
  for (int turn = 0; endless || turn < plan_.turns; ++turn) {
    const double sent = reactor_.now();
    Request request{"POST", kChatPath, "", write_turn(number, job), true};
    auto calling = client_.call(router_address(), std::move(request), kTimeout);
    const auto reply = co_await calling;
    ++requests_;
    slowest_s_ = std::max(slowest_s_, reactor_.now() - sent);
    if (reply.status() != 200) {
      ++dropped_;
      if (first_drop_.empty()) {
        first_drop_ = reply.answered() ? reply.response.body : std::string("no answer");
      }
    }
    Sleep pause(reactor_, plan_.pause_s * (0.5 + chance()));
    co_await pause;
  }
  router_.end_chat(number);
  --in_progress_;
}

}  // namespace cranklock::lab
