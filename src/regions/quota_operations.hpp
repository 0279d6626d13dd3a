// Prepares the transactions that move quota between regions. No I/O; QuotaLedger applies results.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "regions/quota_policy.hpp"
#include "regions/quota_state.hpp"
#include "wire/store_api.hpp"

namespace cranklock::regions {

/// Mutations that are applied atomically if all compared revisions match.
struct QuotaTransaction {
  std::vector<wire::Compare> compares;
  std::vector<wire::Mutation> mutations;
};

/// A prepared transaction, with the state changes to make once it is applied.
struct QuotaOperation {
  enum class Kind {
    bootstrap,  ///< creates quotas from the teams' limits
    receive,    ///< adds transfers from another region
    send,       ///< deducts quota and stores its transfer to another region
    clear,      ///< removes acknowledged transfers from the store
  };
  Kind kind = Kind::clear;
  QuotaTransaction transaction;
  /// A mutation that keeps the stored value, written with the same compares to find out whether a
  /// transaction without a response was applied: at most one of the two can be.
  wire::Mutation guard;
  std::map<std::string, QuotaAmounts> quotas;    ///< new values, by team
  std::map<std::string, QuotaAmounts> deducted;  ///< by team; not usable while result unknown
  std::map<std::string, std::vector<QuotaTransfer>> to_send;  ///< by region
  std::string region;               ///< sender of received, or receiver of cleared transfers
  std::uint64_t last_sequence = 0;  ///< of the transfers received or cleared
};

/// A team's current demand in this region.
using DemandOf = std::function<TeamDemand(const std::string& team)>;

/// Builds operations from the state. Each is conditional on the leader's key and on the revision of
/// every key that it changes, so that a late write fails (invariants 1 and 16).
class QuotaOperations {
 public:
  /// `leader`: the compare that only this leader term meets. All arguments outlive the object.
  QuotaOperations(const base::Settings& settings, QuotaState& state, const wire::Compare& leader);

  /// The next operation with at most `max_mutations` mutations; none if there is nothing to do.
  /// Requests that have been decided are removed from the state.
  std::optional<QuotaOperation> next(const DemandOf& demand_of, std::size_t max_mutations);
  /// Whether this is the bootstrap region and the quotas of all teams have been bootstrapped.
  bool all_bootstrapped() const;
  /// Quota of the team that is certainly stored and not deducted by `pending`.
  QuotaAmounts held(const std::string& team, const std::optional<QuotaOperation>& pending) const;

 private:
  bool is_bootstrap_region() const;
  QuotaAmounts full_quota_of(const std::string& team) const;
  /// An operation without mutations. It compares the leader's key and `guard_key`; its guard writes
  /// `guard_data`, the value that `guard_key` is to keep.
  QuotaOperation begin(QuotaOperation::Kind kind, const std::string& guard_key,
                       std::string guard_data, std::uint64_t guard_revision) const;
  void set_quota(QuotaOperation& operation, const std::string& team,
                 const QuotaAmounts& quota) const;
  void add_transfer(QuotaOperation& operation, const std::string& region, const std::string& team,
                    const QuotaAmounts& quota) const;
  void add_sent_counters(QuotaOperation& operation) const;

  std::optional<QuotaOperation> receive(std::size_t max_mutations) const;
  std::optional<QuotaOperation> receive_from(const std::string& region, const RemoteRegion& remote,
                                             std::size_t max_mutations) const;
  std::optional<QuotaOperation> send(const DemandOf& demand_of, std::size_t max_mutations);
  std::optional<QuotaOperation> send_to(const std::string& region, RemoteRegion& remote,
                                        const DemandOf& demand_of, std::size_t max_mutations) const;
  QuotaAmounts quota_to_grant(const std::string& region, const QuotaRequest& request,
                              const TeamDemand& demand) const;
  std::optional<QuotaOperation> bootstrap(const DemandOf& demand_of,
                                          std::size_t max_mutations) const;
  void bootstrap_team(QuotaOperation& operation, const base::Team& team, const TeamDemand& demand,
                      bool with_initial_transfers) const;
  std::optional<QuotaOperation> clear(std::size_t max_mutations) const;

  const base::RegionSettings& regions_;
  QuotaState& state_;
  const wire::Compare& leader_;
  std::map<std::string, base::Team> teams_;
};

}  // namespace cranklock::regions
