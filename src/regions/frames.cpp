#include "regions/frames.hpp"

#include "peer/packing.hpp"

namespace cranklock::regions {
namespace {

using peer::Packer;
using peer::Unpacker;

enum class Kind : std::uint8_t { heartbeat = 1, request = 2, transfer = 3, acknowledgement = 4 };

std::string finish(Packer&& packer, Kind kind) {
  return std::move(packer).frame(kFrameVersion, static_cast<std::uint8_t>(kind));
}

void pack_quota(Packer& packer, const QuotaAmounts& quota) {
  for (const auto value : quota.values()) packer.number(static_cast<std::uint64_t>(value));
}

QuotaAmounts unpack_quota(Unpacker& in) {
  QuotaAmounts::Values values{};
  for (auto& value : values) value = static_cast<std::int64_t>(in.number<std::uint64_t>());
  return QuotaAmounts(values);
}

std::string pack_one(const RegionHeartbeat& heartbeat) {
  Packer packer;
  packer.text(heartbeat.region)
      .text(heartbeat.member)
      .text(heartbeat.bootstrap_region)
      .number(heartbeat.fencing_token);
  return finish(std::move(packer), Kind::heartbeat);
}

std::string pack_one(const QuotaRequest& request) {
  Packer packer;
  packer.text(request.team);
  pack_quota(packer, request.wanted);
  packer.number(static_cast<std::uint64_t>(request.waiting_since_ms));
  return finish(std::move(packer), Kind::request);
}

std::string pack_one(const QuotaTransfer& transfer) {
  Packer packer;
  packer.number(transfer.sequence).text(transfer.team);
  pack_quota(packer, transfer.quota);
  return finish(std::move(packer), Kind::transfer);
}

std::string pack_one(const TransferAcknowledgement& acknowledgement) {
  Packer packer;
  packer.number(acknowledgement.through);
  return finish(std::move(packer), Kind::acknowledgement);
}

// The members of a braced list are read from left to right.
RegionFrame unpack_fields(Kind kind, Unpacker& in) {
  switch (kind) {
    case Kind::heartbeat:
      return RegionHeartbeat{in.text(), in.text(), in.text(), in.number<std::uint64_t>()};
    case Kind::request:
      return QuotaRequest{in.text(), unpack_quota(in),
                          static_cast<std::int64_t>(in.number<std::uint64_t>())};
    case Kind::transfer:
      return QuotaTransfer{in.number<std::uint64_t>(), in.text(), unpack_quota(in)};
    case Kind::acknowledgement:
      return TransferAcknowledgement{in.number<std::uint64_t>()};
  }
  return TransferAcknowledgement{};
}

/// Amounts below zero, or names that are missing, can't have been meant.
bool sensible(const RegionFrame& frame) {
  if (const auto* heartbeat = std::get_if<RegionHeartbeat>(&frame)) {
    return !heartbeat->region.empty() && !heartbeat->member.empty();
  }
  if (const auto* request = std::get_if<QuotaRequest>(&frame)) {
    return !request->team.empty() && !request->wanted.any_negative();
  }
  if (const auto* transfer = std::get_if<QuotaTransfer>(&frame)) {
    return transfer->sequence > 0 && !transfer->team.empty() && !transfer->quota.any_negative();
  }
  return true;
}

}  // namespace

std::string pack(const RegionFrame& frame) {
  return std::visit([](const auto& one) { return pack_one(one); }, frame);
}

const char* describe(UnpackResult result) {
  switch (result) {
    case UnpackResult::frame:
      return "a whole frame";
    case UnpackResult::incomplete:
      return "a part of a frame";
    case UnpackResult::other_version:
      return "a frame of another version";
    case UnpackResult::unknown_kind:
      return "a frame of an unknown kind";
    case UnpackResult::too_long:
      return "a frame that is too long";
    case UnpackResult::malformed_fields:
      return "a frame with malformed fields";
  }
  return "";
}

UnpackResult unpack(std::string& buffer, RegionFrame& out) {
  const auto header = peer::read_header(buffer);
  if (!header) return UnpackResult::incomplete;
  if (header->version != kFrameVersion) return UnpackResult::other_version;
  if (header->kind < static_cast<std::uint8_t>(Kind::heartbeat) ||
      header->kind > static_cast<std::uint8_t>(Kind::acknowledgement)) {
    return UnpackResult::unknown_kind;
  }
  if (header->body_bytes > kMaxFrame) return UnpackResult::too_long;
  const std::size_t frame_bytes = peer::kHeaderBytes + header->body_bytes;
  if (buffer.size() < frame_bytes) return UnpackResult::incomplete;
  Unpacker in(std::string_view(buffer).substr(peer::kHeaderBytes, header->body_bytes));
  RegionFrame frame = unpack_fields(static_cast<Kind>(header->kind), in);
  if (!in.complete() || !sensible(frame)) return UnpackResult::malformed_fields;
  buffer.erase(0, frame_bytes);
  out = std::move(frame);
  return UnpackResult::frame;
}

}  // namespace cranklock::regions
