// How packed structs between our processes are written and read: all numbers big-endian, texts led
// by their length, each frame led by its own length, a version and a kind.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cranklock::peer {

inline constexpr std::size_t kHeader = 4;  ///< u16 length of what follows it, u8 version, u8 kind
inline constexpr std::size_t kMaxName = 64;
inline constexpr std::size_t kMaxText = 60'000;

/// Writes fields one after the other. A text that is too long is cut.
class Packer {
 public:
  template <typename N>
  Packer& number(N v) {
    for (int shift = static_cast<int>(sizeof(N)) * 8 - 8; shift >= 0; shift -= 8) {
      bytes_.push_back(static_cast<char>(static_cast<std::uint64_t>(v) >> shift & 0xff));
    }
    return *this;
  }
  Packer& text(std::string_view v) {
    v = v.substr(0, kMaxName);
    number(static_cast<std::uint8_t>(v.size()));
    bytes_.append(v);
    return *this;
  }
  Packer& long_text(std::string_view v) {
    v = v.substr(0, kMaxText);
    number(static_cast<std::uint16_t>(v.size()));
    bytes_.append(v);
    return *this;
  }
  /// The frame whole: its header, then what was packed.
  std::string frame(std::uint8_t version, std::uint8_t kind) && {
    Packer head;
    head.number(static_cast<std::uint16_t>(bytes_.size()));
    head.number(version).number(kind);
    return head.bytes_ + bytes_;
  }

 private:
  std::string bytes_;
};

/// Reads fields in the order in which they were written; a malformed one makes `whole` false.
class Unpacker {
 public:
  explicit Unpacker(std::string_view bytes) : bytes_(bytes) {}
  template <typename N>
  N number() {
    std::uint64_t v = 0;
    for (std::size_t i = 0; i < sizeof(N); ++i) {
      if (bytes_.empty()) return ok_ = false, N{};
      v = v << 8 | static_cast<std::uint8_t>(bytes_.front());
      bytes_.remove_prefix(1);
    }
    return static_cast<N>(v);
  }
  std::string text() { return take(number<std::uint8_t>(), kMaxName); }
  std::string long_text() { return take(number<std::uint16_t>(), kMaxText); }
  bool flag() {
    const auto v = number<std::uint8_t>();
    ok_ = ok_ && v <= 1;
    return v == 1;
  }
  /// Read whole, with nothing left over.
  bool whole() const { return ok_ && bytes_.empty(); }

 private:
  std::string take(std::size_t size, std::size_t max_bytes) {
    if (size > max_bytes || size > bytes_.size()) return ok_ = false, std::string();
    std::string out(bytes_.substr(0, size));
    bytes_.remove_prefix(size);
    return out;
  }

  std::string_view bytes_;
  bool ok_ = true;
};

}  // namespace cranklock::peer
