// Regions that share team limits, each with a store and the quota ledger of its leader, and a
// network that loses, duplicates and reorders messages. No clock and no sockets: the test chooses
// each step.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "regions/quota_ledger.hpp"
#include "regions/records.hpp"

namespace cranklock::testing {

/// Outcome of a transaction that a leader writes.
enum class WriteOutcome {
  applied,             ///< applied, with a response
  rejected,            ///< not applied, with a response
  applied_unanswered,  ///< applied, without a response
  lost,                ///< never applied, without a response
  delayed              ///< without a response, applied later by apply_delayed()
};

/// Key-value store with revisions and conditional transactions.
class KeyStore {
 public:
  struct Value {
    std::string data;
    std::uint64_t revision = 0;
  };
  store::CompareAndSwapResult apply(const regions::QuotaLedger::Transaction& transaction);
  std::vector<wire::StoredValue> list(const std::string& prefix) const;
  const std::map<std::string, Value>& values() const { return values_; }
  std::uint64_t revision_of(const std::string& key) const;

 private:
  std::map<std::string, Value> values_;
  std::uint64_t revision_ = 0;
};

class QuotaSimulation {
 public:
  static constexpr const char* kLeaderKey = "leader";

  /// Teams have `limit` GPUs each, half of it guaranteed. The first region is the bootstrap region.
  QuotaSimulation(std::vector<base::Region> regions, int teams, double limit = 12);

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
    std::vector<regions::QuotaLedger::Transaction>
        delayed_writes;       ///< of the current and former leaders
    bool store_down = false;  ///< rejects all transactions
  };
  struct Message {
    std::string from, to;
    regions::RegionFrame frame;
  };

  /// Failover to another leader; delayed writes of the former one may still be applied.
  void change_leader(const std::string& region);
  /// Writes one transaction of the region's leader, or reloads its records; false if there is none.
  bool write(const std::string& region, WriteOutcome outcome = WriteOutcome::applied);
  void apply_delayed(const std::string& region, std::size_t index);
  /// Adds all due messages of the region's leader to `messages`.
  void send_messages(const std::string& region);
  /// Delivers a message; with `keep`, it stays in `messages` as a duplicate.
  void deliver(std::size_t index, bool keep = false);
  void drop(std::size_t index);
  /// Starts waiting tasks of one GPU each, as far as the region's quota allows.
  void place(const std::string& region);
  /// Ends all faults and runs `rounds` rounds of placement, messages and writes.
  void settle(int rounds = 60);

  regions::QuotaAmounts missing(const std::string& region, const std::string& team) const;
  std::int64_t held_gpus(const std::string& region, const std::string& team) const;
  /// GPUs of all stored quotas and of transfers that their receivers have not added.
  std::int64_t sum_gpus(const std::string& team) const;
  /// Fails the test unless quotas and transfers add up and no usage exceeds its quota.
  void check() const;

  std::map<std::string, Region> regions;
  std::vector<Message> messages;
  std::vector<std::string> teams;
  /// Pairs of sender and receiver between which messages are lost.
  std::vector<std::pair<std::string, std::string>> blocked_links;
  int frames_sent = 0;
  double limit_gpus = 0;

 private:
  regions::TeamDemand demand(const Region& region, const std::string& team) const;
  bool is_blocked(const std::string& from, const std::string& to) const;
  void check_team(const std::string& team) const;
  regions::QuotaAmounts sum(const std::string& team) const;
};

}  // namespace cranklock::testing
