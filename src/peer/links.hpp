// Connections between the controllers of a region.
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
/// connection; it receives frames on the connections opened by the others. A frame is delivered at
/// most once: frames that can't be sent are dropped, and senders must tolerate the loss.
class Links {
 public:
  /// `from`: name of the sender, a controller listed in the settings.
  using FrameHandler = std::function<void(const std::string& from, Frame)>;

  /// `heartbeat_interval_s`: interval of the peer heartbeats on a connection. `make_heartbeat` is
  /// called when a heartbeat is written, so that its content is current.
  Links(net::EvReactor& reactor, const base::Settings& settings, double heartbeat_interval_s,
        std::function<PeerHeartbeat()> make_heartbeat, FrameHandler on_frame);

  /// Returns false if the process can't listen on `peer_listen` of the settings.
  bool listen();
  /// Accepts and reads the connections of other controllers; never returns.
  net::Task<void> accept_connections();
  /// Keeps a connection to the other controller open and writes to it; never returns.
  net::Task<void> maintain_link(base::Peer other);
  /// Queues the frame. Drops it without a connection or if the queue is full.
  void send(const std::string& to, const Frame& frame);

 private:
  /// Frames to be written to one other controller.
  struct Outbox {
    Outbox(net::Reactor& reactor, double write_interval_s)
        : frame_queued(reactor), pacing(write_interval_s) {}
    net::Signal frame_queued;        ///< set when the first frame is queued
    std::deque<std::string> frames;  ///< packed
    std::size_t bytes = 0;           ///< of all frames
    bool connected = false;
    WritePacing pacing;
    double next_heartbeat_at = 0;  ///< steady clock

    void clear();
  };

  net::Task<void> read_frames(net::Fd connection);
  /// Delivers the complete frames at the front of the buffer. `from` is the sender at the other end
  /// of the connection: empty until its first heartbeat. Returns false on a malformed or unexpected
  /// frame.
  bool deliver_frames(std::string& buffer, std::string& from);
  /// Sets `from` to the sender named in a heartbeat. Returns false if the settings don't list the
  /// sender, or if another frame precedes the first heartbeat.
  bool identify_sender(const Frame& frame, std::string& from) const;

  /// Takes the bytes to write now: a peer heartbeat if one is due, and the queued frames if a
  /// heartbeat is due or the pacing allows a write.
  std::string take_due_bytes(Outbox& outbox);
  static double next_write_at(const Outbox& outbox);
  /// Deadline of a connect or write that begins now, on the steady clock.
  double io_deadline() const;

  net::EvReactor& reactor_;
  const base::Settings& settings_;
  double heartbeat_interval_s_;
  std::function<PeerHeartbeat()> make_heartbeat_;
  FrameHandler on_frame_;
  std::map<std::string, std::unique_ptr<Outbox>> outboxes_;  ///< by controller name
  net::Fd listener_;
  net::Scope readers_;
};

}  // namespace cranklock::peer
