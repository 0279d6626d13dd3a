// Binary encoding of frames between controllers: a header, then the fields; numbers are big-endian,
// strings are prefixed with their length.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranklock::peer {

inline constexpr std::size_t kHeaderBytes = 4;
/// Maximum length of a string that Packer::text writes and Unpacker::text accepts.
inline constexpr std::size_t kMaxNameBytes = 64;
/// The same for long_text; a frame with one such string fits the header's 16-bit length.
inline constexpr std::size_t kMaxTextBytes = 60'000;

/// Header of each frame: u16 length of the body, u8 version, u8 kind.
struct FrameHeader {
  std::uint16_t body_bytes = 0;
  std::uint8_t version = 0;
  std::uint8_t kind = 0;
};

/// Writes fields in sequence. Strings beyond the maximum length are truncated.
class Packer {
 public:
  template <typename Number>
  Packer& number(Number value) {
    constexpr int kBitsInByte = 8;
    constexpr int kBits = static_cast<int>(sizeof(Number)) * kBitsInByte;
    for (int shift = kBits - kBitsInByte; shift >= 0; shift -= kBitsInByte) {
      bytes_.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> shift & 0xff));
    }
    return *this;
  }
  Packer& flag(bool value) { return number(static_cast<std::uint8_t>(value ? 1 : 0)); }
  Packer& text(std::string_view value) {
    value = value.substr(0, kMaxNameBytes);
    number(static_cast<std::uint8_t>(value.size()));
    bytes_.append(value);
    return *this;
  }
  Packer& long_text(std::string_view value) {
    value = value.substr(0, kMaxTextBytes);
    number(static_cast<std::uint16_t>(value.size()));
    bytes_.append(value);
    return *this;
  }
  /// Returns the complete frame: the header and the packed fields.
  std::string frame(std::uint8_t version, std::uint8_t kind) && {
    Packer header;
    header.number(static_cast<std::uint16_t>(bytes_.size())).number(version).number(kind);
    return header.bytes_ + bytes_;
  }

 private:
  std::string bytes_;
};

/// Reads fields in the order in which they were written. A malformed field reads as empty, and
/// `complete` is then false.
class Unpacker {
 public:
  explicit Unpacker(std::string_view bytes) : bytes_(bytes) {}

  template <typename Number>
  Number number() {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
      if (bytes_.empty()) {
        well_formed_ = false;
        return Number{};
      }
      value = value << 8 | static_cast<std::uint8_t>(bytes_.front());
      bytes_.remove_prefix(1);
    }
    return static_cast<Number>(value);
  }
  std::string text() { return take(number<std::uint8_t>(), kMaxNameBytes); }
  std::string long_text() { return take(number<std::uint16_t>(), kMaxTextBytes); }
  /// A byte other than 0 or 1 is malformed.
  bool flag() {
    const auto value = number<std::uint8_t>();
    well_formed_ = well_formed_ && value <= 1;
    return value == 1;
  }
  /// Whether every field was well-formed and no byte remains.
  bool complete() const { return well_formed_ && bytes_.empty(); }

 private:
  std::string take(std::size_t size, std::size_t max_size) {
    if (size > max_size || size > bytes_.size()) {
      well_formed_ = false;
      return {};
    }
    std::string text(bytes_.substr(0, size));
    bytes_.remove_prefix(size);
    return text;
  }

  std::string_view bytes_;
  bool well_formed_ = true;
};

/// Returns the header of the frame at the front; none until it has been received completely.
inline std::optional<FrameHeader> read_header(std::string_view buffer) {
  if (buffer.size() < kHeaderBytes) return std::nullopt;
  Unpacker unpacker(buffer.substr(0, kHeaderBytes));
  FrameHeader header;
  header.body_bytes = unpacker.number<std::uint16_t>();
  header.version = unpacker.number<std::uint8_t>();
  header.kind = unpacker.number<std::uint8_t>();
  return header;
}

}  // namespace cranklock::peer
