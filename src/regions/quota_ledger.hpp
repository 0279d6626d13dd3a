// What this region holds of each team's guarantee and limit, and the transfers that are under way.
// Pure: it prepares transactions and is told how they ended; others write, send and wait.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "regions/quota_operations.hpp"
#include "regions/quota_state.hpp"
#include "sched/team_shares.hpp"
#include "store/client.hpp"
#include "wire/store_api.hpp"
#include "wire/types.hpp"

namespace cranklock::regions {

/// The ledger of one leader term. It enforces invariant 16: quotas and transfers under way add up
/// to the team's limit at every moment.
///
/// - Quota is deducted and its transfer stored in one transaction, before the transfer is sent.
/// - It is added, and the transfer's sequence stored, in one transaction, before it is used.
/// - Every transaction is conditional on the leader's key and on the revision of every key that it
///   changes. One without an answer may be applied late: until a second one under the same compares
///   has been decided, what would be sent counts as sent, what would be received as not yet
///   received, and no other transaction is prepared.
class QuotaLedger : public sched::TeamShares {
 public:
  using Transaction = QuotaTransaction;

  /// `leader` is the compare that only this term's transactions meet.
  QuotaLedger(const base::Settings& settings, wire::Compare leader);

  /// Replaces all records by what is stored under kRegionsPrefix. A malformed record is logged and
  /// skipped: nothing is held by it, and nothing is transferred any more (is_frozen).
  void load(const std::vector<wire::StoredValue>& items);
  /// See QuotaState::frozen.
  bool is_frozen() const { return state_.frozen; }

  wire::Resources guarantee(const base::Team& team) const override;
  wire::Resources limit(const base::Team& team) const override;
  /// Whether this region bootstraps the quotas, and has done so for all teams.
  bool all_bootstrapped() const { return operations_.all_bootstrapped(); }
  /// What may be used here: certainly stored, and not being sent away.
  QuotaAmounts held(const std::string& team) const { return operations_.held(team, pending_); }

  // Messages of other regions. A region that the settings don't name is ignored.
  void on_request(const std::string& region, const QuotaRequest& request);
  void on_transfer(const std::string& region, const QuotaTransfer& transfer);
  void on_acknowledgement(const std::string& region,
                          const TransferAcknowledgement& acknowledgement);

  /// The next transaction to write, with at most `max_mutations` mutations; none if there is
  /// nothing to write, or the result of the last one has not been told. `demand_of` tells what is
  /// used now.
  std::optional<Transaction> next_transaction(const DemandOf& demand_of, std::size_t max_mutations);
  /// The result of the last transaction. Returns whether what this region holds has changed.
  bool finish_transaction(const store::CompareAndSwapResult& result);
  /// Another transaction than this term's has changed the records: read them again and load().
  bool reload_needed() const { return reload_needed_; }
  bool leadership_lost() const { return leadership_lost_; }

  /// Transfers without an acknowledgement, oldest first, no more than kMaxUnacknowledged.
  std::vector<QuotaTransfer> unacknowledged(const std::string& region) const;
  /// Acknowledgements that have become due since the last call, by region.
  std::map<std::string, TransferAcknowledgement> take_due_acknowledgements();

 private:
  bool on_applied(std::uint64_t revision);
  void on_precondition_failed(const std::vector<std::string>& failed_keys);
  void set_bootstrap_region(std::uint64_t revision);
  bool apply(const QuotaOperation& operation, std::uint64_t revision);
  void apply_received(const QuotaOperation& operation, std::uint64_t revision);
  void apply_guard(const QuotaOperation& operation, std::uint64_t revision);

  const base::Settings& settings_;
  wire::Compare leader_;
  QuotaState state_;
  QuotaOperations operations_;
  std::optional<QuotaOperation> pending_;  ///< handed out, and its result not known
  bool write_unresolved_ = false;          ///< `pending_` had no answer
  bool guard_sent_ = false;                ///< the last transaction handed out was the guard's
  bool in_flight_ = false;                 ///< a transaction whose result has not been told yet
  bool reload_needed_ = false;
  bool leadership_lost_ = false;
};

}  // namespace cranklock::regions
