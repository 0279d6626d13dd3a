// HTTP server: a routine per connection.
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
  std::size_t connections = 256;
  std::size_t request_bytes = std::size_t{8} * 1024 * 1024;  ///< of all requests together
  double idle_s = 60.0;                                      ///< a connection between requests
  double request_s = 5.0;  ///< from the first byte of a request to its last
  HttpLimits http;
};

class HttpServer {
 public:
  using Handler = std::function<Task<Response>(Request)>;

  HttpServer(EvReactor& reactor, ServerLimits limits, Handler handler)
      : reactor_(reactor),
        limits_(limits),
        handler_(std::move(handler)),
        budget_(limits.request_bytes),
        connection_budget_(limits.connections) {}

  /// Binds and listens; false when the address can't be had.
  bool listen(const std::string& address);
  Task<void> run();
  /// Share of the connections it may have that are open.
  double connection_load() const { return connection_budget_.load(); }

 private:
  struct Connection {
    int fd;
    bool idle;
  };
  Task<void> serve(Fd fd);
  /// Reads until the parser has a whole request or a broken one; false when the connection is over.
  enum class Received { request, too_much, closed };
  Task<Received> receive(int fd, HttpParser& parser, Connection& connection,
                         BufferBudget::Share& held);
  Task<Response> answer(HttpParser& parser, Received received);
  /// Closes the connection that has been idle longest; false when none is idle.
  bool make_room();

  EvReactor& reactor_;
  ServerLimits limits_;
  Handler handler_;
  BufferBudget budget_;
  ConnectionBudget connection_budget_;
  Fd listener_;
  std::list<Connection> open_;  ///< idle ones that waited longest first
  Scope connections_;
};

}  // namespace cranklock::net
