// HTTP server: a routine per connection.
#pragma once

#include <functional>
#include <list>
#include <string>

#include "net/http.hpp"
#include "net/reactor.hpp"
#include "net/socket.hpp"
#include "net/task.hpp"

namespace cranklock::net {

struct ServerLimits {
  std::size_t connections = 256;
  double idle_s = 60.0;    ///< a connection between requests
  double request_s = 5.0;  ///< from the first byte of a request to its last
  HttpLimits http;
};

class HttpServer {
 public:
  using Handler = std::function<Task<Response>(Request)>;

  HttpServer(EvReactor& reactor, ServerLimits limits, Handler handler)
      : reactor_(reactor), limits_(limits), handler_(std::move(handler)) {}

  /// Binds and listens; false when the address can't be had.
  bool listen(const std::string& address);
  Task<void> run();

 private:
  struct Connection {
    int fd;
    bool idle;
  };
  Task<void> serve(Fd fd);
  void make_room();

  EvReactor& reactor_;
  ServerLimits limits_;
  Handler handler_;
  Fd listener_;
  std::list<Connection> open_;  ///< idle ones that waited longest first
  Scope connections_;
};

}  // namespace cranklock::net
