// This region's part of each team's guarantee and limit, and the transfers in transit. No I/O: the
// ledger prepares transactions and is given their results; QuotaService writes, sends and waits.
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

/// The ledger of one leader term. It enforces invariant 16: quotas and transfers in transit always
/// add up to the team's limit.
///
/// - Quota is deducted and its transfer stored in one transaction, before the transfer is sent.
/// - It is added, and the transfer's sequence stored, in one transaction, before it is used.
/// - Every transaction is conditional on the leader's key and on the revision of every key that it
///   changes. A transaction without a response may be applied late: until the result of a second
///   one with the same compares is known, its outgoing quota counts as sent, its incoming quota as
///   not received, and no other transaction is prepared.
class QuotaLedger : public sched::TeamShares {
 public:
  using Transaction = QuotaTransaction;

  /// `leader`: the compare that only transactions of this leader term meet.
  QuotaLedger(const base::Settings& settings, wire::Compare leader);

  /// Replaces all records by those stored under kRegionsPrefix. A malformed record is logged and
  /// skipped: it gives no quota, and transfers stop (is_frozen).
  void load(const std::vector<wire::StoredValue>& items);
  /// See QuotaState::frozen.
  bool is_frozen() const { return state_.frozen; }

  wire::Resources guarantee(const base::Team& team) const override;
  wire::Resources limit(const base::Team& team) const override;
  /// Whether this is the bootstrap region and the quotas of all teams have been bootstrapped.
  bool all_bootstrapped() const { return operations_.all_bootstrapped(); }
  /// Quota that may be used here: certainly stored, and not part of a pending transfer.
  QuotaAmounts held(const std::string& team) const { return operations_.held(team, pending_); }

  // Messages from other regions. Messages of regions that are not in the settings are ignored.
  void on_request(const std::string& region, const QuotaRequest& request);
  void on_transfer(const std::string& region, const QuotaTransfer& transfer);
  void on_acknowledgement(const std::string& region,
                          const TransferAcknowledgement& acknowledgement);

  /// The next transaction to write, with at most `max_mutations` mutations; none if there is
  /// nothing to write, or the last one has not been finished. `demand_of` returns current usage.
  std::optional<Transaction> next_transaction(const DemandOf& demand_of, std::size_t max_mutations);
  /// Takes the result of the last transaction. Returns whether the quota that may be used here may
  /// have changed.
  bool finish_transaction(const store::CompareAndSwapResult& result);
  /// The stored records differ from those in memory: they must be read again and passed to load().
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
  std::optional<QuotaOperation> pending_;  ///< returned to the caller, result unknown
  bool write_unresolved_ = false;          ///< `pending_` had no response
  bool guard_sent_ = false;                ///< the last transaction returned was the guard
  bool in_flight_ = false;  ///< finish_transaction() has not been called for the last one
  bool reload_needed_ = false;
  bool leadership_lost_ = false;
};

}  // namespace cranklock::regions
