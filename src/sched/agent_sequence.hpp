// Orders the messages of one agent.
#pragma once

#include <compare>
#include <cstdint>

#include "wire/agent_protocol.hpp"

namespace cranklock::sched {

/// Sequence number of a message of one agent. The epoch increases each time the agent's lease
/// expires, the sequence with each message; a greater value is a newer message (invariant 4).
struct AgentSequence {
  std::uint64_t epoch = 0;  ///< 0: no message yet; agents start at 1
  std::uint64_t sequence = 0;
  auto operator<=>(const AgentSequence&) const = default;  // NOLINT(modernize-use-nullptr)
};

inline AgentSequence sequence_of(const wire::Heartbeat& heartbeat) {
  return {heartbeat.agent_epoch, heartbeat.sequence};
}

}  // namespace cranklock::sched
