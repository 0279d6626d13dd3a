// Messages between controllers and the agents on machines: heartbeats and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/types.hpp"

namespace cranklock::wire {

enum class TaskState { fetching, waiting, running, checkpointing, exited };
enum class ExitReason {
  none,
  completed,
  stopped,                 ///< by a command
  gang_peer_lost,          ///< another task of the gang ended or was lost
  gang_incomplete,         ///< the gang did not start completely in time
  error,                   ///< the task failed
  insufficient_resources,  ///< refused: not enough free resources on the machine
  other_attempt_present,   ///< refused: the machine has another attempt of the task
  unknown_task,            ///< refused: the job or task does not exist
};

/// Status of one attempt on an agent's machine.
struct TaskStatus {
  TaskName task;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitReason exit_reason = ExitReason::none;  ///< set if the state is `exited`
  bool checkpoint_saved = false;              ///< whether a checkpoint was saved at the exit
};

/// Periodic message of an agent. The heartbeats of an agent are ordered by epoch, then by sequence.
struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t agent_epoch = 0;    ///< increases each time the agent's lease expires
  std::uint64_t sequence = 0;       ///< within the epoch
  std::uint64_t fencing_token = 0;  ///< highest token that the agent has seen
  /// Seconds until the cloud reclaims this spot machine, once announced.
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;
};
/// Returns none if the body is malformed; the controller then responds with 400.
std::optional<Heartbeat> parse_heartbeat(std::string_view body);

enum class CommandKind {
  start,
  stop,
  forget,  ///< discard the record of an exited attempt (invariant 5)
};
struct Command {
  CommandKind kind = CommandKind::start;
  TaskName task;
  std::uint64_t attempt = 0;
  double grace_s = 0;  ///< of `stop`: time to save a checkpoint
};

/// Body of the response to a heartbeat.
std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<Command>& commands);
/// Body of a request that sends commands directly to an agent.
std::string commands_request(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                             const std::vector<Command>& commands);
/// Body of the response of a controller that may not handle this heartbeat. `controller`: the
/// controller that the agent should use instead; empty if unknown.
std::string redirect_response(std::string_view controller);

}  // namespace cranklock::wire
