#include "peer/links.hpp"

#include <algorithm>
#include <utility>

#include "base/event_log.hpp"

namespace cranklock::peer {

using net::Fd;
using net::Task;

Links::Links(net::EvReactor& reactor, const base::Settings& settings, double heartbeat_interval_s,
             std::function<PeerHeartbeat()> make_heartbeat, FrameHandler on_frame)
    : reactor_(reactor),
      settings_(settings),
      heartbeat_interval_s_(heartbeat_interval_s),
      make_heartbeat_(std::move(make_heartbeat)),
      on_frame_(std::move(on_frame)) {
  for (const auto& other : settings.others) {
    outboxes_[other.name] = std::make_unique<Outbox>(reactor, write_interval_s(settings));
  }
}

void Links::Outbox::clear() {
  frames.clear();
  bytes = 0;
}

double Links::io_deadline() const {
  constexpr double kTimeoutInIntervals = 2;
  return reactor_.now() + kTimeoutInIntervals * heartbeat_interval_s_;
}

// ---- receiving ----

bool Links::listen() {
  listener_ = net::listen_on(settings_.peer_listen);
  return listener_.valid();
}

Task<void> Links::accept_connections() {
  constexpr double kWaitS = 3600.0;  // the wait is repeated after this time
  // The old connection of a peer that restarts remains open until its idle timeout.
  const std::size_t max_readers = 4 * (settings_.others.size() + 1);
  for (;;) {
    net::Ready ready(reactor_, listener_.get(), false, kWaitS);
    if (!co_await ready) continue;
    for (Fd connection = net::accept_from(listener_.get()); connection.valid();
         connection = net::accept_from(listener_.get())) {
      if (readers_.size() < max_readers) readers_.spawn(read_frames(std::move(connection)));
    }
  }
}

Task<void> Links::read_frames(Fd connection) {
  constexpr double kIdleTimeoutInIntervals = 20;
  constexpr std::size_t kReadBytes = 4096;
  std::string buffer;
  std::string from;
  char bytes[kReadBytes];
  for (;;) {
    auto reading = net::read_some(reactor_, connection.get(), bytes, sizeof bytes,
                                  reactor_.now() + kIdleTimeoutInIntervals * heartbeat_interval_s_);
    const auto received = co_await reading;
    if (received <= 0) co_return;
    buffer.append(bytes, static_cast<std::size_t>(received));
    if (!deliver_frames(buffer, from)) co_return;
  }
}

bool Links::deliver_frames(std::string& buffer, std::string& from) {
  for (;;) {
    auto frame = unpack(buffer);
    if (!frame && frame.error() == UnpackError::incomplete) return true;
    if (!frame || !identify_sender(*frame, from)) {
      base::log_error("peer frame malformed", base::field("peer", from));
      return false;
    }
    on_frame_(from, std::move(*frame));
  }
}

bool Links::identify_sender(const Frame& frame, std::string& from) const {
  const auto* heartbeat = std::get_if<PeerHeartbeat>(&frame);
  if (heartbeat == nullptr) return !from.empty();
  if (outboxes_.contains(heartbeat->name)) from = heartbeat->name;
  return !from.empty() && heartbeat->name == from;
}

// ---- sending ----

void Links::send(const std::string& to, const Frame& frame) {
  // All agents of a zone may send heartbeats at once, each on its own connection.
  const auto max_frames = static_cast<std::size_t>(settings_.fd_limit);
  constexpr double kMemoryShare = 1.0 / 32;  // per peer
  const auto max_bytes = static_cast<std::size_t>(base::memory_bytes(settings_, kMemoryShare));
  const auto found = outboxes_.find(to);
  if (found == outboxes_.end()) return;
  Outbox& outbox = *found->second;
  if (!outbox.connected) return;
  if (outbox.frames.size() >= max_frames || outbox.bytes >= max_bytes) return;
  outbox.frames.push_back(pack(frame));
  outbox.bytes += outbox.frames.back().size();
  if (outbox.frames.size() == 1) outbox.frame_queued.set();
}

std::string Links::take_due_bytes(Outbox& outbox) {
  const double now = reactor_.now();
  std::string bytes;
  if (now >= outbox.next_heartbeat_at) {
    bytes = pack(make_heartbeat_());
    outbox.next_heartbeat_at = now + heartbeat_interval_s_;
  } else if (now < outbox.pacing.next_write_at()) {
    return bytes;
  }
  for (const auto& frame : outbox.frames) bytes += frame;
  outbox.clear();
  if (!bytes.empty()) outbox.pacing.on_write(now);
  return bytes;
}

double Links::next_write_at(const Outbox& outbox) {
  if (outbox.frames.empty()) return outbox.next_heartbeat_at;
  return std::min(outbox.next_heartbeat_at, outbox.pacing.next_write_at());
}

Task<void> Links::maintain_link(base::Peer other) {
  constexpr double kMinWaitS = 0.001;  // timer resolution
  Outbox& outbox = *outboxes_.at(other.name);
  Fd connection;
  for (;;) {
    if (!connection.valid()) {
      outbox.connected = false;
      outbox.clear();
      auto connecting = net::connect_to(reactor_, other.address, io_deadline());
      connection = co_await connecting;
      outbox.connected = connection.valid();
      outbox.next_heartbeat_at = 0;
    }
    if (connection.valid()) {
      const std::string bytes = take_due_bytes(outbox);
      auto writing = net::write_all(reactor_, connection.get(), bytes, io_deadline());
      if (!co_await writing) connection = Fd();
    }
    const double wait_s =
        connection.valid() ? next_write_at(outbox) - reactor_.now() : heartbeat_interval_s_;
    net::Signal::Wait wait(outbox.frame_queued, std::max(wait_s, kMinWaitS));
    co_await wait;
  }
}

}  // namespace cranklock::peer
