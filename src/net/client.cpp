#include "net/client.hpp"

#include <cerrno>

#include "net/socket.hpp"

namespace cranklock::net {
namespace {
constexpr double kIdleSeconds = 30.0;
}

HttpClient::~HttpClient() {
  for (const auto& idle : idle_) ::close(idle.fd);
}

int HttpClient::take_idle(const std::string& address) {
  const double oldest = reactor_.now() - kIdleSeconds;
  while (!idle_.empty() && idle_.front().since < oldest) {
    ::close(idle_.front().fd);
    idle_.pop_front();
  }
  for (auto it = idle_.begin(); it != idle_.end(); ++it) {
    if (it->address != address) continue;
    Fd fd(it->fd);
    idle_.erase(it);
    // A connection that has something to read before a request is closed or out of step.
    char byte = 0;
    const auto n = ::recv(fd.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return fd.release();
    return take_idle(address);
  }
  return -1;
}

void HttpClient::keep(const std::string& address, int fd) {
  idle_.push_back({address, fd, reactor_.now()});
  if (idle_.size() > max_idle_) {
    ::close(idle_.front().fd);
    idle_.pop_front();
  }
}

Task<int> HttpClient::connect(std::string address, double until) {
  const auto target = parse_address(address);
  if (!target) co_return -1;
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.valid()) co_return -1;
  const int one = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  const int rc = ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&*target), sizeof *target);
  if (rc != 0) {
    if (errno != EINPROGRESS) co_return -1;
    Ready ready(reactor_, fd.get(), true, until - reactor_.now());
    if (!co_await ready) co_return -1;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) co_return -1;
  }
  co_return fd.release();
}

Task<Reply> HttpClient::call(std::string address, Request request, double timeout_s) {
  const double until = reactor_.now() + timeout_s;
  Reply reply;
  Fd fd(take_idle(address));
  if (!fd.valid()) {
    auto connecting = connect(address, until);
    fd = Fd(co_await connecting);
    if (!fd.valid()) {
      reply.kind = Reply::Kind::not_sent;
      co_return reply;
    }
  }
  const std::string out = serialize(request, address);
  std::size_t sent = 0;
  while (sent < out.size()) {
    const auto n = ::send(fd.get(), out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
    } else if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      Ready ready(reactor_, fd.get(), true, until - reactor_.now());
      if (!co_await ready) co_return reply;
    } else {
      co_return reply;
    }
  }
  HttpParser parser(HttpParser::Kind::response, {16 * 1024, max_body_});
  char buffer[8192];
  for (;;) {
    Ready ready(reactor_, fd.get(), false, until - reactor_.now());
    if (!co_await ready) co_return reply;
    const auto n = ::recv(fd.get(), buffer, sizeof buffer, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) continue;
    if (n < 0) co_return reply;
    const auto state =
        n == 0 ? parser.finish() : parser.feed({buffer, static_cast<std::size_t>(n)});
    if (state == HttpParser::State::broken) co_return reply;
    if (state == HttpParser::State::complete) break;
  }
  reply.kind = Reply::Kind::answered;
  reply.response = std::move(parser.response());
  if (reply.response.keep_alive) keep(address, fd.release());
  co_return reply;
}

}  // namespace cranklock::net
