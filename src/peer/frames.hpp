// The frames that the controllers of a region send one another, and their binary form
// (peer/packing.hpp). Two versions of the software exchange them during an upgrade, so a field or
// kind is never changed under the same version number (invariant 15).
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "base/result.hpp"
#include "peer/packing.hpp"

namespace cranklock::peer {

inline constexpr std::uint8_t kFrameVersion = 2;
/// For a time since something that has not happened yet.
inline constexpr std::uint32_t kNever = 0xffffffff;

/// Periodic message of a controller: who it is, whether it leads and what it reaches.
struct PeerHeartbeat {
  std::string name;
  std::uint64_t fencing_token = 0;  ///< of its leadership; 0: it doesn't lead
  bool reaches_state = false;       ///< the key-value store has answered it lately
  /// Workers have sent it heartbeats lately, even if it could not answer them.
  bool hears_workers = false;
  std::uint64_t incarnation = 0;    ///< differs each time the process starts
  std::uint64_t sent_clock_ms = 0;  ///< sender's steady clock, for others to echo
  /// Fencing token in the newest peer heartbeat that the sender received from a leader, and that
  /// leader's clock in it.
  std::uint64_t echoed_fencing_token = 0, echoed_clock_ms = 0;
  /// Milliseconds since the sender last answered a worker under a lease delegation.
  std::uint32_t delegate_responded_ms = kNever;
  bool operator==(const PeerHeartbeat&) const = default;
};

/// A worker's heartbeat, which a heartbeat forwarder sends to the leader.
struct ForwardedHeartbeat {
  std::uint64_t id = 0;   ///< never used again, not even by a later incarnation of the forwarder
  std::string heartbeat;  ///< as the worker sent it: the JSON body of its request
  bool operator==(const ForwardedHeartbeat&) const = default;
};

/// The leader's answer to a forwarded heartbeat, which the forwarder passes on to the worker.
struct ForwardedResponse {
  std::uint64_t id = 0;      ///< of the ForwardedHeartbeat
  std::uint16_t status = 0;  ///< HTTP status for the worker
  std::uint64_t fencing_token = 0;
  /// Lease delegation: for so long, from the sending of the forwarded heartbeat, the forwarder may
  /// answer this worker without the leader.
  std::uint32_t delegation_ms = 0;
  std::string body;
  bool operator==(const ForwardedResponse&) const = default;
};

using Frame = std::variant<PeerHeartbeat, ForwardedHeartbeat, ForwardedResponse>;

/// The frame's bytes, header included.
std::string pack(const Frame& frame);

enum class UnpackError {
  incomplete,  ///< more bytes are needed
  malformed,   ///< not a frame of this version; the connection is of no further use
};
/// Takes one frame off the front of the buffer; after an error the buffer is as it was.
base::Result<Frame, UnpackError> unpack(std::string& buffer);

}  // namespace cranklock::peer
