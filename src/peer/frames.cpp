#include "peer/frames.hpp"

namespace cranklock::peer {
namespace {

enum class Kind : std::uint8_t { hello = 1, job_changed = 2 };

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

std::string pack(const Frame& frame) {
  if (const auto* hello = std::get_if<Hello>(&frame)) {
    Packer p;
    p.text(hello->name).number(hello->token);
    p.number(static_cast<std::uint8_t>(hello->state_reached ? 1 : 0));
    return std::move(p).frame(Kind::hello);
  }
  const auto& changed = std::get<JobChanged>(frame);
  Packer p;
  p.text(changed.id).number(changed.revision);
  return std::move(p).frame(Kind::job_changed);
}

Unpacked unpack(std::string& buffer, Frame& out) {
  if (buffer.size() < kHeader) return Unpacked::more;
  Unpacker head(std::string_view(buffer).substr(0, kHeader));
  const auto length = head.number<std::uint16_t>();
  const auto version = head.number<std::uint8_t>();
  const auto kind = static_cast<Kind>(head.number<std::uint8_t>());
  if (version != kVersion || length > 4 * kMostName) return Unpacked::broken;
  if (buffer.size() < kHeader + length) return Unpacked::more;
  const std::string body = buffer.substr(kHeader, length);
  buffer.erase(0, kHeader + length);
  Unpacker in(body);
  if (kind == Kind::hello) {
    Hello hello;
    hello.name = in.text();
    hello.token = in.number<std::uint64_t>();
    const auto reached = in.number<std::uint8_t>();
    if (!in.whole() || reached > 1) return Unpacked::broken;
    hello.state_reached = reached == 1;
    out = std::move(hello);
  } else if (kind == Kind::job_changed) {
    JobChanged changed;
    changed.id = in.text();
    changed.revision = in.number<std::uint64_t>();
    if (!in.whole()) return Unpacked::broken;
    out = std::move(changed);
  } else {
    return Unpacked::broken;
  }
  return Unpacked::frame;
}

}  // namespace cranklock::peer
