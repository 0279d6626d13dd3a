// Runs the leader's plan of moves: stores its record in the key-value store, and sends the drain
// requests for replicas.
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
/// While this key exists, whatever its value, no record that contains a plan can be written, so no
/// plan begins and no further task is chosen to be stopped. A stop that was stored before may still
/// be carried out. The operator writes and removes the key.
inline constexpr const char* kMovesOffKey = "moves/off";

/// Runs the executor, writes its records, and sends its drain requests to the router.
///
/// Every write is conditional on the leader's key, on the record's revision and, if the record
/// contains a plan, on `moves/off` not existing. A write without an answer is indeterminate: the
/// record desired by then is written with the same compared revisions, until one of the writes has
/// succeeded (invariant 1).
class MoveService {
 public:
  /// Constructed when a leader term begins. The context outlives the service.
  explicit MoveService(const LeaderContext& context);

  /// Reads the record; returns false if the read from the key-value store failed.
  net::Task<bool> load();
  /// Searches for plans, carries them out and stores them, until leadership is lost.
  net::Task<void> run();
  /// Called after each placement pass, since moves may depend on its result.
  void wake() { wake_.set(); }

 private:
  /// Searches for a plan if there is none, at intervals that limit CPU use.
  void search_for_plan();
  /// Writes the record if a write is pending or indeterminate.
  net::Task<void> write_record();
  net::Task<void> handle_conflict(std::vector<std::string> failed_keys);
  net::Task<void> read_revision();
  /// Sends a drain request to the router and passes its answer to the executor.
  net::Task<void> request_drain(defrag::DrainRequest request);
  void log_events();
  double now() const { return context_.now(); }
  std::int64_t wall_ms() const { return context_.services.reactor.wall_ms(); }

  const LeaderContext& context_;
  defrag::MoveExecutor executor_;
  net::Signal wake_;
  std::uint64_t revision_ = 0;  ///< of the last known record; 0: no record
  /// A write was not answered, or the revision was read again after a conflict: the stored record
  /// may differ from the last one known, so it is written even if no write is pending.
  bool is_indeterminate_ = false;
  double next_write_at_ = 0;  ///< earliest time of the next write, after a failed one
  double next_search_at_ = 0;
  net::Scope scope_;  ///< declared last, so that its coroutines end before the members they use
};

}  // namespace cranklock::control
