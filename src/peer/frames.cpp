#include "peer/frames.hpp"

#include <optional>
#include <string_view>
#include <utility>

namespace cranklock::peer {
namespace {

enum class Kind : std::uint8_t {
  peer_heartbeat = 1,
  forwarded_heartbeat = 2,
  forwarded_response = 3
};

std::string make_frame(Packer&& packer, Kind kind) {
  return std::move(packer).frame(kFrameVersion, static_cast<std::uint8_t>(kind));
}

std::string pack_body(const PeerHeartbeat& heartbeat) {
  Packer packer;
  packer.text(heartbeat.name)
      .number(heartbeat.fencing_token)
      .flag(heartbeat.reaches_store)
      .flag(heartbeat.receives_heartbeats)
      .number(heartbeat.incarnation)
      .number(heartbeat.sent_clock_ms)
      .number(heartbeat.echoed_fencing_token)
      .number(heartbeat.echoed_clock_ms)
      .number(heartbeat.delegate_responded_ms);
  return make_frame(std::move(packer), Kind::peer_heartbeat);
}

std::string pack_body(const ForwardedHeartbeat& forwarded) {
  Packer packer;
  packer.number(forwarded.id).long_text(forwarded.heartbeat);
  return make_frame(std::move(packer), Kind::forwarded_heartbeat);
}

std::string pack_body(const ForwardedResponse& response) {
  Packer packer;
  packer.number(response.id)
      .number(response.status)
      .number(response.fencing_token)
      .number(response.delegation_ms)
      .long_text(response.body);
  return make_frame(std::move(packer), Kind::forwarded_response);
}

// The elements of a braced list are evaluated from left to right, in the order of the fields.
PeerHeartbeat unpack_peer_heartbeat(Unpacker& unpacker) {
  return {unpacker.text(),
          unpacker.number<std::uint64_t>(),
          unpacker.flag(),
          unpacker.flag(),
          unpacker.number<std::uint64_t>(),
          unpacker.number<std::uint64_t>(),
          unpacker.number<std::uint64_t>(),
          unpacker.number<std::uint64_t>(),
          unpacker.number<std::uint32_t>()};
}

ForwardedHeartbeat unpack_forwarded_heartbeat(Unpacker& unpacker) {
  return {unpacker.number<std::uint64_t>(), unpacker.long_text()};
}

ForwardedResponse unpack_forwarded_response(Unpacker& unpacker) {
  return {unpacker.number<std::uint64_t>(), unpacker.number<std::uint16_t>(),
          unpacker.number<std::uint64_t>(), unpacker.number<std::uint32_t>(), unpacker.long_text()};
}

/// Returns none for an unknown kind.
std::optional<Frame> unpack_body(std::uint8_t kind, Unpacker& unpacker) {
  switch (static_cast<Kind>(kind)) {
    case Kind::peer_heartbeat:
      return unpack_peer_heartbeat(unpacker);
    case Kind::forwarded_heartbeat:
      return unpack_forwarded_heartbeat(unpacker);
    case Kind::forwarded_response:
      return unpack_forwarded_response(unpacker);
  }
  return std::nullopt;
}

bool is_known_kind(std::uint8_t kind) {
  return kind >= static_cast<std::uint8_t>(Kind::peer_heartbeat) &&
         kind <= static_cast<std::uint8_t>(Kind::forwarded_response);
}

}  // namespace

std::string pack(const Frame& frame) {
  return std::visit([](const auto& body) { return pack_body(body); }, frame);
}

base::Result<Frame, UnpackError> unpack(std::string& buffer) {
  const auto header = read_header(buffer);
  if (!header) return base::Failure(UnpackError::incomplete);
  if (header->version != kFrameVersion || !is_known_kind(header->kind)) {
    return base::Failure(UnpackError::malformed);
  }
  const std::size_t frame_bytes = kHeaderBytes + header->body_bytes;
  if (buffer.size() < frame_bytes) return base::Failure(UnpackError::incomplete);
  Unpacker unpacker(std::string_view(buffer).substr(kHeaderBytes, header->body_bytes));
  auto frame = unpack_body(header->kind, unpacker);
  if (!frame || !unpacker.complete()) return base::Failure(UnpackError::malformed);
  buffer.erase(0, frame_bytes);
  return std::move(*frame);
}

}  // namespace cranklock::peer
