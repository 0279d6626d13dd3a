#include "peer/frames.hpp"

namespace cranklock::peer {
namespace {

enum class Kind : std::uint8_t { hello = 1 };

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
    v = v.substr(0, kMostName);
    number(static_cast<std::uint8_t>(v.size()));
    bytes_.append(v);
    return *this;
  }
  std::string frame(Kind kind) && {
    Packer head;
    head.number(static_cast<std::uint16_t>(bytes_.size()));
    head.number(kVersion).number(static_cast<std::uint8_t>(kind));
    return head.bytes_ + bytes_;
  }

 private:
  std::string bytes_;
};

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
  std::string text() {
    const auto size = number<std::uint8_t>();
    if (size > kMostName || size > bytes_.size()) return ok_ = false, std::string();
    std::string out(bytes_.substr(0, size));
    bytes_.remove_prefix(size);
    return out;
  }
  /// Read whole, with nothing left over.
  bool whole() const { return ok_ && bytes_.empty(); }

 private:
  std::string_view bytes_;
  bool ok_ = true;
};

}  // namespace

std::string pack(const Hello& hello) {
  Packer p;
  p.text(hello.name).number(hello.token);
  p.number(static_cast<std::uint8_t>(hello.reaches_state ? 1 : 0));
  p.number(static_cast<std::uint8_t>(hello.hears_workers ? 1 : 0));
  return std::move(p).frame(Kind::hello);
}

Unpacked unpack(std::string& buffer, Hello& out) {
  if (buffer.size() < kHeader) return Unpacked::more;
  Unpacker head(std::string_view(buffer).substr(0, kHeader));
  const auto length = head.number<std::uint16_t>();
  const auto version = head.number<std::uint8_t>();
  const auto kind = static_cast<Kind>(head.number<std::uint8_t>());
  if (version != kVersion || kind != Kind::hello || length > 2 * kMostName) {
    return Unpacked::broken;
  }
  if (buffer.size() < kHeader + length) return Unpacked::more;
  Unpacker in(std::string_view(buffer).substr(kHeader, length));
  Hello hello;
  hello.name = in.text();
  hello.token = in.number<std::uint64_t>();
  const auto state = in.number<std::uint8_t>(), workers = in.number<std::uint8_t>();
  if (!in.whole() || state > 1 || workers > 1) return Unpacked::broken;
  hello.reaches_state = state == 1;
  hello.hears_workers = workers == 1;
  buffer.erase(0, kHeader + length);
  out = std::move(hello);
  return Unpacked::frame;
}

}  // namespace cranklock::peer
