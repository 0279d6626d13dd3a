// How many connections a server keeps, and what it does when they become too many.
#pragma once

#include <cstddef>

namespace cranklock::net {

/// Counts a server's open connections against its limit.
///
/// Between requests, connections are kept up to three quarters of the limit. Beyond that every
/// answer announces that its connection closes, so that there is always room for whoever comes:
/// more clients than sockets then cost a connection for each request, and nobody is refused. An
/// eighth above the limit stays open to newcomers while idle connections are closed for them.
class ConnectionBudget {
 public:
  explicit ConnectionBudget(std::size_t limit) : limit_(limit) {}

  void opened() { ++open_; }
  void closed() { --open_; }

  std::size_t open() const { return open_; }
  /// Share of the limit that is in use; above 1 while connections are closed for newcomers.
  double load() const { return static_cast<double>(open_) / static_cast<double>(limit_); }
  /// Whether a connection that was just answered may stay for another request.
  bool keeps_answered() const { return open_ <= limit_ - limit_ / 4; }
  /// Whether an idle connection has to go for one that comes.
  bool is_full() const { return open_ >= limit_; }
  bool may_accept() const { return open_ < limit_ + limit_ / 8; }

 private:
  std::size_t limit_;
  std::size_t open_ = 0;
};

}  // namespace cranklock::net
