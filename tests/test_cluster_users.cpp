// The users of the test cluster, who submit, query and cancel jobs according to UserBehavior.
#include "test_cluster_internals.hpp"

namespace cranklock::testing {

using net::Response;
using net::Sleep;
using wire::TaskState;

net::Task<std::optional<Response>> TestCluster::send_user_request(int node, std::string method,
                                                                  std::string path,
                                                                  std::string body) {
  constexpr double kTimeoutS = 5;
  const auto user_request = rules.on_request(method, path, body);
  auto asking = exchange(node, {method, path, "", body, true}, kTimeoutS);
  auto response = co_await asking;
  if (response) rules.on_response(user_request, response->status, response->body, reactor.now());
  co_return response;
}

net::Task<void> TestCluster::query_once(int node, wire::JobSpec spec, bool submits) {
  constexpr double kMaxDelay = 0.01;
  Sleep delay(reactor, kMaxDelay * random_fraction());
  co_await delay;
  auto asking =
      send_user_request(node, submits ? "POST" : "GET",
                        submits ? "/v1/jobs" : "/v1/jobs/" + spec.id, submits ? to_json(spec) : "");
  co_await asking;
}

void TestCluster::query_all_nodes(const wire::JobSpec& spec) {
  for (int node = 0; node < nodes(); ++node) {
    scope_.spawn(query_once(node, spec, false));
    scope_.spawn(query_once(node, spec, true));
  }
}

void TestCluster::add_user(const wire::JobSpec& spec, UserBehavior behavior) {
  scope_.spawn(follow_job(spec, behavior));
}

net::Task<void> TestCluster::follow_job(wire::JobSpec spec, UserBehavior behavior) {
  const double began = reactor.now();
  const auto path = "/v1/jobs/" + spec.id;
  std::string known;  // state in the last successful response; empty: not accepted yet
  for (;;) {
    const bool cancels =
        behavior.cancel_after_s >= 0 && reactor.now() - began >= behavior.cancel_after_s;
    std::optional<Response> response;
    // A submission or cancellation without a confirmation is repeated.
    if (known.empty()) {
      auto asking = send_user_request(random_node(), "POST", "/v1/jobs", to_json(spec));
      response = co_await asking;
    } else {
      auto asking = send_user_request(random_node(), cancels ? "POST" : "GET",
                                      cancels ? path + "/withdraw" : path, "");
      response = co_await asking;
    }
    if (response && (response->status == 200 || response->status == 201)) {
      const wire::JsonDocument document(response->body);
      const auto state = wire::read_text(document.root(), "Stance").value_or("");
      if (behavior.queries_all_nodes && state != known) query_all_nodes(spec);
      known = state;
      if (state == "done" || state == "withdrawn") co_return;
    }
    Sleep pause(reactor, cancels || known.empty() ? 1.0 : 0.3 + 0.4 * random_fraction());
    co_await pause;
    const bool awaits_end = behavior.cancel_at_end && behavior.cancel_after_s < 0;
    if (awaits_end && has_ending_task(spec.id)) behavior.cancel_after_s = 0;
  }
}

bool TestCluster::has_ending_task(const std::string& job) const {
  constexpr double kShortBeforeEnd = 0.5;
  for (const auto& [id, worker] : workers) {
    for (const auto& [name, task] : worker->tasks) {
      const bool ends = task.state == TaskState::exited ||
                        reactor.now() - task.state_since > run_time(name) - kShortBeforeEnd;
      if (name.starts_with(job + "/") && ends) return true;
    }
  }
  return false;
}

}  // namespace cranklock::testing
