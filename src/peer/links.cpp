#include "peer/links.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cranklock::peer {

using net::Fd;
using net::Task;

bool Links::listen() {
  listener_ = net::listen_on(settings_.peer_listen);
  return listener_.valid();
}

Task<void> Links::accept() {
  // A peer that restarts leaves its old connection behind until that goes quiet.
  const std::size_t most = 4 * (settings_.others.size() + 1);
  for (;;) {
    net::Ready ready(reactor_, listener_.get(), false, 3600.0);
    if (!co_await ready) continue;
    for (Fd fd = net::accept_from(listener_.get()); fd.valid();
         fd = net::accept_from(listener_.get())) {
      if (readers_.size() < most) readers_.spawn(read(std::move(fd)));
    }
  }
}

Task<void> Links::read(Fd fd) {
  std::string buffer;
  char bytes[512];
  for (;;) {
    auto reading =
        net::read_some(reactor_, fd.get(), bytes, sizeof bytes, reactor_.now() + 20 * every_s_);
    const auto n = co_await reading;
    if (n <= 0) co_return;
    buffer.append(bytes, static_cast<std::size_t>(n));
    for (;;) {
      Hello hello;
      const auto result = unpack(buffer, hello);
      if (result == Unpacked::more) break;
      const bool known = result == Unpacked::frame &&
                         std::any_of(settings_.others.begin(), settings_.others.end(),
                                     [&](const base::Peer& p) { return p.name == hello.name; });
      if (!known) {
        spdlog::error("a malformed peer frame was refused");
        co_return;
      }
      heard_(hello);
    }
  }
}

Task<void> Links::greet(std::string address) {
  Fd fd;
  for (;;) {
    if (!fd.valid()) {
      auto connecting = net::connect_to(reactor_, address, reactor_.now() + 2 * every_s_);
      fd = co_await connecting;
    }
    if (fd.valid()) {
      const std::string out = pack(mine_());
      auto writing = net::write_all(reactor_, fd.get(), out, reactor_.now() + 2 * every_s_);
      if (!co_await writing) fd = Fd();
    }
    net::Sleep pause(reactor_, every_s_);
    co_await pause;
  }
}

}  // namespace cranklock::peer
