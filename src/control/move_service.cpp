#include "control/move_service.hpp"

#include <algorithm>
#include <utility>

#include "base/event_log.hpp"
#include "control/plan_log.hpp"
#include "control/record_keys.hpp"

namespace cranklock::control {

using defrag::DrainAnswer;
using defrag::DrainRequest;
using defrag::DropReason;
using net::Task;
using store::Status;

MoveService::MoveService(const LeaderContext& context)
    : context_(context),
      executor_(context.cluster, context.lease.fencing_token(),
                context.services.settings.operator_settings.defrag.drain.is_configured(),
                context.now()),
      wake_(context.services.reactor) {}

Task<bool> MoveService::load() {
  auto reading = context_.services.store.read(kMovesKey, kStoreTimeoutS);
  const auto found = co_await reading;
  if (found.status == Status::not_found) co_return true;
  if (found.status != Status::ok) co_return false;
  revision_ = found.value.revision;
  if (const auto record = defrag::read_move_record(found.value.data)) {
    executor_.load(*record, wall_ms(), now());
  } else {
    base::log_error("record malformed", base::field("key", kMovesKey));
  }
  co_return true;
}

Task<void> MoveService::run() {
  for (;;) {
    log_events();
    net::Signal::Wait wait(wake_, context_.services.settings.heartbeat_interval_s / 4);
    co_await wait;
    if (context_.leadership.is_lost()) co_return;
    executor_.advance(wall_ms(), now());
    search_for_plan();
    log_events();
    if (executor_.take_changed()) context_.state_changed.set();
    auto writing = write_record();
    co_await writing;
    for (auto& request : executor_.take_due_drains(now())) {
      scope_.spawn(request_drain(std::move(request)));
    }
  }
}

// Limits searches to about a fiftieth of the time, so that searching a large fleet on a small
// processor does not delay heartbeats, client requests and the renewal of the leader lease.
void MoveService::search_for_plan() {
  constexpr double kPausePerSearchTime = 50;  ///< multiple of the duration of the last search
  if (now() < next_search_at_ || executor_.has_plan() || context_.cluster.types().empty()) return;
  const double started_at = now();
  executor_.search(context_.services.store.max_value_bytes(), wall_ms(), started_at);
  const double took_s = now() - started_at;
  next_search_at_ = now() + std::max(context_.services.settings.heartbeat_interval_s,
                                     kPausePerSearchTime * took_s);
}

void MoveService::log_events() {
  for (const auto& event : executor_.take_events()) spdlog::info("{}", to_log_line(event));
}

Task<void> MoveService::write_record() {
  if (now() < next_write_at_) co_return;
  const auto pending = executor_.pending_write();
  if (!pending && !is_indeterminate_) co_return;
  // After an indeterminate write, the currently desired record is written, so that one of the two
  // writes takes effect.
  const defrag::MoveRecord record = pending ? *pending : executor_.desired();
  std::vector<wire::Compare> compares{{kLeaderKey, context_.lease.fencing_token()},
                                      {kMovesKey, revision_}};
  if (record.plan) compares.push_back({kMovesOffKey, 0});
  std::vector<wire::Mutation> mutations{{kMovesKey, defrag::write_move_record(record), 0}};
  auto writing = context_.services.store.compare_and_swap(std::move(compares), std::move(mutations),
                                                          kStoreTimeoutS);
  auto result = co_await writing;
  is_indeterminate_ = is_indeterminate_ || result.status == Status::indeterminate;
  if (result.status == Status::ok) {
    is_indeterminate_ = false;
    revision_ = result.revision;
    executor_.record_stored(record);
    wake_.set();
  } else if (result.status == Status::precondition_failed) {
    auto handling = handle_conflict(std::move(result.failed_keys));
    co_await handling;
  } else {
    next_write_at_ = now() + context_.services.settings.heartbeat_interval_s / 8;
  }
}

Task<void> MoveService::handle_conflict(std::vector<std::string> failed_keys) {
  const auto has_failed = [&](const char* key) {
    return std::find(failed_keys.begin(), failed_keys.end(), key) != failed_keys.end();
  };
  if (has_failed(kLeaderKey)) {
    context_.leadership.step_down(LeadershipLoss::leader_key_changed);
    co_return;
  }
  if (has_failed(kMovesOffKey)) {
    executor_.drop(DropReason::disabled, now());
    next_search_at_ = now() + context_.services.settings.lease_s;
  }
  auto reading = read_revision();
  co_await reading;
}

// Only this leader writes the record, so a changed revision comes from one of its own indeterminate
// writes, and the desired record remains authoritative.
Task<void> MoveService::read_revision() {
  auto reading = context_.services.store.read(kMovesKey, kStoreTimeoutS);
  const auto found = co_await reading;
  if (found.status == Status::ok) {
    revision_ = found.value.revision;
    is_indeterminate_ = true;
  } else if (found.status == Status::not_found) {
    revision_ = 0;
  }
}

Task<void> MoveService::request_drain(DrainRequest request) {
  const double sent_at = now();
  // A leader that may have been replaced must not take a replica out of service.
  if (!context_.lease.valid(sent_at)) {
    executor_.record_drain_answer(request, std::nullopt, sent_at, sent_at);
    co_return;
  }
  const auto& endpoint = context_.services.settings.operator_settings.defrag.drain;
  net::Request call{"POST", endpoint.path, "", defrag::write_drain_request(request), true};
  auto calling = context_.services.transport.call(endpoint.address, std::move(call),
                                                  context_.services.settings.heartbeat_interval_s);
  const auto reply = co_await calling;
  std::optional<DrainAnswer> answer;
  if (reply.status() == 200) answer = defrag::read_drain_answer(reply.response.body);
  if (request.lease_s <= 0) co_return;  // a cancellation: without it, the lease expires
  executor_.record_drain_answer(request, answer, sent_at, now());
  wake_.set();
}

}  // namespace cranklock::control
