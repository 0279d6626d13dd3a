// The stored quotas and transfers of this region, and messages received from other regions. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "regions/frames.hpp"
#include "regions/quota_amounts.hpp"
#include "wire/store_api.hpp"

namespace cranklock::regions {

/// Maximum transfers that a receiver buffers before they are added, and that a sender sends without
/// an acknowledgement.
inline constexpr std::size_t kMaxUnacknowledged = 64;

/// The quota of a team in this region, as stored.
struct StoredQuota {
  QuotaAmounts quota;
  std::uint64_t revision = 0;
};

/// A stored counter of transfers.
struct TransferCounter {
  std::uint64_t value = 0, revision = 0;
};

/// This region's state about another region.
struct RemoteRegion {
  TransferCounter sent, received;
  std::map<std::uint64_t, QuotaTransfer> outgoing;  ///< stored, by sequence
  std::uint64_t acknowledged = 0;  ///< outgoing transfers up to this sequence may be removed
  std::map<std::uint64_t, QuotaTransfer> incoming;  ///< not added yet, by sequence
  std::map<std::string, QuotaRequest> requests;     ///< not decided yet, by team
  bool acknowledgement_due = false;

  /// Whether a transfer of the team's quota to the region is not acknowledged yet.
  bool has_in_transit(const std::string& team) const;
};

/// The records under kRegionsPrefix, and unprocessed messages from other regions. It only holds and
/// parses them: QuotaOperations prepares changes, QuotaLedger applies them.
struct QuotaState {
  /// Creates an empty entry for each other region in the settings.
  explicit QuotaState(const base::RegionSettings& settings);

  /// Replaces all records by the stored ones; messages that the records do not include yet are
  /// kept. A malformed record is logged and skipped, and freezes the state, so that one unreadable
  /// record does not leave the region without a leader.
  void load(const std::vector<wire::StoredValue>& items, const base::RegionSettings& settings);

  std::map<std::string, StoredQuota> quotas;  ///< by team
  std::map<std::string, RemoteRegion> remote_regions;
  /// The region that created the quotas from the teams' limits, as stored; none: no record.
  std::optional<std::string> bootstrap_region;
  std::uint64_t bootstrap_revision = 0;  ///< revision of that record
  /// A record is malformed, or the stored bootstrap region differs from the settings: quotas held
  /// stay usable, and no transaction is prepared.
  bool frozen = false;

 private:
  bool load_item(const wire::StoredValue& item);
  bool load_transfer(const wire::StoredValue& item);
  bool load_counter(const wire::StoredValue& item);
};

}  // namespace cranklock::regions
