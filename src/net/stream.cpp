#include "net/stream.hpp"

#include <cerrno>

namespace cranklock::net {
namespace {
bool try_later() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

void send_at_once(int fd) {
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}
}  // namespace

Task<Fd> connect_to(EvReactor& reactor, std::string address, double until) {
  const auto target = parse_address(address);
  if (!target) co_return Fd();
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.valid()) co_return Fd();
  send_at_once(fd.get());
  const int rc = ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&*target), sizeof *target);
  if (rc != 0) {
    if (errno != EINPROGRESS) co_return Fd();
    Ready ready(reactor, fd.get(), true, until - reactor.now());
    if (!co_await ready) co_return Fd();
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) co_return Fd();
  }
  co_return fd;
}

Task<bool> write_all(EvReactor& reactor, int fd, std::string_view bytes, double until) {
  while (!bytes.empty()) {
    const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
    } else if (n < 0 && try_later()) {
      Ready ready(reactor, fd, true, until - reactor.now());
      if (!co_await ready) co_return false;
    } else {
      co_return false;
    }
  }
  co_return true;
}

Task<long> read_some(EvReactor& reactor, int fd, char* into, std::size_t max_bytes, double until) {
  for (;;) {
    Ready ready(reactor, fd, false, until - reactor.now());
    if (!co_await ready) co_return -1;
    const auto n = ::recv(fd, into, max_bytes, 0);
    if (n < 0 && try_later()) continue;
    co_return n;
  }
}

Fd listen_on(const std::string& address) {
  const auto local = parse_address(address);
  if (!local) return Fd();
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int one = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  // After a restart a whole fleet connects at once; the kernel lowers this where it must.
  constexpr int kBacklog = 4096;
  if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&*local), sizeof *local) != 0 ||
      ::listen(fd.get(), kBacklog) != 0) {
    return Fd();
  }
  return fd;
}

Fd accept_from(int listener) {
  Fd fd(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd.valid()) send_at_once(fd.get());
  return fd;
}

}  // namespace cranklock::net
