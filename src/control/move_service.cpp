#include "control/move_service.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "control/record_keys.hpp"

namespace cranklock::control {

using defrag::DrainAnswer;
using defrag::DrainRequest;
using defrag::DropReason;
using net::Task;
using store::Status;

MoveService::MoveService(Services services, const LeaderLease& lease, sched::ClusterState& cluster,
                         net::Signal& work, Callbacks callbacks)
    : services_(services),
      leader_lease_(lease),
      cluster_(cluster),
      work_(work),
      callbacks_(std::move(callbacks)),
      executor_(cluster, lease.fencing_token(), services.settings.operators.defrag.drain.named(),
                services.reactor.now()),
      due_(services.reactor) {}

Task<bool> MoveService::load() {
  auto reading = services_.store.read(kMovesKey, kStoreTimeout);
  const auto found = co_await reading;
  if (found.status == Status::not_found) co_return true;
  if (found.status != Status::ok) co_return false;
  revision_ = found.value.revision;
  if (const auto record = defrag::read_move_record(found.value.data)) {
    executor_.load(*record, wall_ms(), now());
  } else {
    spdlog::error("the record of moves is malformed: no plan is taken over");
  }
  co_return true;
}

Task<void> MoveService::run() {
  for (;;) {
    log_plans();
    net::Signal::Wait wait(due_, services_.settings.heartbeat_interval_s / 4);
    co_await wait;
    if (callbacks_.is_lost()) co_return;
    executor_.advance(wall_ms(), now());
    look();
    log_plans();
    if (executor_.take_acted()) work_.set();
    auto writing = write();
    co_await writing;
    for (auto& request : executor_.take_due_drains(now())) {
      scope_.spawn(drain(std::move(request)));
    }
  }
}

// Guards reports, users and the renewal of the leader lease against a search of a large fleet on a
// small processor: it takes no more than so small a part of the time.
void MoveService::look() {
  constexpr double kRestAfterLook = 50;  // times what the last one took
  if (now() < look_after_ || executor_.has_plan() || cluster_.types().empty()) return;
  const double began = now();
  executor_.look(services_.store.max_value_bytes(), wall_ms(), began);
  const double took = now() - began;
  look_after_ = now() + std::max(services_.settings.heartbeat_interval_s, kRestAfterLook * took);
}

void MoveService::log_plans() {
  for (const auto& line : executor_.take_log_lines()) spdlog::info("{}", line);
}

Task<void> MoveService::write() {
  if (now() < write_after_) co_return;
  const auto wanted = executor_.to_store();
  if (!wanted && !is_unknown_) co_return;
  // After a write without an answer whatever is wanted now is written, so that one of the two wins.
  const defrag::MoveRecord record = wanted ? *wanted : executor_.wanted();
  std::vector<wire::Compare> compares{{kLeaderKey, leader_lease_.fencing_token()},
                                      {kMovesKey, revision_}};
  if (record.plan) compares.push_back({kMovesOffKey, 0});
  std::vector<wire::Mutation> mutations{{kMovesKey, defrag::write_move_record(record), 0}};
  auto writing =
      services_.store.compare_and_swap(std::move(compares), std::move(mutations), kStoreTimeout);
  const auto result = co_await writing;
  const auto compare_failed = [&](const char* key) {
    return std::find(result.failed_keys.begin(), result.failed_keys.end(), key) !=
           result.failed_keys.end();
  };
  is_unknown_ = is_unknown_ || result.status == Status::indeterminate;
  if (result.status == Status::ok) {
    is_unknown_ = false;
    revision_ = result.revision;
    executor_.note_stored(record);
    due_.set();
  } else if (result.status == Status::precondition_failed && compare_failed(kLeaderKey)) {
    callbacks_.lose("the leader's key has changed");
  } else if (result.status == Status::precondition_failed) {
    if (compare_failed(kMovesOffKey)) {
      executor_.drop(DropReason::off, now());
      look_after_ = now() + services_.settings.lease_s;
    }
    auto reading = read_revision();
    co_await reading;
  } else {
    write_after_ = now() + services_.settings.heartbeat_interval_s / 8;
  }
}

// Nobody but this leader writes the record: what has changed it is a write of ours without an
// answer, so what is wanted still decides.
Task<void> MoveService::read_revision() {
  auto reading = services_.store.read(kMovesKey, kStoreTimeout);
  const auto found = co_await reading;
  if (found.status == Status::ok) {
    revision_ = found.value.revision;
    is_unknown_ = true;
  } else if (found.status == Status::not_found) {
    revision_ = 0;
  }
}

Task<void> MoveService::drain(DrainRequest request) {
  const double sent = now();
  // Nobody who may have been replaced takes a replica out of service.
  if (!leader_lease_.valid(sent)) {
    executor_.drain_answered(request, std::nullopt, sent, sent);
    co_return;
  }
  const auto& endpoint = services_.settings.operators.defrag.drain;
  net::Request call{"POST", endpoint.path, "", defrag::write_drain_request(request), true};
  auto calling = services_.transport.call(endpoint.address, std::move(call),
                                          services_.settings.heartbeat_interval_s);
  const auto reply = co_await calling;
  std::optional<DrainAnswer> answer;
  if (reply.status() == 200) answer = defrag::read_drain_answer(reply.response.body);
  if (request.lease_s <= 0) co_return;  // taken back; its lease ends it in any case
  executor_.drain_answered(request, answer, sent, now());
  due_.set();
}

}  // namespace cranklock::control
