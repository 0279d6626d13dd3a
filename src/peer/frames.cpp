#include "peer/frames.hpp"

namespace cranklock::peer {
namespace {

enum class Kind : std::uint8_t { hello = 1, forwarded_report = 2, forwarded_answer = 3 };

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
  Packer& long_text(std::string_view v) {
    v = v.substr(0, kMostText);
    number(static_cast<std::uint16_t>(v.size()));
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
  std::string text() { return take(number<std::uint8_t>(), kMostName); }
  std::string long_text() { return take(number<std::uint16_t>(), kMostText); }
  bool flag() {
    const auto v = number<std::uint8_t>();
    ok_ = ok_ && v <= 1;
    return v == 1;
  }
  /// Read whole, with nothing left over.
  bool whole() const { return ok_ && bytes_.empty(); }

 private:
  std::string take(std::size_t size, std::size_t most) {
    if (size > most || size > bytes_.size()) return ok_ = false, std::string();
    std::string out(bytes_.substr(0, size));
    bytes_.remove_prefix(size);
    return out;
  }

  std::string_view bytes_;
  bool ok_ = true;
};

std::string pack_one(const Hello& hello) {
  Packer p;
  p.text(hello.name).number(hello.token);
  p.number(static_cast<std::uint8_t>(hello.reaches_state ? 1 : 0));
  p.number(static_cast<std::uint8_t>(hello.hears_workers ? 1 : 0));
  p.number(hello.run).number(hello.sent_ms).number(hello.echo_token).number(hello.echo_ms);
  p.number(hello.answered_alone_ms);
  return std::move(p).frame(Kind::hello);
}

std::string pack_one(const ForwardedReport& forwarded) {
  Packer p;
  p.number(forwarded.id).long_text(forwarded.report);
  return std::move(p).frame(Kind::forwarded_report);
}

std::string pack_one(const ForwardedAnswer& answer) {
  Packer p;
  p.number(answer.id).number(answer.status).number(answer.token).number(answer.answer_alone_ms);
  p.long_text(answer.body);
  return std::move(p).frame(Kind::forwarded_answer);
}

// The members of a braced list are read from left to right.
Hello read_hello(Unpacker& in) {
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
  const bool known = kind >= static_cast<std::uint8_t>(Kind::hello) &&
                     kind <= static_cast<std::uint8_t>(Kind::forwarded_answer);
  if (version != kVersion || !known) return Unpacked::broken;
  if (buffer.size() < kHeader + length) return Unpacked::more;
  Unpacker in(std::string_view(buffer).substr(kHeader, length));
  Frame frame;
  switch (static_cast<Kind>(kind)) {
    case Kind::hello:
      frame = read_hello(in);
      break;
    case Kind::forwarded_report:
      frame = ForwardedReport{in.number<std::uint64_t>(), in.long_text()};
      break;
    case Kind::forwarded_answer:
      frame =
          ForwardedAnswer{in.number<std::uint64_t>(), in.number<std::uint16_t>(),
                          in.number<std::uint64_t>(), in.number<std::uint32_t>(), in.long_text()};
      break;
  }
  if (!in.whole()) return Unpacked::broken;
  buffer.erase(0, kHeader + length);
  out = std::move(frame);
  return Unpacked::frame;
}

}  // namespace cranklock::peer
