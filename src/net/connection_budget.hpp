// How many connections a server keeps open, and how it reacts when there are too many.
#pragma once

#include <cstddef>

namespace cranklock::net {

/// Counts a server's open connections against its limit.
///
/// Connections are kept alive between requests up to three quarters of the limit. Beyond that,
/// every response closes its connection, so that sockets stay available for new connections: with
/// more clients than sockets, each request costs a new connection, but no client is rejected. Up to
/// an eighth above the limit is accepted while idle connections are closed in exchange.
class ConnectionBudget {
 public:
  explicit ConnectionBudget(std::size_t limit) : limit_(limit) {}

  void opened() { ++open_; }
  void closed() { --open_; }

  std::size_t open() const { return open_; }
  /// Share of the limit in use; above 1 while idle connections are being closed for new ones.
  double load() const { return static_cast<double>(open_) / static_cast<double>(limit_); }
  /// Whether a connection may be kept for another request after a response.
  bool may_keep_alive() const { return open_ <= limit_ - limit_ / 4; }
  /// Whether an idle connection must be closed for each new one.
  bool is_full() const { return open_ >= limit_; }
  bool may_accept() const { return open_ < limit_ + limit_ / 8; }

 private:
  std::size_t limit_;
  std::size_t open_ = 0;
};

}  // namespace cranklock::net
