#include "regions/frames.hpp"

#include "peer/packing.hpp"

namespace cranklock::regions {
namespace {

using peer::Packer;
using peer::Unpacker;

enum class Kind : std::uint8_t { heartbeat = 1, request = 2, transfer = 3, receipt = 4 };

std::string finish(Packer&& packer, Kind kind) {
  return std::move(packer).frame(kFrameVersion, static_cast<std::uint8_t>(kind));
}

void pack_amounts(Packer& packer, const Amounts& amounts) {
  for (const auto value : amounts.values()) packer.number(static_cast<std::uint64_t>(value));
}

Amounts unpack_amounts(Unpacker& in) {
  Amounts::Values values{};
  for (auto& value : values) value = static_cast<std::int64_t>(in.number<std::uint64_t>());
  return Amounts(values);
}

std::string pack_one(const RegionHeartbeat& heartbeat) {
  Packer packer;
  packer.text(heartbeat.region)
      .text(heartbeat.member)
      .text(heartbeat.founder)
      .number(heartbeat.fencing_token);
  return finish(std::move(packer), Kind::heartbeat);
}

std::string pack_one(const ShareRequest& request) {
  Packer packer;
  packer.text(request.team);
  pack_amounts(packer, request.wanted);
  packer.number(static_cast<std::uint64_t>(request.waiting_since_ms));
  return finish(std::move(packer), Kind::request);
}

std::string pack_one(const ShareTransfer& transfer) {
  Packer packer;
  packer.number(transfer.sequence).text(transfer.team);
  pack_amounts(packer, transfer.amounts);
  return finish(std::move(packer), Kind::transfer);
}

std::string pack_one(const ShareReceipt& receipt) {
  Packer packer;
  packer.number(receipt.through);
  return finish(std::move(packer), Kind::receipt);
}

// The members of a braced list are read from left to right.
RegionFrame unpack_fields(Kind kind, Unpacker& in) {
  switch (kind) {
    case Kind::heartbeat:
      return RegionHeartbeat{in.text(), in.text(), in.text(), in.number<std::uint64_t>()};
    case Kind::request:
      return ShareRequest{in.text(), unpack_amounts(in),
                          static_cast<std::int64_t>(in.number<std::uint64_t>())};
    case Kind::transfer:
      return ShareTransfer{in.number<std::uint64_t>(), in.text(), unpack_amounts(in)};
    case Kind::receipt:
      return ShareReceipt{in.number<std::uint64_t>()};
  }
  return ShareReceipt{};
}

/// Amounts below zero, or names that are missing, can't have been meant.
bool sensible(const RegionFrame& frame) {
  if (const auto* heartbeat = std::get_if<RegionHeartbeat>(&frame)) {
    return !heartbeat->region.empty() && !heartbeat->member.empty();
  }
  if (const auto* request = std::get_if<ShareRequest>(&frame)) {
    return !request->team.empty() && !request->wanted.any_negative();
  }
  if (const auto* transfer = std::get_if<ShareTransfer>(&frame)) {
    return transfer->sequence > 0 && !transfer->team.empty() && !transfer->amounts.any_negative();
  }
  return true;
}

}  // namespace

std::string pack(const RegionFrame& frame) {
  return std::visit([](const auto& one) { return pack_one(one); }, frame);
}

const char* describe(FrameResult result) {
  switch (result) {
    case FrameResult::frame:
      return "a whole frame";
    case FrameResult::more:
      return "a part of a frame";
    case FrameResult::other_version:
      return "a frame of another version";
    case FrameResult::unknown_kind:
      return "a frame of an unknown kind";
    case FrameResult::too_long:
      return "a frame that is too long";
    case FrameResult::malformed_fields:
      return "a frame with malformed fields";
  }
  return "";
}

FrameResult unpack(std::string& buffer, RegionFrame& out) {
  const auto header = peer::read_header(buffer);
  if (!header) return FrameResult::more;
  if (header->version != kFrameVersion) return FrameResult::other_version;
  if (header->kind < static_cast<std::uint8_t>(Kind::heartbeat) ||
      header->kind > static_cast<std::uint8_t>(Kind::receipt)) {
    return FrameResult::unknown_kind;
  }
  if (header->body_bytes > kMaxFrame) return FrameResult::too_long;
  const std::size_t frame_bytes = peer::kHeaderBytes + header->body_bytes;
  if (buffer.size() < frame_bytes) return FrameResult::more;
  Unpacker in(std::string_view(buffer).substr(peer::kHeaderBytes, header->body_bytes));
  RegionFrame frame = unpack_fields(static_cast<Kind>(header->kind), in);
  if (!in.complete() || !sensible(frame)) return FrameResult::malformed_fields;
  buffer.erase(0, frame_bytes);
  out = std::move(frame);
  return FrameResult::frame;
}

}  // namespace cranklock::regions
