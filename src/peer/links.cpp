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
  const std::size_t max_readers = 4 * (settings_.others.size() + 1);
  for (;;) {
    net::Ready ready(reactor_, listener_.get(), false, 3600.0);
    if (!co_await ready) continue;
    for (Fd fd = net::accept_from(listener_.get()); fd.valid();
         fd = net::accept_from(listener_.get())) {
      if (readers_.size() < max_readers) readers_.spawn(read(std::move(fd)));
    }
  }
}

Task<void> Links::read(Fd fd) {
  std::string buffer, from;  // whose connection it is, as its first peer heartbeat says
  char bytes[4096];
  for (;;) {
    auto reading =
        net::read_some(reactor_, fd.get(), bytes, sizeof bytes, reactor_.now() + 20 * every_s_);
    const auto n = co_await reading;
    if (n <= 0) co_return;
    buffer.append(bytes, static_cast<std::size_t>(n));
    for (;;) {
      Frame frame;
      const auto result = unpack(buffer, frame);
      if (result == Unpacked::more) break;
      const auto* peer_heartbeat =
          result == Unpacked::frame ? std::get_if<PeerHeartbeat>(&frame) : nullptr;
      if (peer_heartbeat != nullptr && outboxes_.contains(peer_heartbeat->name))
        from = peer_heartbeat->name;
      const bool known = result == Unpacked::frame && !from.empty() &&
                         (peer_heartbeat == nullptr || peer_heartbeat->name == from);
      if (!known) {
        spdlog::error("a malformed peer frame was refused");
        co_return;
      }
      heard_(from, std::move(frame));
    }
  }
}

void Links::send(const std::string& to, const Frame& frame) {
  // A zone's workers may all report at once, each on a connection of its own.
  const auto max_waiting = static_cast<std::size_t>(settings_.fd_limit);
  constexpr double kPartOfMemory = 1.0 / 32;  // for each of the other nodes
  const auto max_bytes = static_cast<std::size_t>(settings_.ram_mb * 1024 * 1024 * kPartOfMemory);
  const auto it = outboxes_.find(to);
  if (it == outboxes_.end()) return;
  Outbox& box = *it->second;
  if (!box.connected || box.frames.size() >= max_waiting || box.bytes >= max_bytes) return;
  box.frames.push_back(pack(frame));
  box.bytes += box.frames.back().size();
  if (box.frames.size() == 1) box.filled.set();
}

std::string Links::take_due(Outbox& box) {
  const double now = reactor_.now();
  std::string out;
  if (now >= box.next_heartbeat) {
    out = pack(mine_());
    box.next_heartbeat = now + every_s_;
  } else if (now < box.pacing.due()) {
    return out;
  }
  for (; !box.frames.empty(); box.frames.pop_front()) out += box.frames.front();
  box.bytes = 0;
  if (!out.empty()) box.pacing.wrote(now);
  return out;
}

double Links::next_write(const Outbox& box) {
  return box.frames.empty() ? box.next_heartbeat : std::min(box.next_heartbeat, box.pacing.due());
}

Task<void> Links::keep_link(base::Peer other) {
  constexpr double kMinWait = 0.001;  // the resolution of timers
  Outbox& box = *outboxes_.at(other.name);
  Fd fd;
  for (;;) {
    if (!fd.valid()) {
      box.connected = false;
      box.frames.clear();
      box.bytes = 0;
      auto connecting = net::connect_to(reactor_, other.address, reactor_.now() + 2 * every_s_);
      fd = co_await connecting;
      box.connected = fd.valid();
      box.next_heartbeat = 0;
    }
    if (fd.valid()) {
      const std::string out = take_due(box);
      auto writing = net::write_all(reactor_, fd.get(), out, reactor_.now() + 2 * every_s_);
      if (!co_await writing) fd = Fd();
    }
    const double pause = fd.valid() ? next_write(box) - reactor_.now() : every_s_;
    net::Signal::Wait wait(box.filled, std::max(pause, kMinWait));
    co_await wait;
  }
}

}  // namespace cranklock::peer
