#include "control/scale_out_requester.hpp"

#include <algorithm>
#include <string>

#include "base/event_log.hpp"

namespace cranklock::control {

using cloud::ScaleOutResult;
using net::Sleep;
using net::Task;
using sched::MachineKind;

void ScaleOutRequester::request(const std::map<MachineKind, int>& machines) {
  for (const auto& [kind, count] : machines) {
    for (int left = count; left > 0; left -= cloud::kMaxMachinesPerRequest) {
      scope_.spawn(send_request(kind, std::min(left, cloud::kMaxMachinesPerRequest)));
    }
  }
}

bool ScaleOutRequester::is_unavailable(const MachineKind& kind) const {
  const auto entry = unavailable_until_.find(kind);
  return entry != unavailable_until_.end() && entry->second > context_.now();
}

void ScaleOutRequester::forget_expired(double now) {
  std::erase_if(unavailable_until_, [&](const auto& entry) { return entry.second < now; });
}

Task<void> ScaleOutRequester::send_request(MachineKind kind, int machines) {
  // The fencing token makes the name unique across terms, the sequence number within this one.
  const std::string name = "r-" + std::to_string(context_.lease.fencing_token()) + "-" +
                           std::to_string(++last_sequence_);
  for (;;) {
    if (!context_.lease.valid(context_.now())) co_return;
    auto requesting =
        context_.services.cloud.scale_out({name, kind.type, kind.zone, kind.spot, machines});
    const auto result = co_await requesting;
    if (handle_result(result, kind, machines)) co_return;
    Sleep pause(context_.services.reactor, context_.services.settings.heartbeat_interval_s);
    co_await pause;
  }
}

bool ScaleOutRequester::handle_result(const ScaleOutResult& result, const MachineKind& kind,
                                      int machines) {
  switch (result.kind) {
    case ScaleOutResult::Kind::granted:
      add_machines(result, kind);
      if (static_cast<int>(result.machines.size()) < machines) mark_unavailable(kind);
      context_.state_changed.set();
      return true;
    case ScaleOutResult::Kind::no_capacity:
      base::log_info("capacity unavailable", base::field("type", kind.type),
                     base::field("zone", kind.zone), base::field("spot", kind.spot));
      mark_unavailable(kind);
      context_.cluster.mark_changed();
      return true;
    case ScaleOutResult::Kind::rejected:
      return true;  // the pool's next scaling step, after a cooldown, sends a new request
    case ScaleOutResult::Kind::indeterminate:
      break;  // the request may have been executed
  }
  return false;
}

void ScaleOutRequester::add_machines(const ScaleOutResult& result, const MachineKind& kind) {
  for (const auto& id : result.machines) {
    if (!machines_.is_deleted(id))
      context_.cluster.upsert_machine(id, kind, context_.now()).cloud.provisioned_by_this_leader =
          true;
  }
}

void ScaleOutRequester::mark_unavailable(const MachineKind& kind) {
  unavailable_until_[kind] =
      context_.now() + context_.services.settings.operator_settings.scaler.scale_out_cooldown_s;
}

}  // namespace cranklock::control
