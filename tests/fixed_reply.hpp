// A transport for tests of the clients of outside systems.
#pragma once

#include <string>
#include <utility>

#include "net/client.hpp"

namespace cranklock::testing {

/// Gives every call the same reply, at once.
struct FixedReply : net::Transport {
  net::Reply reply;
  int calls = 0;

  void answer(int status, std::string body) {
    reply.kind = net::Reply::Kind::answered;
    reply.response.status = status;
    reply.response.body = std::move(body);
  }
  void fail(net::Reply::Kind kind) { reply.kind = kind; }
  net::Task<net::Reply> call(std::string, net::Request, double) override {
    ++calls;
    co_return reply;
  }
};

}  // namespace cranklock::testing
