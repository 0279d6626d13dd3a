#include "regions/frames.hpp"

#include "peer/packing.hpp"

namespace cranklock::regions {
namespace {

using peer::Packer;
using peer::Unpacker;

enum class FrameKind : std::uint8_t {
  heartbeat = 1,
  request = 2,
  transfer = 3,
  acknowledgement = 4
};

std::string finish_frame(Packer&& packer, FrameKind kind) {
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

std::string pack_frame(const RegionHeartbeat& heartbeat) {
  Packer packer;
  packer.text(heartbeat.region)
      .text(heartbeat.member)
      .text(heartbeat.bootstrap_region)
      .number(heartbeat.fencing_token);
  return finish_frame(std::move(packer), FrameKind::heartbeat);
}

std::string pack_frame(const QuotaRequest& request) {
  Packer packer;
  packer.text(request.team);
  pack_quota(packer, request.wanted);
  packer.number(static_cast<std::uint64_t>(request.waiting_since_ms));
  return finish_frame(std::move(packer), FrameKind::request);
}

std::string pack_frame(const QuotaTransfer& transfer) {
  Packer packer;
  packer.number(transfer.sequence).text(transfer.team);
  pack_quota(packer, transfer.quota);
  return finish_frame(std::move(packer), FrameKind::transfer);
}

std::string pack_frame(const TransferAcknowledgement& acknowledgement) {
  Packer packer;
  packer.number(acknowledgement.last_sequence);
  return finish_frame(std::move(packer), FrameKind::acknowledgement);
}

// The elements of a braced initializer list are evaluated from left to right.
RegionFrame unpack_fields(FrameKind kind, Unpacker& in) {
  switch (kind) {
    case FrameKind::heartbeat:
      return RegionHeartbeat{in.text(), in.text(), in.text(), in.number<std::uint64_t>()};
    case FrameKind::request:
      return QuotaRequest{in.text(), unpack_quota(in),
                          static_cast<std::int64_t>(in.number<std::uint64_t>())};
    case FrameKind::transfer:
      return QuotaTransfer{in.number<std::uint64_t>(), in.text(), unpack_quota(in)};
    case FrameKind::acknowledgement:
      return TransferAcknowledgement{in.number<std::uint64_t>()};
  }
  return TransferAcknowledgement{};
}

/// Rejects negative amounts, empty names and a transfer without a sequence.
bool has_valid_fields(const RegionFrame& frame) {
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
  return std::visit([](const auto& fields) { return pack_frame(fields); }, frame);
}

std::string describe(UnpackResult result, std::string_view buffer) {
  const auto header = peer::read_header(buffer).value_or(peer::FrameHeader{});
  switch (result) {
    case UnpackResult::frame:
      return "complete frame";
    case UnpackResult::incomplete:
      return "incomplete frame";
    case UnpackResult::other_version:
      return "frame version " + std::to_string(header.version) + ", expected " +
             std::to_string(kFrameVersion);
    case UnpackResult::unknown_kind:
      return "frame kind " + std::to_string(header.kind) + ", expected " +
             std::to_string(static_cast<int>(FrameKind::heartbeat)) + " to " +
             std::to_string(static_cast<int>(FrameKind::acknowledgement));
    case UnpackResult::too_long:
      return "frame body of " + std::to_string(header.body_bytes) + " bytes, expected at most " +
             std::to_string(kMaxFrameBodyBytes);
    case UnpackResult::malformed_fields:
      return "malformed fields in frame of kind " + std::to_string(header.kind) + " with " +
             std::to_string(header.body_bytes) + " bytes";
  }
  return "";
}

UnpackResult unpack(std::string& buffer, RegionFrame& out) {
  const auto header = peer::read_header(buffer);
  if (!header) return UnpackResult::incomplete;
  if (header->version != kFrameVersion) return UnpackResult::other_version;
  if (header->kind < static_cast<std::uint8_t>(FrameKind::heartbeat) ||
      header->kind > static_cast<std::uint8_t>(FrameKind::acknowledgement)) {
    return UnpackResult::unknown_kind;
  }
  if (header->body_bytes > kMaxFrameBodyBytes) return UnpackResult::too_long;
  const std::size_t frame_bytes = peer::kHeaderBytes + header->body_bytes;
  if (buffer.size() < frame_bytes) return UnpackResult::incomplete;
  Unpacker in(std::string_view(buffer).substr(peer::kHeaderBytes, header->body_bytes));
  RegionFrame frame = unpack_fields(static_cast<FrameKind>(header->kind), in);
  if (!in.complete() || !has_valid_fields(frame)) return UnpackResult::malformed_fields;
  buffer.erase(0, frame_bytes);
  out = std::move(frame);
  return UnpackResult::frame;
}

}  // namespace cranklock::regions
