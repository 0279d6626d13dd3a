#include "control/machine_deleter.hpp"

#include <algorithm>

#include "base/event_log.hpp"

namespace cranklock::control {

using cloud::DeletionResult;
using net::Sleep;
using net::Task;
using sched::Machine;

namespace {

bool holds_cancelled_task(const Machine& machine) {
  return std::any_of(
      machine.tasks.begin(), machine.tasks.end(),
      [](const sched::PlacementRef& placement) { return placement.job->cancelled(); });
}

}  // namespace

MachineDeleter::MachineDeleter(const LeaderContext& context)
    : context_(context), wake_(context.services.reactor) {}

void MachineDeleter::terminate(Machine& machine, TerminationReason reason) {
  if (machine.cloud.terminating) return;
  machine.cloud.terminating = true;
  base::log_info("machine terminating", base::field("machine", machine.id),
                 base::field("type", machine.kind.type), base::field("zone", machine.kind.zone),
                 base::field("spot", machine.kind.spot), base::field("reason", to_string(reason)));
  context_.cluster.mark_changed();
  wake_.set();
}

// A cancelled task must end in time even while the leader lease cannot be renewed; no leader would
// continue it. A leader whose process was paused may know neither that the task has ended since nor
// what its successor has placed on the machine, so it has to renew its lease first.
bool MachineDeleter::may_delete(const Machine& machine) const {
  if (context_.lease.valid(context_.now())) return true;
  return holds_cancelled_task(machine) && context_.lease.may_still_lead(context_.now());
}

std::vector<std::string> MachineDeleter::next_batch() const {
  std::vector<std::string> batch;
  std::vector<std::string> wrapped_around;
  for (const auto& [id, machine] : context_.cluster.machines()) {
    if (!machine.cloud.terminating || !may_delete(machine)) continue;
    auto& names = id > last_in_batch_ ? batch : wrapped_around;
    if (names.size() < max_batch_) names.push_back(id);
  }
  for (auto& id : wrapped_around) {
    if (batch.size() < max_batch_) batch.push_back(std::move(id));
  }
  return batch;
}

// The cloud rejects a whole request if it refuses to delete one of the machines in it. The next
// request therefore names half as many, and other machines, until the refused machine is named
// alone.
void MachineDeleter::handle_result(const std::vector<std::string>& batch, DeletionResult result) {
  if (result == DeletionResult::indeterminate) return;
  last_in_batch_ = batch.back();
  if (result == DeletionResult::rejected) {
    base::log_error("machine deletion rejected", base::field("machines", batch.size()),
                    base::field("first", batch.front()));
    max_batch_ = std::max<std::size_t>(batch.size() / 2, 1);
    return;
  }
  max_batch_ = std::min(2 * max_batch_, cloud::kMaxDeletions);
  record_deleted(batch);
  for (const auto& machine : batch) context_.cluster.remove_machine(machine, context_.now());
  context_.state_changed.set();
}

void MachineDeleter::record_deleted(const std::vector<std::string>& batch) {
  // As a multiple of the list lag or of the agent lease, whichever is longer.
  constexpr double kRetentionFactor = 20;
  const auto& settings = context_.services.settings;
  const double retention_s = kRetentionFactor * std::max(settings.list_lag_s, settings.lease_s);
  std::erase_if(deleted_at_,
                [&](const auto& entry) { return entry.second < context_.now() - retention_s; });
  for (const auto& machine : batch) deleted_at_[machine] = context_.now();
}

Task<void> MachineDeleter::run() {
  for (;;) {
    net::Signal::Wait wait(wake_, context_.services.settings.heartbeat_interval_s);
    co_await wait;
    const auto batch = next_batch();
    if (batch.empty()) continue;
    const bool is_full = batch.size() == max_batch_;
    auto deleting = context_.services.cloud.delete_machines(batch);
    const auto result = co_await deleting;
    handle_result(batch, result);
    if (result == DeletionResult::deleted) {
      if (is_full) wake_.set();
      continue;
    }
    Sleep pause(context_.services.reactor, context_.services.settings.heartbeat_interval_s / 2);
    co_await pause;
  }
}

}  // namespace cranklock::control
