// What is stored of shared quotas in this region, and what other regions have said since. Pure.
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

/// Transfers that a receiver holds before they are added, and that a sender has in flight at a
/// time.
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

/// Another region, as this one sees it.
struct RemoteRegion {
  TransferCounter sent, received;
  std::map<std::uint64_t, QuotaTransfer> outgoing;  ///< stored, by sequence
  std::uint64_t acknowledged = 0;                   ///< outgoing up to this one may be removed
  std::map<std::uint64_t, QuotaTransfer> incoming;  ///< not added yet, by sequence
  std::map<std::string, QuotaRequest> requests;     ///< not decided yet, by team
  bool acknowledgement_due = false;

  /// Whether quota of the team is on its way to the region and not acknowledged yet.
  bool has_in_transit(const std::string& team) const;
};

/// The records under kRegionsPrefix, and the messages of other regions that have not been dealt
/// with. It only holds and reads them: QuotaOperations prepares changes, QuotaLedger applies them.
struct QuotaState {
  /// One empty entry for each other region that the settings name.
  explicit QuotaState(const base::RegionSettings& settings);

  /// Replaces all records by what is stored; messages that the records have not caught up with
  /// stay. A malformed record is logged and skipped, and freezes the state: guards a region against
  /// losing its leader for one record that can't be read.
  void load(const std::vector<wire::StoredValue>& items, const base::RegionSettings& settings);

  std::map<std::string, StoredQuota> quotas;  ///< by team
  std::map<std::string, RemoteRegion> remote_regions;
  /// The region that turned the teams' limits into quotas, as its record says; none: no record.
  std::optional<std::string> bootstrap_region;
  std::uint64_t bootstrap_revision = 0;  ///< of that record
  /// What is stored can't be trusted whole, or another region than the settings' has bootstrapped
  /// it: what is held stays usable, and nothing is transferred.
  bool frozen = false;

 private:
  bool load_item(const wire::StoredValue& item);
  bool load_transfer(const wire::StoredValue& item);
  bool load_counter(const wire::StoredValue& item);
};

}  // namespace cranklock::regions
