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

void WorkerStandIn::end_lease(double lease_s, double now) {
  if (!lease_over(lease_s, now)) return;
  ++agent_epoch;
  tasks.clear();
  answered_sent = now;
}

bool WorkerStandIn::progress(TaskEnvironment& environment, double now) {
  bool changed = false;
  for (auto& [name, t] : tasks) {
    const auto task = *wire::parse_task(name);
    if (t.state == TaskState::fetching && now - t.since > environment.fetch_s(task)) {
      if (environment.is_completed(task)) {
        t = {t.attempt, TaskState::exited, ExitReason::completed, now};
        changed = true;
        continue;
      }
      const bool runs = environment.starts(*this, task);
      t = {t.attempt, runs ? TaskState::running : TaskState::waiting, ExitReason::none, now};
      changed = true;
    }
    if (t.state == TaskState::waiting && environment.gang_complete(task, t.attempt)) {
      t = {t.attempt, TaskState::running, ExitReason::none, now};
      changed = true;
    }
    if (t.state == TaskState::running && environment.fails(*this, task)) {
      t = {t.attempt, TaskState::exited, ExitReason::error, now};
      changed = true;
      continue;
    }
    if (t.state == TaskState::running && now - t.since > environment.run_s(task)) {
      t = {t.attempt, TaskState::exited, ExitReason::completed, now};
      environment.completed(task);
      changed = true;
    }
  }
  return changed;
}

void WorkerStandIn::execute(const Json& commands, TaskEnvironment& environment, double now) {
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

std::string WorkerStandIn::heartbeat() {
  JsonWriter j;
  j.begin_object().key("Rig").text(id).key("Address").text(address).key("Frame").text(kind.type);
  j.key("Yard").text(kind.zone).key("Loaners").flag(kind.spot).key("Shift").count(agent_epoch);
  j.key("Tick").count(++sequence).key("KeyTurn").count(fencing_token);
  if (preemption_notice_s) j.key("WarningS").amount(*preemption_notice_s);
  j.key("Teeth").begin_array();
  for (const auto& [name, t] : tasks) {
    j.begin_object().key("Tooth").text(name).key("Crank").count(t.attempt);
    j.key("Stance").text(state_name(t.state));
    if (t.state == TaskState::exited) {
      const bool failed = t.exit_reason == ExitReason::error;
      j.key("Cause").text(t.exit_reason == ExitReason::completed ? "done"
                          : failed                               ? "error"
                                                                 : "halted");
    }
    j.end_object();
  }
  j.end_array().end_object();
  return j.take();
}

net::Response WorkerStandIn::commands(const net::Request& request, TaskEnvironment& environment,
                                      double now) {
  progress(environment, now);
  const JsonDocument document(request.body);
  const auto told = document.root()["KeyTurn"].GetUint64();
  if (told < fencing_token || document.root()["Shift"].GetUint64() != agent_epoch) {
    return control::make_response(409, heartbeat());
  }
  fencing_token = told;
  execute(document.root()["Orders"], environment, now);
  return control::make_response(200, heartbeat());
}

}  // namespace cranklock::testing
