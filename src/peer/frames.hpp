// Frames exchanged by the controllers of a region, and their binary form (peer/packing.hpp). During
// an upgrade two versions of the software exchange frames, so a field or kind never changes without
// a new version number (invariant 15).
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "base/result.hpp"
#include "peer/packing.hpp"

namespace cranklock::peer {

inline constexpr std::uint8_t kFrameVersion = 2;
/// Value of a field with the milliseconds since an event if the event has not happened.
inline constexpr std::uint32_t kNeverMs = 0xffffffff;

/// Periodic message of a controller: its name, its leadership and its connectivity.
struct PeerHeartbeat {
  std::string name;
  std::uint64_t fencing_token = 0;  ///< of its leadership; 0: not the leader
  bool reaches_store = false;       ///< the key-value store has responded recently
  /// Agents have sent it heartbeats recently, whether or not it could respond.
  bool receives_heartbeats = false;
  std::uint64_t incarnation = 0;    ///< unique to each run of the process
  std::uint64_t sent_clock_ms = 0;  ///< sender's steady clock, echoed by receivers
  /// Fencing token and clock of the newest peer heartbeat that the sender received from a leader.
  std::uint64_t echoed_fencing_token = 0, echoed_clock_ms = 0;
  /// Milliseconds since the sender last responded to an agent under a lease delegation.
  std::uint32_t delegate_responded_ms = kNeverMs;
  bool operator==(const PeerHeartbeat&) const = default;
};

/// Heartbeat of an agent that a heartbeat forwarder sends to the leader.
struct ForwardedHeartbeat {
  std::uint64_t id = 0;   ///< never reused, not even by a later incarnation of the forwarder
  std::string heartbeat;  ///< JSON body of the agent's request, unchanged
  bool operator==(const ForwardedHeartbeat&) const = default;
};

/// Leader's response to a forwarded heartbeat, which the forwarder returns to the agent.
struct ForwardedResponse {
  std::uint64_t id = 0;      ///< of the ForwardedHeartbeat
  std::uint16_t status = 0;  ///< HTTP status for the agent
  /// For messages to this agent: the leader's, or a higher one of the same term.
  std::uint64_t fencing_token = 0;
  /// Lease delegation: duration, from the sending of the forwarded heartbeat, in which the
  /// forwarder may respond to this agent without the leader.
  std::uint32_t delegation_ms = 0;
  std::string body;
  bool operator==(const ForwardedResponse&) const = default;
};

using Frame = std::variant<PeerHeartbeat, ForwardedHeartbeat, ForwardedResponse>;

/// Returns the bytes of the frame, including its header.
std::string pack(const Frame& frame);

enum class UnpackError {
  incomplete,  ///< more bytes are needed
  malformed,   ///< not a frame of this version; the connection must be closed
};
/// Removes one frame from the front of the buffer; leaves the buffer unchanged on an error.
base::Result<Frame, UnpackError> unpack(std::string& buffer);

}  // namespace cranklock::peer
