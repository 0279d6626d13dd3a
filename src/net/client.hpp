// HTTP client with kept-alive connections, and the interface that tests replace.
#pragma once

#include <list>
#include <map>
#include <string>

#include "net/http.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"

namespace cranklock::net {

/// What became of a call. Only `not_sent` proves that the other side never got it.
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
  /// `max_body` bounds what an answer may hold. Connections are kept as long as there are no more
  /// than `max_connections` with those of calls under way, which are not bounded here.
  HttpClient(EvReactor& reactor, std::size_t max_body, std::size_t max_connections)
      : reactor_(reactor), max_body_(max_body), max_connections_(max_connections) {}
  ~HttpClient() override;
  Task<Reply> call(std::string address, Request request, double timeout_s) override;

 private:
  struct Idle {
    std::string address;
    int fd;
    double since;
  };
  int take_idle(const std::string& address);
  void keep(const std::string& address, int fd);
  /// Closes the connections that were kept longest, as far as there are too many in all.
  void close_surplus();

  EvReactor& reactor_;
  std::size_t max_body_;
  std::size_t max_connections_;
  std::size_t under_way_ = 0;  ///< calls
  std::list<Idle> idle_;
};

}  // namespace cranklock::net
