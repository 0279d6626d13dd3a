#include "net/server.hpp"

#include <cerrno>

namespace cranklock::net {

bool HttpServer::listen(const std::string& address) {
  const auto local = parse_address(address);
  if (!local) return false;
  listener_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int one = 1;
  ::setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  return ::bind(listener_.get(), reinterpret_cast<const sockaddr*>(&*local), sizeof *local) == 0 &&
         ::listen(listener_.get(), 128) == 0;
}

void HttpServer::make_room() {
  // Guards against slow or silent clients using up the sockets that workers need: the connection
  // that has been idle longest goes. Its routine sees the end and cleans up.
  for (auto& c : open_) {
    if (!c.idle) continue;
    ::shutdown(c.fd, SHUT_RDWR);
    c.idle = false;
    return;
  }
}

Task<void> HttpServer::run() {
  for (;;) {
    Ready ready(reactor_, listener_.get(), false, 3600.0);
    if (!co_await ready) continue;
    for (;;) {
      Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!fd.valid()) {
        if (errno == EMFILE || errno == ENFILE) {
          make_room();
          Sleep pause(reactor_, 0.05);
          co_await pause;
        }
        break;
      }
      const int one = 1;
      ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      if (open_.size() >= limits_.connections) make_room();
      if (open_.size() >= limits_.connections + limits_.connections / 8) continue;
      connections_.spawn(serve(std::move(fd)));
    }
  }
}

Task<void> HttpServer::serve(Fd fd) {
  struct Entry {
    std::list<Connection>& list;
    std::list<Connection>::iterator it;
    ~Entry() { list.erase(it); }
  };
  Entry entry{open_, open_.insert(open_.end(), {fd.get(), true})};
  HttpParser parser(HttpParser::Kind::request, limits_.http);
  double begun = 0.0;
  for (;;) {
    while (parser.state() == HttpParser::State::more) {
      const double left =
          parser.idle() ? limits_.idle_s : begun + limits_.request_s - reactor_.now();
      if (left <= 0) co_return;
      Ready ready(reactor_, fd.get(), false, left);
      if (!co_await ready) co_return;
      char buffer[4096];
      const auto n = ::recv(fd.get(), buffer, sizeof buffer, 0);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) continue;
      if (n <= 0) co_return;
      if (parser.idle()) begun = reactor_.now();
      entry.it->idle = false;
      parser.feed({buffer, static_cast<std::size_t>(n)});
    }
    Response response;
    if (parser.state() == HttpParser::State::broken) {
      response.status = parser.error();
      response.body = R"({"error":"broken request"})";
      response.keep_alive = false;
    } else {
      const bool keep = parser.request().keep_alive;
      auto work = handler_(std::move(parser.request()));
      response = co_await work;
      response.keep_alive = response.keep_alive && keep;
    }
    const std::string out = serialize(response);
    std::size_t sent = 0;
    const double until = reactor_.now() + limits_.request_s;
    while (sent < out.size()) {
      const auto n = ::send(fd.get(), out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
      if (n > 0) {
        sent += static_cast<std::size_t>(n);
      } else if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        Ready ready(reactor_, fd.get(), true, until - reactor_.now());
        if (!co_await ready) co_return;
      } else {
        co_return;
      }
    }
    if (!response.keep_alive) co_return;
    parser.next();
    begun = reactor_.now();
    if (parser.idle()) {
      entry.it->idle = true;
      open_.splice(open_.end(), open_, entry.it);
    }
  }
}

}  // namespace cranklock::net
