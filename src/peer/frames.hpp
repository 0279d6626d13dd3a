// What controllers tell each other: packed structs, each led by its length, the version and its
// kind; all numbers big-endian.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "peer/packing.hpp"

namespace cranklock::peer {

inline constexpr std::uint8_t kVersion = 2;
inline constexpr std::uint32_t kNever = 0xffffffff;

/// Who is there, and what it reaches.
struct PeerHeartbeat {
  std::string name;
  std::uint64_t fencing_token = 0;  ///< of its leadership; 0: it doesn't lead
  bool reaches_state = false;       ///< the state service answered it lately
  bool hears_workers = false;       ///< workers have reported to it lately, be it in vain
  std::uint64_t incarnation = 0;    ///< another one each time the process starts
  std::uint64_t sent_clock_ms = 0;  ///< its steady clock, for others to echo
  /// The newest peer heartbeat that it heard from a leader: whose fencing token, and that leader's
  /// clock.
  std::uint64_t echoed_fencing_token = 0, echoed_clock_ms = 0;
  /// How long ago it last answered a worker in a leader's stead.
  std::uint32_t delegate_responded_ms = kNever;
  bool operator==(const PeerHeartbeat&) const = default;
};

/// A worker's heartbeat, forwarded to the leader by the node that it reports to.
struct ForwardedHeartbeat {
  std::uint64_t id = 0;  ///< never used again, not even by another run of the node
  std::string heartbeat;
  bool operator==(const ForwardedHeartbeat&) const = default;
};

/// What the leader has the worker answered.
struct ForwardedResponse {
  std::uint64_t id = 0;
  std::uint16_t status = 0;
  std::uint64_t fencing_token = 0;
  /// For so long from the sending of what it answers, its forwarder may answer this worker alone.
  std::uint32_t delegation_ms = 0;
  std::string body;
  bool operator==(const ForwardedResponse&) const = default;
};

using Frame = std::variant<PeerHeartbeat, ForwardedHeartbeat, ForwardedResponse>;

std::string pack(const Frame& frame);

enum class Unpacked { frame, more, broken };
/// Takes one frame off the front of the buffer.
Unpacked unpack(std::string& buffer, Frame& out);

}  // namespace cranklock::peer
