// Transport for tests of the clients of external systems.
#pragma once

#include <string>
#include <utility>

#include "net/client.hpp"

namespace cranklock::testing {

/// Returns the same reply to every call, immediately.
struct FixedReply : net::Transport {
  net::Reply reply;
  int calls = 0;

  void set_response(int status, std::string body) {
    reply.kind = net::Reply::Kind::answered;
    reply.response.status = status;
    reply.response.body = std::move(body);
  }
  void set_failure(net::Reply::Kind kind) { reply.kind = kind; }
  net::Task<net::Reply> call(std::string, net::Request, double) override {
    ++calls;
    co_return reply;
  }
};

}  // namespace cranklock::testing
