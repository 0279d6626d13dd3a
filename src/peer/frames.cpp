#include "peer/frames.hpp"

#include "peer/packing.hpp"

namespace cranklock::peer {
namespace {

enum class Kind : std::uint8_t {
  peer_heartbeat = 1,
  forwarded_heartbeat = 2,
  forwarded_response = 3
};

std::string pack_one(const PeerHeartbeat& peer_heartbeat) {
  Packer p;
  p.text(peer_heartbeat.name).number(peer_heartbeat.fencing_token);
  p.number(static_cast<std::uint8_t>(peer_heartbeat.reaches_state ? 1 : 0));
  p.number(static_cast<std::uint8_t>(peer_heartbeat.hears_workers ? 1 : 0));
  p.number(peer_heartbeat.incarnation)
      .number(peer_heartbeat.sent_clock_ms)
      .number(peer_heartbeat.echoed_fencing_token)
      .number(peer_heartbeat.echoed_clock_ms);
  p.number(peer_heartbeat.delegate_responded_ms);
  return std::move(p).frame(kVersion, static_cast<std::uint8_t>(Kind::peer_heartbeat));
}

std::string pack_one(const ForwardedHeartbeat& forwarded) {
  Packer p;
  p.number(forwarded.id).long_text(forwarded.heartbeat);
  return std::move(p).frame(kVersion, static_cast<std::uint8_t>(Kind::forwarded_heartbeat));
}

std::string pack_one(const ForwardedResponse& answer) {
  Packer p;
  p.number(answer.id)
      .number(answer.status)
      .number(answer.fencing_token)
      .number(answer.delegation_ms);
  p.long_text(answer.body);
  return std::move(p).frame(kVersion, static_cast<std::uint8_t>(Kind::forwarded_response));
}

// The members of a braced list are read from left to right.
PeerHeartbeat read_heartbeat(Unpacker& in) {
  return {in.text(),
          in.number<std::uint64_t>(),
          in.flag(),
          in.flag(),
          in.number<std::uint64_t>(),
          in.number<std::uint64_t>(),
          in.number<std::uint64_t>(),
          in.number<std::uint64_t>(),
          in.number<std::uint32_t>()};
}

}  // namespace

std::string pack(const Frame& frame) {
  return std::visit([](const auto& one) { return pack_one(one); }, frame);
}

Unpacked unpack(std::string& buffer, Frame& out) {
  if (buffer.size() < kHeader) return Unpacked::more;
  Unpacker head(std::string_view(buffer).substr(0, kHeader));
  const auto length = head.number<std::uint16_t>();
  const auto version = head.number<std::uint8_t>();
  const auto kind = head.number<std::uint8_t>();
  const bool known = kind >= static_cast<std::uint8_t>(Kind::peer_heartbeat) &&
                     kind <= static_cast<std::uint8_t>(Kind::forwarded_response);
  if (version != kVersion || !known) return Unpacked::broken;
  if (buffer.size() < kHeader + length) return Unpacked::more;
  Unpacker in(std::string_view(buffer).substr(kHeader, length));
  Frame frame;
  switch (static_cast<Kind>(kind)) {
    case Kind::peer_heartbeat:
      frame = read_heartbeat(in);
      break;
    case Kind::forwarded_heartbeat:
      frame = ForwardedHeartbeat{in.number<std::uint64_t>(), in.long_text()};
      break;
    case Kind::forwarded_response:
      frame =
          ForwardedResponse{in.number<std::uint64_t>(), in.number<std::uint16_t>(),
                            in.number<std::uint64_t>(), in.number<std::uint32_t>(), in.long_text()};
      break;
  }
  if (!in.whole()) return Unpacked::broken;
  buffer.erase(0, kHeader + length);
  out = std::move(frame);
  return Unpacked::frame;
}

}  // namespace cranklock::peer
