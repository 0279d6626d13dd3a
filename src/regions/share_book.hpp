// What this region holds of each team's guarantee and limit, and the transfers that are under way.
// Pure: it prepares transactions and is told how they ended; others write, send and wait.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "regions/frames.hpp"
#include "regions/sharing_rule.hpp"
#include "sched/team_shares.hpp"
#include "store/client.hpp"
#include "wire/store_api.hpp"
#include "wire/types.hpp"

namespace cranklock::regions {

/// The leader's account of one term. It enforces invariant 16: shares and transfers under way add
/// up to the team's limit at every moment.
///
/// - Share is taken off and the transfer written down in one transaction, before it is sent.
/// - It is added, and its number written down, in one transaction, before it is used.
/// - Every transaction is conditional on the leader's key and on the revision of every key that it
///   changes. One that is not answered may be carried out late: until a second one under the same
///   conditions has been decided, what would be given counts as given, what would be taken as not
///   yet taken, and no other transaction is prepared.
class ShareBook : public sched::TeamShares {
 public:
  using DemandOf = std::function<TeamDemand(const std::string& team)>;

  /// `leader` is the condition that only this term's transactions meet.
  ShareBook(const base::Settings& settings, wire::Compare leader);

  /// Replaces everything by what is stored under kRegionsPrefix. A malformed record is logged and
  /// left alone: nothing is held by it, and nothing is moved any more (is_frozen).
  void load(const std::vector<wire::StoredValue>& items);
  /// What is stored can't be trusted whole, or another founder than the settings' has made it: what
  /// is held stays usable, and nothing is moved.
  bool is_frozen() const { return frozen_; }

  wire::Resources guarantee(const base::Team& team) const override;
  wire::Resources limit(const base::Team& team) const override;
  /// Whether this region is the founder, and has made the shares of all teams.
  bool all_founded() const;
  /// What may be used here: certainly stored, and not being given away.
  Amounts held(const std::string& team) const;

  // What other regions say. A region that the settings don't name is ignored.
  void note_request(const std::string& region, const ShareRequest& request);
  void note_transfer(const std::string& region, const ShareTransfer& transfer);
  void note_receipt(const std::string& region, const ShareReceipt& receipt);

  struct Transaction {
    std::vector<wire::Compare> compares;
    std::vector<wire::Mutation> mutations;
  };
  /// The next transaction to carry out, with at most `max_mutations` changes; nothing when there is
  /// none, or one was handed out whose end is not known. `demand_of` tells what is in use now.
  std::optional<Transaction> next_transaction(const DemandOf& demand_of, std::size_t max_mutations);
  /// How the transaction that was handed out last has ended. Returns whether what this region
  /// holds has changed.
  bool finish_transaction(const store::CompareAndSwapResult& result);
  /// Another transaction than this term's has changed the records: read them again and load().
  bool reload_needed() const { return reload_needed_; }
  bool leadership_lost() const { return leadership_lost_; }

  /// Transfers without a receipt, oldest first, no more than the receiver keeps in mind.
  std::vector<ShareTransfer> unacknowledged(const std::string& region) const;
  /// Receipts that are owed since the last call.
  std::map<std::string, ShareReceipt> take_receipts();

 private:
  struct StoredShare {
    Amounts amounts;
    std::uint64_t revision = 0;
  };
  struct Counter {
    std::uint64_t value = 0, revision = 0;
  };
  /// Another region, as this one has it.
  struct Partner {
    Counter sent, received;
    std::map<std::uint64_t, ShareTransfer> out;      ///< stored, by number
    std::uint64_t acknowledged = 0;                  ///< out up to this one may go
    std::map<std::uint64_t, ShareTransfer> arrived;  ///< not yet added, by number
    std::map<std::string, ShareRequest> requests;    ///< not yet decided, by team
    bool receipt_owed = false;
  };
  /// A transaction that was handed out.
  struct Operation {
    enum class Kind { found, take, give, clear };
    Kind kind = Kind::clear;
    Transaction transaction;
    /// Written again as it is to decide whether the transaction was carried out.
    wire::Mutation guard;
    std::map<std::string, Amounts> shares;                      ///< as they will be, by team
    std::map<std::string, Amounts> taken_off;                   ///< of what is held until it ends
    std::map<std::string, std::vector<ShareTransfer>> to_send;  ///< by region
    std::string region;                                         ///< taken from, or cleared of
    std::uint64_t through = 0;                                  ///< taken, or cleared, up to here
  };

  bool load_item(const wire::StoredValue& item);
  bool load_transfer(const wire::StoredValue& item);
  Operation begin(Operation::Kind kind, const std::string& guard_key, std::string guard_data,
                  std::uint64_t guard_revision) const;
  void change_share(Operation& operation, const std::string& team, const Amounts& amounts) const;
  void add_transfer(Operation& operation, const std::string& region, const std::string& team,
                    const Amounts& amounts) const;
  void add_sent_counters(Operation& operation) const;
  std::optional<Operation> found_shares(const DemandOf& demand_of, std::size_t max_mutations) const;
  void found_team(Operation& operation, const base::Team& team, const TeamDemand& demand,
                  bool with_gifts) const;
  std::optional<Operation> take_transfers(std::size_t max_mutations) const;
  std::optional<Operation> give_share(const DemandOf& demand_of, std::size_t max_mutations);
  Amounts decide_request(const std::string& region, const ShareRequest& request,
                         const TeamDemand& demand) const;
  std::optional<Operation> clear_acknowledged(std::size_t max_mutations) const;
  std::optional<Operation> prepare(const DemandOf& demand_of, std::size_t max_mutations);
  /// The record of the founder was written, at this revision.
  void note_founder(std::uint64_t revision);
  bool apply(const Operation& operation, std::uint64_t revision);
  void apply_guard(const Operation& operation, std::uint64_t revision);
  bool is_founder() const;
  Amounts whole(const std::string& team) const;

  const base::Settings& settings_;
  wire::Compare leader_;
  std::map<std::string, base::Team> teams_;
  std::map<std::string, StoredShare> shares_;
  std::map<std::string, Partner> partners_;
  std::optional<std::string> founder_;
  std::uint64_t founder_revision_ = 0;
  std::optional<Operation> under_way_;
  bool write_unresolved_ = false;  ///< of what is under way
  bool guard_sent_ = false;        ///< the last transaction handed out was the guard's
  bool handed_out_ = false;        ///< a transaction whose end has not been told yet
  bool reload_needed_ = false;
  bool leadership_lost_ = false;
  bool frozen_ = false;
};

}  // namespace cranklock::regions
