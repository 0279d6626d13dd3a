#include "net/client.hpp"

#include <cerrno>

#include "net/stream.hpp"

namespace cranklock::net {
namespace {
constexpr double kMaxIdleS = 30.0;
}

HttpClient::~HttpClient() {
  for (const auto& idle : idle_) ::close(idle.fd);
}

int HttpClient::take_idle(const std::string& address) {
  const double oldest_kept = reactor_.now() - kMaxIdleS;
  while (!idle_.empty() && idle_.front().idle_since < oldest_kept) {
    ::close(idle_.front().fd);
    idle_.pop_front();
  }
  for (auto it = idle_.begin(); it != idle_.end(); ++it) {
    if (it->address != address) continue;
    Fd fd(it->fd);
    idle_.erase(it);
    // An idle connection that is readable has been closed by the peer, or has data that belongs to
    // no request; either way it can't be reused.
    char byte = 0;
    const auto n = ::recv(fd.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return fd.release();
    return take_idle(address);
  }
  return -1;
}

void HttpClient::keep_idle(const std::string& address, int fd) {
  idle_.push_back({address, fd, reactor_.now()});
  close_excess_idle();
}

void HttpClient::close_excess_idle() {
  while (!idle_.empty() && idle_.size() + calls_in_flight_ > max_connections_) {
    ::close(idle_.front().fd);
    idle_.pop_front();
  }
}

Task<Reply> HttpClient::call(std::string address, Request request, double timeout_s) {
  const double deadline = reactor_.now() + timeout_s;
  Reply reply;
  struct InFlightCall {
    std::size_t& count;
    ~InFlightCall() { --count; }
  };
  const InFlightCall in_flight{++calls_in_flight_};
  Fd fd(take_idle(address));
  close_excess_idle();
  if (!fd.valid()) {
    auto connecting = connect_to(reactor_, address, deadline);
    fd = co_await connecting;
    if (!fd.valid()) {
      reply.kind = Reply::Kind::not_sent;
      co_return reply;
    }
  }
  const std::string out = serialize(request, address);
  auto writing = write_all(reactor_, fd.get(), out, deadline);
  if (!co_await writing) co_return reply;
  HttpParser parser(HttpParser::Kind::response, {HttpLimits{}.max_head_bytes, max_body_bytes_});
  char buffer[8192];
  for (;;) {
    auto reading = read_some(reactor_, fd.get(), buffer, sizeof buffer, deadline);
    const auto n = co_await reading;
    if (n < 0) co_return reply;
    const auto state =
        n == 0 ? parser.finish() : parser.feed({buffer, static_cast<std::size_t>(n)});
    if (state == HttpParser::State::failed) co_return reply;
    if (state == HttpParser::State::complete) break;
  }
  reply.kind = Reply::Kind::answered;
  reply.response = std::move(parser.response());
  if (reply.response.keep_alive) keep_idle(address, fd.release());
  co_return reply;
}

}  // namespace cranklock::net
