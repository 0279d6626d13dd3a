// Frames between the leaders of regions: a header with length, version and kind, then packed
// fields; all numbers are big-endian. The controllers of one region use other frames (src/peer).
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "regions/quota_amounts.hpp"

namespace cranklock::regions {

inline constexpr std::uint8_t kFrameVersion = 1;
/// Maximum bytes after the header; a longer frame is rejected as soon as its header has arrived.
inline constexpr std::size_t kMaxFrameBodyBytes = 512;

/// First frame of a connection, then sent periodically, in both directions.
struct RegionHeartbeat {
  std::string region, member;
  std::string bootstrap_region;     ///< from the sender's settings
  std::uint64_t fencing_token = 0;  ///< of the sender's leadership; 0: not the leader of its region
  bool operator==(const RegionHeartbeat&) const = default;
};

/// Work of the team waits in the sender's region because this much quota is missing. Never stored;
/// repeated while the shortage lasts.
struct QuotaRequest {
  std::string team;
  QuotaAmounts wanted;
  std::int64_t waiting_since_ms = 0;  ///< wall clock; start of the longest wait among that work
  bool operator==(const QuotaRequest&) const = default;
};

/// Quota that the sender has deducted from its own in a stored transaction. Sent repeatedly until
/// it is acknowledged.
struct QuotaTransfer {
  std::uint64_t sequence = 0;  ///< from 1 for each pair of sender and receiver, without gaps
  std::string team;
  QuotaAmounts quota;
  bool operator==(const QuotaTransfer&) const = default;
};

/// All transfers from the receiver's region up to this sequence have been added and stored.
struct TransferAcknowledgement {
  std::uint64_t last_sequence = 0;
  bool operator==(const TransferAcknowledgement&) const = default;
};

using RegionFrame =
    std::variant<RegionHeartbeat, QuotaRequest, QuotaTransfer, TransferAcknowledgement>;

std::string pack(const RegionFrame& frame);

enum class UnpackResult {
  frame,            ///< a frame was removed from the buffer
  incomplete,       ///< the rest of the frame has not arrived yet
  other_version,    ///< the frame has another version than kFrameVersion
  unknown_kind,     ///< the version is supported, the kind is not defined in it
  too_long,         ///< longer than kMaxFrameBodyBytes
  malformed_fields  ///< fields do not match the frame's length, or have invalid values
};
/// Error text of a result of unpack() on this buffer: what was found, and what was expected.
std::string describe(UnpackResult result, std::string_view buffer);
/// Removes one frame from the front of the buffer; leaves the buffer as it is on any other result.
UnpackResult unpack(std::string& buffer, RegionFrame& out);

}  // namespace cranklock::regions
