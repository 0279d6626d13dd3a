// The messages between controllers and the agents on machines: heartbeats and commands.
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
  gang_peer_lost,          ///< another task of the gang is gone
  gang_incomplete,         ///< the gang was not complete in time
  error,                   ///< the task failed
  insufficient_resources,  ///< refused: the machine has not enough free
  other_attempt_present,   ///< refused: the machine holds another attempt of the task
  unknown_task,            ///< refused: there is no such job or task
};

/// What an agent says of one attempt that it holds.
struct TaskStatus {
  TaskName task;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitReason exit_reason = ExitReason::none;  ///< set once it has exited
  bool checkpoint_saved = false;              ///< when it exited
};

/// Periodic message of an agent. Those of one agent are ordered by agent epoch, then sequence.
struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t agent_epoch = 0;    ///< grows each time the agent's lease expires
  std::uint64_t sequence = 0;       ///< within the epoch
  std::uint64_t fencing_token = 0;  ///< the highest that the agent has seen
  /// Seconds until the cloud reclaims this spot machine, once that is announced.
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;
};
/// None if the body is malformed; agents are answered 400 then, whatever is wrong.
std::optional<Heartbeat> parse_heartbeat(std::string_view body);

enum class CommandKind {
  start,
  stop,
  forget,  ///< drop what is kept of an attempt that has exited (see invariant 5)
};
struct Command {
  CommandKind kind = CommandKind::start;
  TaskName task;
  std::uint64_t attempt = 0;
  double grace_s = 0;  ///< for stop: time to save a checkpoint
};

/// Body of the answer to a heartbeat.
std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<Command>& commands);
/// Body of a request that sends commands straight to an agent.
std::string commands_request(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                             const std::vector<Command>& commands);
/// Body of a node's answer when it may not answer this heartbeat. `controller`: where the agent
/// should go instead; empty if unknown.
std::string redirect_response(std::string_view controller);

}  // namespace cranklock::wire
