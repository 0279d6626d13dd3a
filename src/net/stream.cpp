#include "net/stream.hpp"

#include <cerrno>

namespace cranklock::net {
namespace {
bool is_transient_error() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

void disable_nagle(int fd) {
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}
}  // namespace

Task<Fd> connect_to(EvReactor& reactor, std::string address, double deadline) {
  const auto target = parse_address(address);
  if (!target) co_return Fd();
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.valid()) co_return Fd();
  disable_nagle(fd.get());
  const int rc = ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&*target), sizeof *target);
  if (rc != 0) {
    if (errno != EINPROGRESS) co_return Fd();
    Ready ready(reactor, fd.get(), true, deadline - reactor.now());
    if (!co_await ready) co_return Fd();
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) co_return Fd();
  }
  co_return fd;
}

Task<bool> write_all(EvReactor& reactor, int fd, std::string_view bytes, double deadline) {
  while (!bytes.empty()) {
    const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
    } else if (n < 0 && is_transient_error()) {
      Ready ready(reactor, fd, true, deadline - reactor.now());
      if (!co_await ready) co_return false;
    } else {
      co_return false;
    }
  }
  co_return true;
}

Task<long> read_some(EvReactor& reactor, int fd, char* into, std::size_t max_bytes,
                     double deadline) {
  for (;;) {
    Ready ready(reactor, fd, false, deadline - reactor.now());
    if (!co_await ready) co_return -1;
    const auto n = ::recv(fd, into, max_bytes, 0);
    if (n < 0 && is_transient_error()) continue;
    co_return n;
  }
}

Fd listen_on(const std::string& address) {
  const auto local = parse_address(address);
  if (!local) return Fd();
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int one = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  // After a restart all agents of a fleet connect at once. The kernel caps the value at
  // net.core.somaxconn.
  constexpr int kBacklog = 4096;
  if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&*local), sizeof *local) != 0 ||
      ::listen(fd.get(), kBacklog) != 0) {
    return Fd();
  }
  return fd;
}

Fd accept_from(int listener) {
  Fd fd(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd.valid()) disable_nagle(fd.get());
  return fd;
}

}  // namespace cranklock::net
