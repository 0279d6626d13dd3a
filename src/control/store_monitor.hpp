// Monitors the key-value store: whether it is reachable, and which leader it names.
#pragma once

#include <cstdint>
#include <string>

#include "control/services.hpp"
#include "net/task.hpp"

namespace cranklock::control {

/// Polls the leader key. The results are hints only: no invariant depends on them.
class StoreMonitor {
 public:
  explicit StoreMonitor(Services services) : services_(services) {}

  /// Reads the leader key about every second, until cancelled.
  net::Task<void> run();

  /// Whether the store has answered this controller recently.
  bool reaches_store() const;
  /// Whether the store has ever answered.
  bool ever_reached_store() const { return last_answer_at_ > 0; }
  /// When the store last answered, in steady seconds; 0 if never.
  double last_answer_at() const { return last_answer_at_; }
  /// The controller that the leader key last named; empty if none.
  const std::string& leader() const { return leader_; }
  /// The highest revision of the leader key seen so far.
  std::uint64_t leader_fencing_token() const { return leader_fencing_token_; }

  /// Records that the store has answered a request now.
  void note_answer() { last_answer_at_ = services_.reactor.now(); }
  /// Records the result of reading the leader key.
  void note_leader(const store::ReadResult& found);
  /// Sets the leader: the name of this controller when its term begins, empty when it ends.
  void set_leader(std::string name) { leader_ = std::move(name); }

 private:
  Services services_;
  std::string leader_;
  std::uint64_t leader_fencing_token_ = 0;
  double last_answer_at_ = 0;
};

}  // namespace cranklock::control
