// Connections between regions. Each controller listens; the leader of a region keeps a connection
// to every controller of the other regions and learns from their heartbeats which of them leads.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "net/stream.hpp"
#include "regions/frame_reader.hpp"
#include "regions/frames.hpp"
#include "regions/quota_service.hpp"

namespace cranklock::regions {

/// Frames travel on the sender's own connection; the receiver answers with heartbeats only. A frame
/// that can't be sent now is dropped: what matters is sent again by who keeps it.
class Links : public RegionNetwork {
 public:
  using FrameHandler = std::function<void(const std::string& region, const RegionFrame& frame)>;

  /// `fencing_token` is that of this controller's leadership, 0 while it does not lead.
  Links(net::EvReactor& reactor, const base::Settings& settings,
        std::function<std::uint64_t()> fencing_token, FrameHandler on_frame);

  /// False when the address that the operator's XML gives this controller can't be listened on.
  bool listen();
  void start(net::Scope& scope);

  std::vector<std::string> reachable() const override;
  void send(const std::string& region, const RegionFrame& frame) override;

  /// Time between heartbeats on a connection.
  static double heartbeat_interval(const base::Settings& settings) {
    return settings.heartbeat_interval_s;
  }

 private:
  /// Shared by the routines that read and write it, so that its number is not used again before
  /// both have ended.
  using SharedFd = std::shared_ptr<net::Fd>;
  /// To one controller of another region.
  struct Link {
    Link(net::Reactor& reactor, std::string to_region, base::RegionController to)
        : region(std::move(to_region)), controller(std::move(to)), filled(reactor) {}
    std::string region;
    base::RegionController controller;
    net::Signal filled;
    std::deque<std::string> frames;
    SharedFd fd;
    double next_heartbeat = 0;
    std::uint64_t fencing_token = 0;  ///< as its last heartbeat had it; 0: it does not lead
    double heard_at = -1e9;
  };

  net::Task<void> accept();
  net::Task<void> serve(net::Fd fd);
  net::Task<void> keep(Link& link);
  net::Task<void> connect(Link& link);
  net::Task<void> read_heartbeats(Link& link, SharedFd fd);
  /// The frames that came next; nothing at the end of the connection or after a bad frame.
  net::Task<std::optional<std::vector<RegionFrame>>> receive(int fd, FrameReader& reader);
  static void close(Link& link);
  std::string take_due(Link& link);
  /// The connection to the region's leader, as an index; nothing when none is known.
  std::optional<std::size_t> leader_link(const std::string& region) const;
  RegionHeartbeat heartbeat() const;

  net::EvReactor& reactor_;
  const base::Settings& settings_;
  std::function<std::uint64_t()> fencing_token_;
  FrameHandler on_frame_;
  std::vector<std::unique_ptr<Link>> links_;
  net::Fd listener_;
  net::Scope readers_;
};

}  // namespace cranklock::regions
