#include "wire/agent_protocol.hpp"

#include "wire/enum_names.hpp"
#include "wire/json.hpp"

namespace cranklock::wire {
namespace {

constexpr EnumNames<TaskState, 5> kTaskStates{{{TaskState::fetching, "fetching"},
                                               {TaskState::waiting, "waiting"},
                                               {TaskState::running, "running"},
                                               {TaskState::checkpointing, "flushing"},
                                               {TaskState::exited, "exited"}}};
constexpr EnumNames<ExitReason, 8> kExitReasons{{{ExitReason::completed, "done"},
                                                 {ExitReason::stopped, "halted"},
                                                 {ExitReason::gang_peer_lost, "peers"},
                                                 {ExitReason::gang_incomplete, "incomplete"},
                                                 {ExitReason::error, "error"},
                                                 {ExitReason::insufficient_resources, "no_room"},
                                                 {ExitReason::other_attempt_present, "busy"},
                                                 {ExitReason::unknown_task, "no_such"}}};
constexpr EnumNames<CommandKind, 3> kCommandKinds{
    {{CommandKind::start, "start"}, {CommandKind::stop, "kill"}, {CommandKind::forget, "forget"}}};

std::optional<TaskStatus> read_task_status(const Json& object) {
  const auto name = read_text(object, "Tooth");
  const auto task = name ? parse_task(*name) : std::nullopt;
  const auto attempt = read_count(object, "Crank");
  const auto state = read_enum(kTaskStates, object, "Stance");
  if (!task || !attempt || !state) return std::nullopt;
  const auto exit_reason = read_enum(kExitReasons, object, "Cause");
  if (*state == TaskState::exited && !exit_reason) return std::nullopt;
  return TaskStatus{*task, *attempt, *state, exit_reason.value_or(ExitReason::none),
                    read_flag(object, "Kept").value_or(false)};
}

/// Reads the fields of the machine; returns false if one is absent or malformed.
bool read_machine(const Json& object, Heartbeat& heartbeat) {
  const auto machine = read_text(object, "Rig");
  const auto address = read_text(object, "Address");
  const auto type = read_text(object, "Frame");
  const auto zone = read_text(object, "Yard");
  const auto spot = read_flag(object, "Loaners");
  if (!machine || machine->empty() || !address || !type || !zone || !spot) return false;
  heartbeat.machine = *machine;
  heartbeat.address = *address;
  heartbeat.type = *type;
  heartbeat.zone = *zone;
  heartbeat.spot = *spot;
  return true;
}

/// Reads the fields that order heartbeats; returns false if one is absent or malformed.
bool read_ordering(const Json& object, Heartbeat& heartbeat) {
  const auto agent_epoch = read_count(object, "Shift");
  const auto sequence = read_count(object, "Tick");
  const auto fencing_token = read_count(object, "KeyTurn");
  if (!agent_epoch || !sequence || !fencing_token) return false;
  heartbeat.agent_epoch = *agent_epoch;
  heartbeat.sequence = *sequence;
  heartbeat.fencing_token = *fencing_token;
  return true;
}

bool read_preemption_notice(const Json& object, Heartbeat& heartbeat) {
  const Json* notice = find(object, "WarningS");
  if (notice == nullptr) return true;
  if (!notice->IsNumber()) return false;
  heartbeat.preemption_notice_s = notice->GetDouble();
  return true;
}

bool read_tasks(const Json& object, Heartbeat& heartbeat) {
  const Json* tasks = find(object, "Teeth");
  if (tasks == nullptr) return true;
  if (!tasks->IsArray()) return false;
  for (const auto& item : tasks->GetArray()) {
    auto task = read_task_status(item);
    if (!task) return false;
    heartbeat.tasks.push_back(std::move(*task));
  }
  return true;
}

std::optional<Heartbeat> read_heartbeat(const Json& object) {
  Heartbeat heartbeat;
  const bool valid = read_machine(object, heartbeat) && read_ordering(object, heartbeat) &&
                     read_preemption_notice(object, heartbeat) && read_tasks(object, heartbeat);
  if (!valid) return std::nullopt;
  return heartbeat;
}

void write_commands(JsonWriter& writer, const std::vector<Command>& commands) {
  writer.key("Orders").begin_array();
  for (const auto& command : commands) {
    writer.begin_object();
    writer.key("Verb").text(name_of(kCommandKinds, command.kind));
    writer.key("Tooth").text(to_string(command.task));
    writer.key("Crank").count(command.attempt);
    if (command.kind == CommandKind::stop) writer.key("SlackS").amount(command.grace_s);
    writer.end_object();
  }
  writer.end_array();
}

}  // namespace

std::optional<Heartbeat> parse_heartbeat(std::string_view body) {
  return parse_object(body, read_heartbeat);
}

std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<Command>& commands) {
  JsonWriter writer;
  writer.begin_object().key("KeyTurn").count(fencing_token);
  write_commands(writer, commands);
  writer.end_object();
  return writer.take();
}

std::string commands_request(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                             const std::vector<Command>& commands) {
  JsonWriter writer;
  writer.begin_object().key("KeyTurn").count(fencing_token).key("Shift").count(agent_epoch);
  write_commands(writer, commands);
  writer.end_object();
  return writer.take();
}

std::string redirect_response(std::string_view controller) {
  JsonWriter writer;
  writer.begin_object();
  if (!controller.empty()) writer.key("Foreman").text(controller);
  writer.end_object();
  return writer.take();
}

}  // namespace cranklock::wire
