// HTTP server with one coroutine per connection.
#pragma once

#include <functional>
#include <list>
#include <string>

#include "net/buffer_budget.hpp"
#include "net/connection_budget.hpp"
#include "net/http.hpp"
#include "net/reactor.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace cranklock::net {

struct ServerLimits {
  std::size_t max_connections = 256;
  /// Budget of the requests of all connections together (BufferBudget).
  std::size_t max_request_bytes = std::size_t{8} * 1024 * 1024;
  double idle_timeout_s = 60.0;    ///< of a connection between requests
  double request_timeout_s = 5.0;  ///< from the first to the last byte of a request
  HttpLimits http;
};

class HttpServer {
 public:
  using Handler = std::function<Task<Response>(Request)>;

  HttpServer(EvReactor& reactor, ServerLimits limits, Handler handler)
      : reactor_(reactor),
        limits_(limits),
        handler_(std::move(handler)),
        buffer_budget_(limits.max_request_bytes),
        connection_budget_(limits.max_connections) {}

  /// Binds and listens; false if either fails.
  bool listen(const std::string& address);
  Task<void> run();
  /// Open connections as a share of `max_connections`.
  double connection_load() const { return connection_budget_.load(); }

 private:
  struct Connection {
    int fd;
    bool idle;
  };
  Task<void> serve(Fd fd);
  /// Result of receive(): `request` is a complete or invalid request, `over_budget` one that
  /// exceeds the buffer budget, `closed` the end of the connection or a timeout.
  enum class Received { request, over_budget, closed };
  Task<Received> receive(int fd, HttpParser& parser, Connection& connection,
                         BufferBudget::Reservation& reservation);
  Task<Response> answer(HttpParser& parser, Received received);
  /// Closes the connection that has been idle longest; false if none is idle.
  bool close_longest_idle();

  EvReactor& reactor_;
  ServerLimits limits_;
  Handler handler_;
  BufferBudget buffer_budget_;
  ConnectionBudget connection_budget_;
  Fd listener_;
  std::list<Connection> open_connections_;  ///< idle ones in order of idle time, longest first
  Scope connection_tasks_;
};

}  // namespace cranklock::net
