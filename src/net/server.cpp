#include "net/server.hpp"

#include <cerrno>

#include "net/stream.hpp"

namespace cranklock::net {

bool HttpServer::listen(const std::string& address) {
  listener_ = listen_on(address);
  return listener_.valid();
}

bool HttpServer::close_longest_idle() {
  // Clients that seldom or never send a request must not use up the sockets that agents need, so
  // the connection that has been idle longest is shut down. Its coroutine then reads the end of the
  // stream and closes it.
  for (auto& connection : open_connections_) {
    if (!connection.idle) continue;
    ::shutdown(connection.fd, SHUT_RDWR);
    connection.idle = false;
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
          // The coroutine of a connection that was shut down must run before the descriptor is
          // free.
          constexpr double kCloseDelayS = 0.001, kRetryDelayS = 0.05;
          Sleep pause(reactor_, close_longest_idle() ? kCloseDelayS : kRetryDelayS);
          co_await pause;
          continue;
        }
        break;
      }
      if (connection_budget_.is_full()) close_longest_idle();
      if (!connection_budget_.may_accept()) continue;
      connection_tasks_.spawn(serve(std::move(fd)));
    }
  }
}

Task<HttpServer::Received> HttpServer::receive(int fd, HttpParser& parser, Connection& connection,
                                               BufferBudget::Reservation& reservation) {
  double request_started_at = reactor_.now();
  while (parser.state() == HttpParser::State::incomplete) {
    const double remaining_s =
        parser.idle() ? limits_.idle_timeout_s
                      : request_started_at + limits_.request_timeout_s - reactor_.now();
    if (remaining_s <= 0) co_return Received::closed;
    char buffer[4096];
    auto reading = read_some(reactor_, fd, buffer, sizeof buffer, reactor_.now() + remaining_s);
    const auto n = co_await reading;
    if (n <= 0) co_return Received::closed;
    if (parser.idle()) request_started_at = reactor_.now();
    connection.idle = false;
    const auto size = static_cast<std::size_t>(n);
    if (!reservation.grow(size)) co_return Received::over_budget;
    parser.feed({buffer, size});
  }
  co_return Received::request;
}

Task<Response> HttpServer::answer(HttpParser& parser, Received received) {
  Response response;
  if (received == Received::over_budget) {
    // A flood of large bodies would exhaust the memory of a process with a small memory limit.
    response.status = 503;
    response.retry_after_s = 1;
    response.body = R"({"error":"too many large requests"})";
    response.keep_alive = false;
    co_return response;
  }
  if (parser.state() == HttpParser::State::failed) {
    response.status = parser.error_status();
    response.body =
        R"({"error":"request malformed, too large or in an unsupported transfer encoding"})";
    response.keep_alive = false;
    co_return response;
  }
  const bool keep_alive = parser.request().keep_alive;
  auto handling = handler_(std::move(parser.request()));
  response = co_await handling;
  response.keep_alive = response.keep_alive && keep_alive;
  co_return response;
}

Task<void> HttpServer::serve(Fd fd) {
  struct Entry {
    HttpServer& server;
    std::list<Connection>::iterator it;
    ~Entry() {
      server.open_connections_.erase(it);
      server.connection_budget_.closed();
    }
  };
  connection_budget_.opened();
  Entry entry{*this, open_connections_.insert(open_connections_.end(), {fd.get(), true})};
  HttpParser parser(HttpParser::Kind::request, limits_.http);
  BufferBudget::Reservation reservation(buffer_budget_);
  for (;;) {
    auto receiving = receive(fd.get(), parser, *entry.it, reservation);
    const auto received = co_await receiving;
    if (received == Received::closed) co_return;
    auto answering = answer(parser, received);
    auto response = co_await answering;
    response.keep_alive = response.keep_alive && connection_budget_.may_keep_alive();
    const std::string out = serialize(response);
    auto writing = write_all(reactor_, fd.get(), out, reactor_.now() + limits_.request_timeout_s);
    if (!co_await writing) co_return;
    if (!response.keep_alive) co_return;
    reservation.release();
    parser.next();
    if (parser.idle()) {
      entry.it->idle = true;
      open_connections_.splice(open_connections_.end(), open_connections_, entry.it);
    }
  }
}

}  // namespace cranklock::net
