// What leaders of regions tell each other: packed structs, each led by its length, the version and
// its kind; all numbers big-endian. They are not the frames of a region's own controllers.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "regions/quota_amounts.hpp"

namespace cranklock::regions {

inline constexpr std::uint8_t kFrameVersion = 1;
/// Bytes that a frame may hold after its header; a longer one is refused before it is read.
inline constexpr std::size_t kMaxFrame = 512;

/// The first frame of a connection and its heartbeat, in both directions.
struct RegionHeartbeat {
  std::string region, member;
  std::string bootstrap_region;     ///< as the sender's settings name it
  std::uint64_t fencing_token = 0;  ///< of its leadership; 0: it does not lead its region
  bool operator==(const RegionHeartbeat&) const = default;
};

/// Work of the team waits in the sender's region for want of this much quota. Never stored; asked
/// again while it holds.
struct QuotaRequest {
  std::string team;
  QuotaAmounts wanted;
  std::int64_t waiting_since_ms = 0;  ///< time of day from which the oldest such work has waited
  bool operator==(const QuotaRequest&) const = default;
};

/// Quota that the sender has taken off its own and written down. Sent until there is an
/// acknowledgement.
struct QuotaTransfer {
  std::uint64_t sequence = 0;  ///< counts from 1 for each pair of sender and receiver, without gaps
  std::string team;
  QuotaAmounts quota;
  bool operator==(const QuotaTransfer&) const = default;
};

/// All transfers of the receiver's region up to this one have been added and written down.
struct TransferAcknowledgement {
  std::uint64_t through = 0;
  bool operator==(const TransferAcknowledgement&) const = default;
};

using RegionFrame =
    std::variant<RegionHeartbeat, QuotaRequest, QuotaTransfer, TransferAcknowledgement>;

std::string pack(const RegionFrame& frame);

enum class UnpackResult {
  frame,            ///< one was taken off the buffer
  incomplete,       ///< its end has not arrived yet
  other_version,    ///< the peer speaks another version
  unknown_kind,     ///< of this version, and not one of its kinds
  too_long,         ///< longer than any frame of this version
  malformed_fields  ///< the fields do not fill the frame, or hold what they may not
};
/// For the log: what was wrong.
const char* describe(UnpackResult result);
/// Takes one frame off the front of the buffer.
UnpackResult unpack(std::string& buffer, RegionFrame& out);

}  // namespace cranklock::regions
