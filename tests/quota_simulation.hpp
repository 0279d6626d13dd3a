// Regions that share team limits, each with a state service and a leader's book, and a network that
// loses, copies and reorders what they say. No clock and no sockets: the test decides what happens
// next.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "regions/quota_ledger.hpp"
#include "regions/records.hpp"

namespace cranklock::testing {

/// What becomes of a transaction that a leader sends.
enum class Fate {
  answered,      ///< carried out and answered
  refused,       ///< not carried out, and the leader knows it
  applied_mute,  ///< carried out, not answered
  lost,          ///< never carried out, not answered
  late           ///< not answered, and carried out when the test says so
};

/// Keys with their revisions, and conditional transactions.
class KeyStore {
 public:
  struct Value {
    std::string data;
    std::uint64_t revision = 0;
  };
  store::CompareAndSwapResult apply(const regions::QuotaLedger::Transaction& transaction);
  std::vector<wire::StoredValue> under(const std::string& prefix) const;
  const std::map<std::string, Value>& values() const { return values_; }
  std::uint64_t revision_of(const std::string& key) const;

 private:
  std::map<std::string, Value> values_;
  std::uint64_t revision_ = 0;
};

class ShareSimulation {
 public:
  static constexpr const char* kLeaderKey = "leader";

  /// Teams have `limit` GPUs each, half of it guaranteed. The first region is the bootstrap region.
  ShareSimulation(std::vector<base::Region> regions, int teams, double limit = 12);

  /// Work of one team in one region, in GPUs.
  struct Work {
    std::int64_t used = 0, waiting = 0;
    std::int64_t since_ms = 0;
  };
  struct Region {
    base::Settings settings;
    KeyStore store;
    std::unique_ptr<regions::QuotaLedger> ledger;
    std::map<std::string, Work> work;
    std::vector<regions::QuotaLedger::Transaction> late;  ///< of any leader
    bool state_down = false;                              ///< refuses everything
  };
  struct Message {
    std::string from, to;
    regions::RegionFrame frame;
  };

  /// Another leader takes over; what the former one sent may still be carried out.
  void change_leader(const std::string& region);
  /// One transaction of the region's leader, if it has any to write; true if it had.
  bool write(const std::string& region, Fate fate = Fate::answered);
  void apply_late(const std::string& region, std::size_t index);
  /// Puts what the region's leader has to say into `messages`.
  void speak(const std::string& region);
  /// Delivers a message and keeps it, if `keep`, to come once more.
  void deliver(std::size_t index, bool keep = false);
  void drop(std::size_t index);
  /// Starts what waits as far as the region's quota allows, whole tasks of one GPU.
  void place(const std::string& region);
  /// Everything is served and delivered, and all work is placed, until nothing changes.
  void settle(int rounds = 60);

  regions::QuotaAmounts missing(const std::string& region, const std::string& team) const;
  std::int64_t held_gpus(const std::string& region, const std::string& team) const;
  /// GPUs of all stored quotas and of transfers that no receiver has added.
  std::int64_t sum_gpus(const std::string& team) const;
  /// Fails the test unless quotas and transfers add up and nothing is used beyond its quota.
  void check() const;

  std::map<std::string, Region> regions;
  std::vector<Message> messages;
  std::vector<std::string> teams;
  /// Messages from the first to the second are lost.
  std::vector<std::pair<std::string, std::string>> cut;
  int frames_sent = 0;
  double limit_gpus = 0;

 private:
  regions::TeamDemand demand(const Region& region, const std::string& team) const;
  bool is_cut(const std::string& from, const std::string& to) const;
  void check_team(const std::string& team) const;
  regions::QuotaAmounts sum(const std::string& team) const;
};

}  // namespace cranklock::testing
