// Order of the messages of one agent.
#pragma once

#include <compare>
#include <cstdint>

#include "wire/agent_protocol.hpp"

namespace cranklock::sched {

/// Position of a message in the stream of messages of one agent. The epoch grows each time the
/// agent's lease expires, the sequence with each message, so a greater position is a newer message
/// (invariant 4).
struct AgentSequence {
  std::uint64_t epoch = 0;  ///< 0: no message yet; agents count from 1
  std::uint64_t sequence = 0;
  auto operator<=>(const AgentSequence&) const = default;  // NOLINT(modernize-use-nullptr)
};

inline AgentSequence sequence_of(const wire::Heartbeat& heartbeat) {
  return {heartbeat.agent_epoch, heartbeat.sequence};
}

}  // namespace cranklock::sched
