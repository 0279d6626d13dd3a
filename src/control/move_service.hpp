// The leader's plan of moves: its record in the key-value store, and the drains of replicas.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control/leader_context.hpp"
#include "defrag/move_executor.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"

namespace cranklock::control {

inline constexpr const char* kMovesKey = "moves/record";
/// While this key exists, whatever its value, no plan begins and no task is stopped for one. The
/// operator writes and removes it.
inline constexpr const char* kMovesOffKey = "moves/off";

/// Runs the executor, writes what it wants stored, and sends its drain requests to the router.
///
/// Every write is conditional on the leader's key, on the record's revision and, if the record
/// holds a plan, on `moves/off` not existing. One without an answer is indeterminate: the record is
/// written again under the same conditions until one of the two writes is through (invariant 1).
class MoveService {
 public:
  /// Made when a leader term begins. The context outlives it.
  explicit MoveService(const LeaderContext& context);

  /// Reads the record; false when the key-value store did not answer with it.
  net::Task<bool> load();
  /// Makes plans, carries them out and stores them, until the leadership is lost.
  net::Task<void> run();
  /// Something has happened that a move may wait for. Called after each placement pass.
  void wake() { wake_.set(); }

 private:
  /// Searches for a plan if none is under way, at intervals that leave the processor free.
  void search_for_plan();
  /// Writes the record if it has to be written.
  net::Task<void> write_record();
  net::Task<void> handle_conflict(std::vector<std::string> failed_keys);
  net::Task<void> read_revision();
  /// Sends a drain request to the router and passes on its answer.
  net::Task<void> request_drain(defrag::DrainRequest request);
  void log_events();
  double now() const { return context_.now(); }
  std::int64_t wall_ms() const { return context_.services.reactor.wall_ms(); }

  const LeaderContext& context_;
  defrag::MoveExecutor executor_;
  net::Signal wake_;
  std::uint64_t revision_ = 0;     ///< of the record as last known; 0: there is none
  bool is_indeterminate_ = false;  ///< a write was not answered
  double next_write_at_ = 0;       ///< no write before, since the key-value store did not take one
  double next_search_at_ = 0;
  net::Scope scope_;  ///< last, so that its coroutines end before what they use
};

}  // namespace cranklock::control
