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

constexpr double kTimeoutS = 10;  ///< for a request to the router or a replica
constexpr std::size_t kMaxConnections = 4096;
constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;
constexpr const char* kChatPath = "/chat";
constexpr const char* kDrainPath = "/drains";

/// Body of a chat request from a user to the router.
std::string chat_request_body(int chat, const std::string& job) {
  wire::JsonWriter w;
  w.begin_object().key("chat").integer(chat).key("job").text(job).end_object();
  return w.take();
}

/// Body of a chat request from the router to a replica.
std::string replica_request_body(const testing::RouterStandIn::Replica& replica) {
  wire::JsonWriter w;
  w.begin_object().key("task").text(wire::to_string(replica.task));
  w.key("attempt").count(replica.attempt).end_object();
  return w.take();
}

}  // namespace

Chats::Chats(net::EvReactor& reactor, const FragmentationPlan& plan, Region& region, unsigned seed)
    : reactor_(reactor),
      plan_(plan),
      region_(region),
      random_(seed),
      client_(reactor, kMaxBodyBytes, kMaxConnections),
      router_(static_cast<std::size_t>(plan.max_chats)) {
  region.set_replica_handler([this](const testing::WorkerStandIn& worker, Request request) {
    return serve_replica(worker, std::move(request));
  });
}

bool Chats::start(net::Scope& scope) {
  server_ = std::make_unique<net::HttpServer>(
      reactor_, stand_in_server_limits(),
      [this](Request request) { return serve_router(std::move(request)); });
  if (!server_->listen(router_address())) return false;
  scope.spawn(server_->run());
  return true;
}

// ---- the router ----

bool Chats::is_running(const testing::WorkerStandIn& worker, const std::string& task,
                       std::uint64_t attempt) const {
  const auto held = worker.tasks.find(task);
  return held != worker.tasks.end() && held->second.attempt == attempt &&
         held->second.state == wire::TaskState::running;
}

// Updates the router's list of running replicas before a request, at most every 20 ms.
void Chats::refresh_replicas() {
  constexpr double kRefreshIntervalS = 0.02;
  const double now = reactor_.now();
  if (now - replicas_refreshed_at_ < kRefreshIntervalS) return;
  replicas_refreshed_at_ = now;
  std::vector<testing::RouterStandIn::Replica> replicas;
  region_.for_each_worker([&](const testing::WorkerStandIn& worker) {
    for (const auto& [name, held] : worker.tasks) {
      const auto task = *wire::parse_task(name);
      const bool serves =
          std::find(service_jobs_.begin(), service_jobs_.end(), task.job) != service_jobs_.end();
      if (!serves || !is_running(worker, name, held.attempt)) continue;
      replicas.push_back({task, held.attempt, worker.id, worker.address});
    }
  });
  router_.set_replicas(std::move(replicas), now);
}

Task<Response> Chats::serve_router(Request request) {
  refresh_replicas();
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
  Request replica_request{"POST", kChatPath, "", replica_request_body(*replica), true};
  auto calling = client_.call(replica->address, std::move(replica_request), kTimeoutS);
  const auto reply = co_await calling;
  router_.end_request(chat);
  if (reply.status() == 200) co_return control::make_response(200, "{}");
  co_return control::make_response(502, R"({"error":"the replica did not answer: )" +
                                            wire::to_string(replica->task) + " on " +
                                            replica->machine + "\"}");
}

// ---- replicas ----

// Responds with 200 if the same attempt runs at the start and at the end of the request, else with
// 503.
Task<Response> Chats::serve_replica(const testing::WorkerStandIn& worker, Request request) {
  const wire::JsonDocument document(request.body);
  const auto task = wire::read_text(document.root(), "task").value_or("");
  const auto attempt = wire::read_count(document.root(), "attempt").value_or(0);
  const bool ran_before = is_running(worker, task, attempt);
  Sleep generating(reactor_, plan_.turn_s);
  co_await generating;
  co_return control::make_response(ran_before && is_running(worker, task, attempt) ? 200 : 503,
                                   "{}");
}

// ---- users ----

void Chats::start_traffic(std::vector<std::string> jobs, net::Scope& scope) {
  service_jobs_ = std::move(jobs);
  started_at_ = reactor_.now();
  scope.spawn(start_chats());
}

Task<void> Chats::start_chats() {
  constexpr double kTickS = 0.02;
  double chats_due = 0;
  for (;;) {
    const double running_for_s = reactor_.now() - started_at_;
    const bool rush =
        running_for_s >= plan_.rush_from_s && running_for_s < plan_.rush_from_s + plan_.rush_for_s;
    chats_due += kTickS * plan_.chats_per_s * (rush ? plan_.rush_factor : 1);
    for (; chats_due >= 1; --chats_due) {
      const auto job =
          static_cast<std::size_t>(random_fraction() * static_cast<double>(service_jobs_.size()));
      scope_.spawn(run_chat(++chats_started_, service_jobs_[job % service_jobs_.size()],
                            random_fraction() < plan_.endless_share));
    }
    Sleep pause(reactor_, kTickS);
    co_await pause;
  }
}

Task<void> Chats::run_chat(int number, std::string job, bool endless) {
  ++in_progress_;
  for (int request_number = 0; endless || request_number < plan_.turns; ++request_number) {
    const double sent = reactor_.now();
    Request request{"POST", kChatPath, "", chat_request_body(number, job), true};
    auto calling = client_.call(router_address(), std::move(request), kTimeoutS);
    const auto reply = co_await calling;
    ++requests_;
    slowest_s_ = std::max(slowest_s_, reactor_.now() - sent);
    if (reply.status() != 200) {
      ++dropped_;
      if (first_drop_reason_.empty()) {
        first_drop_reason_ = reply.answered() ? reply.response.body : std::string("no answer");
      }
    }
    Sleep pause(reactor_, plan_.pause_s * (0.5 + random_fraction()));
    co_await pause;
  }
  router_.end_chat(number);
  --in_progress_;
}

}  // namespace cranklock::lab
