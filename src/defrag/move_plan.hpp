// A plan of moves as stored in the state service: the waiting job, the moves, and the step of each
// move. Pure data and its JSON encoding.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace cranklock::defrag {

/// The step of one task's move. While the task is on its source, the recorded step applies, and
/// `stopping`, once stored, permits the stop. Once the task has left its source, the step is
/// derived from placements and heartbeats (invariant 19).
enum class MoveStep {
  reserved,    ///< resources on the target are reserved; no request has been sent
  draining,    ///< a replica: the router has been requested to send it no new requests
  stopping,    ///< the stop is recorded and may be sent at any time
  freed,       ///< the source is confirmed free; not placed on the target yet
  restarting,  ///< placed on the target
  done,        ///< running on the target, or its task or job was completed or cancelled meanwhile
  diverted,    ///< left the source before its stop was recorded, or was placed on a machine other
               ///< than the target
};
/// The move needs no further action.
constexpr bool is_over(MoveStep step) {
  return step == MoveStep::done || step == MoveStep::diverted;
}
/// The source may have been instructed to stop the task, and the task is not running on the target
/// yet.
constexpr bool is_interrupted(MoveStep step) {
  return step == MoveStep::stopping || step == MoveStep::freed || step == MoveStep::restarting;
}
const char* to_string(MoveStep step);
std::optional<MoveStep> parse_move_step(const std::string& name);

/// The move of one task to another machine. The attempt identifies the placement that moves.
struct PlannedMove {
  wire::TaskName task;
  std::uint64_t attempt = 0;
  std::string source, target;
  MoveStep step = MoveStep::reserved;
  bool operator==(const PlannedMove&) const = default;
};

/// Number of tasks of the waiting job planned for one machine.
struct PlannedPlace {
  std::string machine;
  std::uint32_t tasks = 1;
  bool operator==(const PlannedPlace&) const = default;
};

struct MovePlan {
  std::string id;   ///< unique in the region: fencing token and number
  std::string job;  ///< the waiting job
  std::int64_t begun_ms = 0;
  double cost_s = 0;  ///< seconds of work lost, as estimated when the plan was begun
  double boot_s = 0;  ///< cost of waiting for new machines instead, summed over all tasks
  std::vector<PlannedPlace> places;
  std::vector<PlannedMove> moves;
  bool operator==(const MovePlan&) const = default;
};

/// A past move of a job, counted against its budget.
struct PastMove {
  std::string job;
  std::int64_t begun_ms = 0;
  bool operator==(const PastMove&) const = default;
};

/// The stored state of moves in a region, under one key: at most one plan, and the moves of the
/// last hour.
struct MoveRecord {
  std::optional<MovePlan> plan;
  std::vector<PastMove> past;
  bool operator==(const MoveRecord&) const = default;
};

std::string write_move_record(const MoveRecord& record);
/// Returns no value if the text is malformed.
std::optional<MoveRecord> read_move_record(const std::string& text);

}  // namespace cranklock::defrag
