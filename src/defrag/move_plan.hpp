// A plan of moves as it stands in the state service: for whom room is made, what moves whither, and
// how far each move is. Pure data and its JSON.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace cranklock::defrag {

/// How far one task's move is. What a record says of it is for people and for budgets; what is true
/// is derived from placements and reports (invariant 19).
enum class MoveStep {
  reserved,    ///< its target's room is held; nothing has been asked of anybody
  draining,    ///< a replica: the router has been asked to keep new requests from it
  stopping,    ///< its stop is written down and may be sent at any time
  freed,       ///< its source is proven free, and it waits for its target
  restarting,  ///< it is placed on its target
  done,        ///< it runs there, or was completed meanwhile
  diverted,    ///< it left its source by itself, or went elsewhere: nothing more to do
};
/// Nothing more is to be done for the move.
constexpr bool is_over(MoveStep step) {
  return step == MoveStep::done || step == MoveStep::diverted;
}
/// Its source may have been told to stop it, and it does not run again yet.
constexpr bool is_interrupted(MoveStep step) {
  return step == MoveStep::stopping || step == MoveStep::freed || step == MoveStep::restarting;
}
const char* to_string(MoveStep step);
std::optional<MoveStep> parse_move_step(const std::string& name);

/// One task's way to another machine. The attempt tells this placement from all others of the task.
struct PlannedMove {
  wire::TaskName task;
  std::uint64_t attempt = 0;
  std::string source, target;
  MoveStep step = MoveStep::reserved;
  bool operator==(const PlannedMove&) const = default;
};

/// Tasks of the waiting job that are meant for one machine.
struct PlannedPlace {
  std::string machine;
  std::uint32_t tasks = 1;
  bool operator==(const PlannedPlace&) const = default;
};

struct MovePlan {
  std::string id;   ///< of the plan, unique in the region: fencing token and number
  std::string job;  ///< that waits
  std::int64_t begun_ms = 0;
  double cost_s = 0;  ///< seconds of work, when it was begun
  double boot_s = 0;  ///< what waiting for machines would cost instead, for all tasks together
  std::vector<PlannedPlace> places;
  std::vector<PlannedMove> moves;
  bool operator==(const MovePlan&) const = default;
};

/// A move that a job has made, for its budget.
struct PastMove {
  std::string job;
  std::int64_t begun_ms = 0;
  bool operator==(const PastMove&) const = default;
};

/// All that is stored of moves in a region, under one key: at most one plan, and the moves of the
/// last hour.
struct MoveRecord {
  std::optional<MovePlan> plan;
  std::vector<PastMove> past;
  bool operator==(const MoveRecord&) const = default;
};

std::string write_move_record(const MoveRecord& record);
/// Nothing if it is malformed.
std::optional<MoveRecord> read_move_record(const std::string& text);

}  // namespace cranklock::defrag
