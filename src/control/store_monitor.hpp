// What this controller knows from the key-value store of the store itself and of the leader.
#pragma once

#include <cstdint>
#include <string>

#include "control/services.hpp"
#include "net/task.hpp"

namespace cranklock::control {

/// Reads the leader key again and again. Hints only: no invariant rests on what this says.
class StoreMonitor {
 public:
  explicit StoreMonitor(Services services) : services_(services) {}

  /// Reads the leader key about every second, until cancelled.
  net::Task<void> run();

  /// Whether the store has lately answered this controller.
  bool reaches_store() const;
  /// Whether the store has ever answered.
  bool ever_reached_store() const { return last_answer_at_ > 0; }
  /// When the store last answered, in steady seconds; 0: never.
  double last_answer_at() const { return last_answer_at_; }
  /// The controller that the leader key last named; empty: none.
  const std::string& leader() const { return leader_; }
  /// The highest revision that the leader key was seen with.
  std::uint64_t leader_fencing_token() const { return leader_fencing_token_; }

  /// The store has answered a request just now.
  void note_answer() { last_answer_at_ = services_.reactor.now(); }
  /// Takes in what was read of the leader key.
  void note_leader(const store::ReadResult& found);
  /// This controller has become the leader, or is the leader no longer.
  void set_leader(std::string name) { leader_ = std::move(name); }

 private:
  Services services_;
  std::string leader_;
  std::uint64_t leader_fencing_token_ = 0;
  double last_answer_at_ = 0;
};

}  // namespace cranklock::control
