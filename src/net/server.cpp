#include "net/server.hpp"

#include <cerrno>

#include "net/stream.hpp"

namespace cranklock::net {

bool HttpServer::listen(const std::string& address) {
  listener_ = listen_on(address);
  return listener_.valid();
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
      Fd fd = accept_from(listener_.get());
      if (!fd.valid()) {
        if (errno == EMFILE || errno == ENFILE) {
          make_room();
          Sleep pause(reactor_, 0.05);
          co_await pause;
        }
        break;
      }
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
      char buffer[4096];
      auto reading = read_some(reactor_, fd.get(), buffer, sizeof buffer, reactor_.now() + left);
      const auto n = co_await reading;
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
    auto writing = write_all(reactor_, fd.get(), out, reactor_.now() + limits_.request_s);
    if (!co_await writing) co_return;
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
