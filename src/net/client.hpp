// HTTP client with a pool of idle connections, and the interface that tests replace.
#pragma once

#include <list>
#include <map>
#include <string>

#include "net/http.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"

namespace cranklock::net {

/// Result of a call. Only `not_sent` proves that the server did not receive the request.
struct Reply {
  enum class Kind { answered, not_sent, unknown };
  Kind kind = Kind::unknown;
  Response response;

  bool answered() const { return kind == Kind::answered; }
  int status() const { return answered() ? response.status : 0; }
};

class Transport {
 public:
  virtual ~Transport() = default;
  virtual Task<Reply> call(std::string address, Request request, double timeout_s) = 0;
};

class HttpClient : public Transport {
 public:
  /// `max_body_bytes` bounds the body of a response. Idle connections are closed as soon as they
  /// and the calls in flight together exceed `max_connections`; calls in flight are not bounded
  /// here.
  HttpClient(EvReactor& reactor, std::size_t max_body_bytes, std::size_t max_connections)
      : reactor_(reactor), max_body_bytes_(max_body_bytes), max_connections_(max_connections) {}
  ~HttpClient() override;
  Task<Reply> call(std::string address, Request request, double timeout_s) override;

 private:
  struct IdleConnection {
    std::string address;
    int fd;
    double idle_since;
  };
  int take_idle(const std::string& address);
  void keep_idle(const std::string& address, int fd);
  /// Closes the connections that have been idle longest until `max_connections` is not exceeded.
  void close_excess_idle();

  EvReactor& reactor_;
  std::size_t max_body_bytes_;
  std::size_t max_connections_;
  std::size_t calls_in_flight_ = 0;
  std::list<IdleConnection> idle_;
};

}  // namespace cranklock::net
