// The leader's service that shares team limits between regions: writes the transactions of the
// quota ledger, sends transfers to other regions, and requests missing quota from them.
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

/// Sends frames to the leaders of other regions. Frames may be lost; correctness does not depend on
/// their delivery.
class RegionNetwork {
 public:
  RegionNetwork() = default;
  RegionNetwork(const RegionNetwork&) = delete;
  RegionNetwork& operator=(const RegionNetwork&) = delete;
  virtual ~RegionNetwork() = default;
  /// Regions with a known, connected leader.
  virtual std::vector<std::string> reachable_regions() const = 0;
  virtual void send(const std::string& region, const RegionFrame& frame) = 0;
};

/// Created and destroyed with a leader term.
class QuotaService {
 public:
  /// Functions of the leader term that the service calls.
  struct Callbacks {
    /// Demand of each team with waiting work.
    std::function<std::map<std::string, TeamDemand>()> demands_of_waiting_work;
    std::function<QuotaAmounts(const std::string& team)> used_quota;
    std::function<void()> quotas_changed;   ///< triggers a placement pass
    std::function<void()> leadership_lost;  ///< the leader key has changed
  };

  QuotaService(net::Reactor& reactor, const base::Settings& settings, store::Client& store,
               RegionNetwork& network, wire::Compare leader, Callbacks callbacks);

  /// Reads the stored quotas; false if the read from the store failed. Until it has succeeded for
  /// the first time, this region holds no quota.
  net::Task<bool> load();
  void start(net::Scope& scope);
  void on_region_frame(const std::string& region, const RegionFrame& frame);
  /// New work has arrived and may lack quota.
  void on_new_work();
  const QuotaLedger& ledger() const { return ledger_; }
  /// Time after which the teams' demand is evaluated again if no message is due earlier.
  static double request_interval_s(const base::Settings& settings) {
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
  std::map<std::string, TeamDemand> last_demands_;  ///< by team, as of the last evaluation
  /// Transfers sent to a region in this term.
  struct SentTransfers {
    std::uint64_t last_sequence = 0;
    double resend_at = 0;  ///< time at which all unacknowledged transfers are sent again
  };
  std::map<std::string, SentTransfers> sent_;
  double started_at_ = 0;
  /// The event has been logged, or bootstrap was complete at the start of the term.
  bool bootstrap_logged_ = false;
  net::Signal write_due_, message_due_;
};

}  // namespace cranklock::regions
