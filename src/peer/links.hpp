// Connections between the controllers: each says peer heartbeat to each of the others, again and
// again, and sends what else there is for them on the same connection.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "base/settings.hpp"
#include "net/stream.hpp"
#include "peer/frames.hpp"
#include "peer/write_pacing.hpp"

namespace cranklock::peer {

class Links {
 public:
  using FrameHandler = std::function<void(const std::string& from, Frame)>;

  /// `every_s` is the time between peer heartbeats. Names that the settings do not know are
  /// refused.
  Links(net::EvReactor& reactor, const base::Settings& settings, double every_s,
        std::function<PeerHeartbeat()> mine, FrameHandler heard)
      : reactor_(reactor),
        settings_(settings),
        every_s_(every_s),
        mine_(std::move(mine)),
        heard_(std::move(heard)) {
    for (const auto& other : settings.others)
      outboxes_[other.name] = std::make_unique<Outbox>(reactor, write_interval(settings));
  }

  bool listen();
  net::Task<void> accept();
  /// Keeps a connection to the other node, and writes peer heartbeats and frames to it, for ever.
  net::Task<void> keep_link(base::Peer other);
  /// Queues the frame while connected; without a connection it is dropped, never kept for later.
  void send(const std::string& to, const Frame& frame);

 private:
  struct Outbox {
    Outbox(net::Reactor& reactor, double write_interval_s)
        : filled(reactor), pacing(write_interval_s) {}
    net::Signal filled;
    std::deque<std::string> frames;
    std::size_t bytes = 0;  ///< of all frames
    bool connected = false;
    WritePacing pacing;
    double next_heartbeat = 0;
  };
  net::Task<void> read(net::Fd fd);
  /// Takes what is to be written now: a peer heartbeat that is due, and all frames if they may
  /// leave.
  std::string take_due(Outbox& box);
  static double next_write(const Outbox& box);

  net::EvReactor& reactor_;
  const base::Settings& settings_;
  double every_s_;
  std::function<PeerHeartbeat()> mine_;
  FrameHandler heard_;
  std::map<std::string, std::unique_ptr<Outbox>> outboxes_;
  net::Fd listener_;
  net::Scope readers_;
};

}  // namespace cranklock::peer
