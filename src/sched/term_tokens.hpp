// The fencing tokens of one leader term.
#pragma once

#include <algorithm>
#include <cstdint>

#include "sched/machine.hpp"

namespace cranklock::sched {

/// The range of fencing tokens that belong to one leader term.
///
/// The first is the revision of the transaction that took the leader key. Each later successful
/// write that is conditional on that key has a higher revision, below the first token of any later
/// term, so it may serve as a higher token of the same term (invariant 5).
class TermTokens {
 public:
  explicit TermTokens(std::uint64_t first) : first_(first), newest_(first) {}

  /// Records the revision of a successful write that was conditional on this term's leader key.
  void record_write(std::uint64_t revision) { newest_ = std::max(newest_, revision); }
  std::uint64_t first() const { return first_; }
  std::uint64_t newest() const { return newest_; }
  /// The token that messages to this agent carry.
  std::uint64_t for_agent(const AgentStatus& agent) const {
    return std::max(first_, agent.fencing_token);
  }
  /// Whether an agent that shows this token has accepted a message of this term.
  bool contains(std::uint64_t token) const { return first_ <= token && token <= newest_; }
  /// Whether the token can only come from a later term.
  bool is_superseded_by(std::uint64_t token) const { return token > newest_; }

 private:
  std::uint64_t first_, newest_;
};

}  // namespace cranklock::sched
