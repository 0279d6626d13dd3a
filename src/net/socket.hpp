// Owned file descriptors and IPv4 addresses.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <optional>
#include <string>
#include <utility>

namespace cranklock::net {

class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
  Fd& operator=(Fd&& o) noexcept {
    std::swap(fd_, o.fd_);
    return *this;
  }
  Fd(const Fd&) = delete;
  Fd& operator=(const Fd&) = delete;
  ~Fd() {
    if (fd_ >= 0) ::close(fd_);
  }
  int get() const { return fd_; }
  int release() { return std::exchange(fd_, -1); }
  bool valid() const { return fd_ >= 0; }

 private:
  int fd_;
};

/// Parses an address like "10.0.0.1:8080"; host names are not resolved.
inline std::optional<sockaddr_in> parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  sockaddr_in out{};
  out.sin_family = AF_INET;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc{} || parsed.ptr != end || port == 0 || port > 65535) {
    return std::nullopt;
  }
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr) != 1) return std::nullopt;
  return out;
}

}  // namespace cranklock::net
