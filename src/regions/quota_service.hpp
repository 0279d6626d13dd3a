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
#include "regions/quota_ledger.hpp"
#include "regions/request_schedule.hpp"
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
class QuotaService {
 public:
  /// What the service needs from the term that it serves.
  struct Callbacks {
    /// Teams with waiting work, and what each takes.
    std::function<std::map<std::string, TeamDemand>()> demands_of_waiting_work;
    std::function<QuotaAmounts(const std::string& team)> used;
    std::function<void()> quotas_changed;   ///< placement should look again
    std::function<void()> leadership_lost;  ///< the leader's key has changed
  };

  QuotaService(net::Reactor& reactor, const base::Settings& settings, store::Client& store,
               RegionNetwork& network, wire::Compare leader, Callbacks callbacks);

  /// Reads what this region holds; false when the state service did not let it. Until then nothing
  /// is held.
  net::Task<bool> load();
  void start(net::Scope& scope);
  void on_region_frame(const std::string& region, const RegionFrame& frame);
  /// Work has come, and may lack quota.
  void on_new_work();
  const QuotaLedger& ledger() const { return ledger_; }
  /// How often the teams' needs are looked at.
  static double request_interval(const base::Settings& settings) {
    return settings.heartbeat_interval_s / 4;
  }

 private:
  net::Task<void> write();
  net::Task<void> exchange_messages();
  void send_transfers();
  void send_acknowledgements();
  void send_requests();
  TeamDemand demand_of(const std::string& team) const;
  double now() const { return reactor_.now(); }

  net::Reactor& reactor_;
  const base::Settings& settings_;
  store::Client& store_;
  RegionNetwork& network_;
  Callbacks callbacks_;
  QuotaLedger ledger_;
  RequestSchedule schedule_;
  std::map<std::string, TeamDemand> waiting_;  ///< as looked at last
  /// Transfers to a region that were sent in this term.
  struct Sent {
    std::uint64_t through = 0;
    double again_at = 0;  ///< when all without an acknowledgement are sent again
  };
  std::map<std::string, Sent> sent_;
  double began_ = 0;
  bool bootstrapped_ = false;  ///< for the log
  net::Signal write_due_, message_due_;
};

}  // namespace cranklock::regions
