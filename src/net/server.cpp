#include "net/server.hpp"

#include <cerrno>

#include "net/stream.hpp"

namespace cranklock::net {

bool HttpServer::listen(const std::string& address) {
  listener_ = listen_on(address);
  return listener_.valid();
}

bool HttpServer::make_room() {
  // Guards against slow or silent clients using up the sockets that workers need: the connection
  // that has been idle longest goes. Its routine sees the end and cleans up.
  for (auto& c : open_) {
    if (!c.idle) continue;
    ::shutdown(c.fd, SHUT_RDWR);
    c.idle = false;
    return true;
  }
  return false;
}

Task<void> HttpServer::run() {
  for (;;) {
    Ready ready(reactor_, listener_.get(), false, 3600.0);
    if (!co_await ready) continue;
    for (;;) {
      Fd fd = accept_from(listener_.get());
      if (!fd.valid()) {
        if (errno == EMFILE || errno == ENFILE) {
          // The routine whose connection goes needs a turn to close it.
          constexpr double kTurn = 0.001, kNothingToClose = 0.05;
          Sleep pause(reactor_, make_room() ? kTurn : kNothingToClose);
          co_await pause;
          continue;
        }
        break;
      }
      if (connection_budget_.is_full()) make_room();
      if (!connection_budget_.may_accept()) continue;
      connections_.spawn(serve(std::move(fd)));
    }
  }
}

Task<HttpServer::Received> HttpServer::receive(int fd, HttpParser& parser, Connection& connection,
                                               BufferBudget::Share& held) {
  double begun = reactor_.now();
  while (parser.state() == HttpParser::State::more) {
    const double left = parser.idle() ? limits_.idle_s : begun + limits_.request_s - reactor_.now();
    if (left <= 0) co_return Received::closed;
    char buffer[4096];
    auto reading = read_some(reactor_, fd, buffer, sizeof buffer, reactor_.now() + left);
    const auto n = co_await reading;
    if (n <= 0) co_return Received::closed;
    if (parser.idle()) begun = reactor_.now();
    connection.idle = false;
    const auto size = static_cast<std::size_t>(n);
    if (!held.grow(size)) co_return Received::too_much;
    parser.feed({buffer, size});
  }
  co_return Received::request;
}

Task<Response> HttpServer::answer(HttpParser& parser, Received received) {
  Response response;
  if (received == Received::too_much) {
    // Guards against a flood of large bodies, which would end a process of little memory.
    response.status = 503;
    response.retry_after_s = 1;
    response.body = R"({"error":"too many large requests"})";
    response.keep_alive = false;
    co_return response;
  }
  if (parser.state() == HttpParser::State::broken) {
    response.status = parser.error();
    response.body = R"({"error":"broken request"})";
    response.keep_alive = false;
    co_return response;
  }
  const bool keep = parser.request().keep_alive;
  auto work = handler_(std::move(parser.request()));
  response = co_await work;
  response.keep_alive = response.keep_alive && keep;
  co_return response;
}

Task<void> HttpServer::serve(Fd fd) {
  struct Entry {
    HttpServer& server;
    std::list<Connection>::iterator it;
    ~Entry() {
      server.open_.erase(it);
      server.connection_budget_.closed();
    }
  };
  connection_budget_.opened();
  Entry entry{*this, open_.insert(open_.end(), {fd.get(), true})};
  HttpParser parser(HttpParser::Kind::request, limits_.http);
  BufferBudget::Share held(budget_);
  for (;;) {
    auto receiving = receive(fd.get(), parser, *entry.it, held);
    const auto received = co_await receiving;
    if (received == Received::closed) co_return;
    auto answering = answer(parser, received);
    auto response = co_await answering;
    response.keep_alive = response.keep_alive && connection_budget_.keeps_answered();
    const std::string out = serialize(response);
    auto writing = write_all(reactor_, fd.get(), out, reactor_.now() + limits_.request_s);
    if (!co_await writing) co_return;
    if (!response.keep_alive) co_return;
    held.release();
    parser.next();
    if (parser.idle()) {
      entry.it->idle = true;
      open_.splice(open_.end(), open_, entry.it);
    }
  }
}

}  // namespace cranklock::net
