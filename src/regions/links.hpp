// Connections between regions. Each controller listens; the leader of a region keeps a connection
// to every controller of the other regions, whose heartbeats identify the leaders of those regions.
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

/// Frames are sent on the sender's own connection; the receiver responds with heartbeats only. A
/// frame that can't be sent now is dropped: the owner of the data sends it again (QuotaService).
class Links : public RegionNetwork {
 public:
  using FrameHandler = std::function<void(const std::string& region, const RegionFrame& frame)>;

  /// `fencing_token` returns the token of this controller's leadership, 0 while it does not lead.
  Links(net::EvReactor& reactor, const base::Settings& settings,
        std::function<std::uint64_t()> fencing_token, FrameHandler on_frame);

  /// False if binding or listening on this controller's address from the operator's XML fails.
  bool listen();
  void start(net::Scope& scope);

  std::vector<std::string> reachable_regions() const override;
  void send(const std::string& region, const RegionFrame& frame) override;

  /// Time between heartbeats on a connection.
  static double heartbeat_interval(const base::Settings& settings) {
    return settings.heartbeat_interval_s;
  }

 private:
  /// Shared by the coroutines that read and write it, so that the descriptor number is not reused
  /// before both have ended.
  using SharedFd = std::shared_ptr<net::Fd>;
  /// Outgoing connection to one controller of another region.
  struct Link {
    Link(net::Reactor& reactor, std::string to_region, base::RegionController to)
        : region(std::move(to_region)), controller(std::move(to)), frames_queued(reactor) {}
    std::string region;
    base::RegionController controller;
    net::Signal frames_queued;
    std::deque<std::string> queued_frames;
    SharedFd fd;
    double next_heartbeat_at = 0;
    std::uint64_t fencing_token = 0;  ///< from its last heartbeat; 0: not the leader
    double last_heartbeat_at = -1e9;
  };

  net::Task<void> accept_connections();
  net::Task<void> serve(net::Fd fd);
  /// While this controller leads, opens the connection if it is missing and sends heartbeats and
  /// queued frames; otherwise closes it.
  net::Task<void> maintain(Link& link);
  net::Task<void> connect(Link& link);
  net::Task<void> read_heartbeats(Link& link, SharedFd fd);
  /// The frames received next; none at the end of the connection, after a timeout or after an
  /// invalid frame.
  net::Task<std::optional<std::vector<RegionFrame>>> receive(int fd, FrameReader& reader);
  static void close_link(Link& link);
  std::string take_outgoing_bytes(Link& link);
  /// Index of the link to the region's leader; none if no leader is known.
  std::optional<std::size_t> leader_link(const std::string& region) const;
  RegionHeartbeat heartbeat() const;

  net::EvReactor& reactor_;
  const base::Settings& settings_;
  std::function<std::uint64_t()> fencing_token_;
  FrameHandler on_frame_;
  std::vector<std::unique_ptr<Link>> links_;
  net::Fd listener_;
  net::Scope connection_tasks_;
};

}  // namespace cranklock::regions
