// The connections between the controllers of a region.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/settings.hpp"
#include "net/stream.hpp"
#include "peer/frames.hpp"
#include "peer/write_pacing.hpp"

namespace cranklock::peer {

/// Each controller connects to every other one and writes its heartbeats and other frames to that
/// connection; what it receives comes on the connections that the others made. Every frame is
/// delivered at most once: those that can't be sent are dropped, and their senders know how to do
/// without.
class Links {
 public:
  /// `from`: name of the sender, one of those in the settings.
  using FrameHandler = std::function<void(const std::string& from, Frame)>;

  /// `heartbeat_interval_s`: between the peer heartbeats on a connection. `make_heartbeat` is
  /// called when one is written, so that it says what holds then.
  Links(net::EvReactor& reactor, const base::Settings& settings, double heartbeat_interval_s,
        std::function<PeerHeartbeat()> make_heartbeat, FrameHandler on_frame);

  /// False when the settings' address for peers can't be listened on.
  bool listen();
  /// Accepts and reads the connections of other controllers, for ever.
  net::Task<void> accept_connections();
  /// Keeps a connection to the other controller and writes to it, for ever.
  net::Task<void> maintain_link(base::Peer other);
  /// Queues the frame while connected; without a connection, or with a full queue, it is dropped.
  void send(const std::string& to, const Frame& frame);

 private:
  /// What is to be written to one other controller.
  struct Outbox {
    Outbox(net::Reactor& reactor, double write_interval_s)
        : filled(reactor), pacing(write_interval_s) {}
    net::Signal filled;              ///< set when the first frame is queued
    std::deque<std::string> frames;  ///< packed
    std::size_t bytes = 0;           ///< of all frames
    bool connected = false;
    WritePacing pacing;
    double next_heartbeat_at = 0;  ///< steady clock

    void clear();
  };

  net::Task<void> read_frames(net::Fd connection);
  /// Hands on the frames at the front of the buffer. `from` is the connection's sender: empty until
  /// its first heartbeat. False on a frame that the connection must not carry.
  bool deliver_frames(std::string& buffer, std::string& from);
  /// Sets `from` to the sender that a heartbeat names. False if the settings don't know the sender,
  /// or if another frame comes before the first heartbeat.
  bool identify_sender(const Frame& frame, std::string& from) const;

  /// Takes what is to be written now: a peer heartbeat that is due, and all frames if they may
  /// leave.
  std::string take_due(Outbox& outbox);
  static double next_write_at(const Outbox& outbox);
  /// Time limit of a connect or write, on the steady clock.
  double io_deadline() const;

  net::EvReactor& reactor_;
  const base::Settings& settings_;
  double heartbeat_interval_s_;
  std::function<PeerHeartbeat()> make_heartbeat_;
  FrameHandler on_frame_;
  std::map<std::string, std::unique_ptr<Outbox>> outboxes_;  ///< by the other controller's name
  net::Fd listener_;
  net::Scope readers_;
};

}  // namespace cranklock::peer
