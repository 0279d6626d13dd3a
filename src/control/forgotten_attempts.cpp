#include "control/forgotten_attempts.hpp"

#include <cstddef>
#include <cstdint>

#include "base/event_log.hpp"

namespace cranklock::control {
namespace {

/// How many attempts are remembered: the number that fits into a share of the controller's memory.
std::size_t max_remembered(const base::Settings& settings) {
  constexpr double kMemoryShare = 1.0 / 64;
  constexpr double kBytesPerAttempt = 250;
  return static_cast<std::size_t>(base::memory_bytes(settings, kMemoryShare) / kBytesPerAttempt);
}

std::string key_of(const std::string& machine, const wire::TaskName& task, std::uint64_t attempt) {
  return machine + " " + wire::to_string(task) + "@" + std::to_string(attempt);
}

}  // namespace

ForgottenAttempts::ForgottenAttempts(const LeaderContext& context)
    : context_(context), forgotten_(max_remembered(context.services.settings)) {}

void ForgottenAttempts::record(const std::string& machine, const wire::Command& forget) {
  const bool job_over = context_.cluster.job(forget.task.job) == nullptr;
  ++(job_over ? context_.counters.forgets_job_over : context_.counters.forgets_task_over);
  base::log_debug("attempt forgotten", base::field("task", wire::to_string(forget.task)),
                  base::field("attempt", forget.attempt), base::field("machine", machine),
                  base::field("reason", job_over ? "job over" : "task over"));
  forgotten_.put(key_of(machine, forget.task, forget.attempt), {});
}

void ForgottenAttempts::check(const wire::Heartbeat& heartbeat) {
  const sched::Machine* machine = context_.cluster.machine(heartbeat.machine);
  if (machine == nullptr || machine->agent.unknown_tasks == 0) return;
  for (const auto& status : heartbeat.tasks) {
    if (status.state == wire::TaskState::exited) continue;
    const std::string key = key_of(heartbeat.machine, status.task, status.attempt);
    const Forgotten* forgotten = forgotten_.find(key);
    if (forgotten == nullptr || forgotten->is_reported) continue;
    forgotten_.put(key, {true});
    ++context_.counters.forgotten_reported;
    base::log_error("forgotten attempt reported", base::field("task", wire::to_string(status.task)),
                    base::field("attempt", status.attempt),
                    base::field("machine", heartbeat.machine),
                    base::field("agent_epoch", heartbeat.agent_epoch),
                    base::field("agent_token", heartbeat.fencing_token),
                    base::field("fencing_token", context_.lease.fencing_token()));
  }
}

}  // namespace cranklock::control
