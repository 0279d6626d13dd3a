// The leader's part in sharing team limits between regions: writes what the book prepares, tells
// other regions, and asks them for what waiting work lacks.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "regions/frames.hpp"
#include "regions/request_schedule.hpp"
#include "regions/share_book.hpp"
#include "store/client.hpp"

namespace cranklock::regions {

/// How leaders of other regions are reached. Frames may be lost; nothing rests on them.
class RegionNetwork {
 public:
  RegionNetwork() = default;
  RegionNetwork(const RegionNetwork&) = delete;
  RegionNetwork& operator=(const RegionNetwork&) = delete;
  virtual ~RegionNetwork() = default;
  /// Regions whose leader can be sent to at present.
  virtual std::vector<std::string> reachable() const = 0;
  virtual void send(const std::string& region, const RegionFrame& frame) = 0;
};

/// One term's; made with it and destroyed with it.
class ShareService {
 public:
  /// What the service needs from the term that it serves.
  struct Callbacks {
    /// Teams with waiting work, and what each takes.
    std::function<std::map<std::string, TeamDemand>()> waiting_demands;
    std::function<Amounts(const std::string& team)> used;
    std::function<void()> shares_changed;   ///< placement should look again
    std::function<void()> leadership_lost;  ///< the leader's key has changed
  };

  ShareService(net::Reactor& reactor, const base::Settings& settings, store::Client& store,
               RegionNetwork& network, wire::Compare leader, Callbacks callbacks);

  /// Reads what this region holds; false when the state service did not let it. Until then nothing
  /// is held.
  net::Task<bool> load();
  void start(net::Scope& scope);
  void on_region_frame(const std::string& region, const RegionFrame& frame);
  /// Work has come, and may lack share.
  void look_again();
  const ShareBook& book() const { return book_; }
  /// How often the teams' needs are looked at.
  static double ask_every(const base::Settings& settings) {
    return settings.heartbeat_interval_s / 4;
  }

 private:
  net::Task<void> write();
  net::Task<void> talk();
  void send_transfers();
  void send_receipts();
  void send_requests();
  TeamDemand demand_of(const std::string& team) const;
  double now() const { return reactor_.now(); }

  net::Reactor& reactor_;
  const base::Settings& settings_;
  store::Client& store_;
  RegionNetwork& network_;
  Callbacks callbacks_;
  ShareBook book_;
  RequestSchedule schedule_;
  std::map<std::string, TeamDemand> waiting_;  ///< as looked at last
  /// Transfers to a region that were sent in this term.
  struct Sent {
    std::uint64_t through = 0;
    double again_at = 0;  ///< when all without a receipt are sent again
  };
  std::map<std::string, Sent> sent_;
  double began_ = 0;
  bool founded_ = false;  ///< for the log
  net::Signal to_write_, to_tell_;
};

}  // namespace cranklock::regions
