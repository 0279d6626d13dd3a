#include "worker_stand_in.hpp"

#include "control/job_api.hpp"

namespace cranklock::testing {

using wire::ExitReason;
using wire::Json;
using wire::JsonDocument;
using wire::JsonWriter;
using wire::TaskState;

namespace {

const char* state_name(TaskState state) {
  switch (state) {
    case TaskState::fetching:
      return "fetching";
    case TaskState::waiting:
      return "waiting";
    case TaskState::running:
      return "running";
    case TaskState::checkpointing:
      return "flushing";
    case TaskState::exited:
      return "exited";
  }
  return "";
}

}  // namespace

void WorkerStandIn::end_expired_lease(double lease_s, double now) {
  if (!is_lease_expired(lease_s, now)) return;
  ++agent_epoch;
  tasks.clear();
  last_answered_sent_at = now;
}

bool WorkerStandIn::advance_tasks(TaskEnvironment& environment, double now) {
  bool changed = false;
  for (auto& [name, held_task] : tasks) {
    const auto task = *wire::parse_task(name);
    if (held_task.state == TaskState::fetching &&
        now - held_task.state_since > environment.fetch_s(task)) {
      if (environment.is_completed(task)) {
        held_task = {held_task.attempt, TaskState::exited, ExitReason::completed, now};
        changed = true;
        continue;
      }
      const bool starts_now = environment.on_image_fetched(*this, task);
      held_task = {held_task.attempt, starts_now ? TaskState::running : TaskState::waiting,
                   ExitReason::none, now};
      changed = true;
    }
    if (held_task.state == TaskState::waiting &&
        environment.is_gang_ready(task, held_task.attempt)) {
      held_task = {held_task.attempt, TaskState::running, ExitReason::none, now};
      changed = true;
    }
    if (held_task.state == TaskState::running && environment.must_fail(*this, task)) {
      held_task = {held_task.attempt, TaskState::exited, ExitReason::error, now};
      changed = true;
      continue;
    }
    if (held_task.state == TaskState::running &&
        now - held_task.state_since > environment.run_s(task)) {
      held_task = {held_task.attempt, TaskState::exited, ExitReason::completed, now};
      environment.on_task_completed(task);
      changed = true;
    }
  }
  return changed;
}

void WorkerStandIn::execute_commands(const Json& commands, TaskEnvironment& environment,
                                     double now) {
  for (const auto& command : commands.GetArray()) {
    const std::string command_kind = command["Verb"].GetString(),
                      name = command["Tooth"].GetString();
    const auto attempt = command["Crank"].GetUint64();
    const auto it = tasks.find(name);
    const bool held = it != tasks.end() && it->second.attempt == attempt;
    if (command_kind == "start" && !held) {
      environment.on_start_command(*wire::parse_task(name));
      tasks[name] = {attempt, TaskState::fetching, ExitReason::none, now};
    } else if (command_kind == "kill" && held && it->second.state != TaskState::exited) {
      it->second = {attempt, TaskState::exited, ExitReason::stopped, now};
    } else if (command_kind == "forget" && held && it->second.state == TaskState::exited) {
      tasks.erase(it);
    }
  }
}

std::string WorkerStandIn::next_heartbeat() {
  JsonWriter writer;
  writer.begin_object().key("Rig").text(id).key("Address").text(address).key("Frame").text(
      kind.type);
  writer.key("Yard").text(kind.zone).key("Loaners").flag(kind.spot).key("Shift").count(agent_epoch);
  writer.key("Tick").count(++sequence).key("KeyTurn").count(fencing_token);
  if (preemption_notice_s) writer.key("WarningS").amount(*preemption_notice_s);
  writer.key("Teeth").begin_array();
  for (const auto& [name, held_task] : tasks) {
    writer.begin_object().key("Tooth").text(name).key("Crank").count(held_task.attempt);
    writer.key("Stance").text(state_name(held_task.state));
    if (held_task.state == TaskState::exited) {
      const bool failed = held_task.exit_reason == ExitReason::error;
      writer.key("Cause").text(held_task.exit_reason == ExitReason::completed ? "done"
                               : failed                                       ? "error"
                                                                              : "halted");
    }
    writer.end_object();
  }
  writer.end_array().end_object();
  return writer.take();
}

net::Response WorkerStandIn::handle_commands(const net::Request& request,
                                             TaskEnvironment& environment, double now) {
  advance_tasks(environment, now);
  const JsonDocument document(request.body);
  const auto received_token = document.root()["KeyTurn"].GetUint64();
  if (received_token < fencing_token || document.root()["Shift"].GetUint64() != agent_epoch) {
    return control::make_response(409, next_heartbeat());
  }
  fencing_token = received_token;
  execute_commands(document.root()["Orders"], environment, now);
  return control::make_response(200, next_heartbeat());
}

}  // namespace cranklock::testing
