#include "regions/quota_state.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include "base/event_log.hpp"
#include "regions/records.hpp"

namespace cranklock::regions {
namespace {

std::string key_after(const std::string& key, std::string_view prefix) {
  return key.substr(prefix.size());
}

}  // namespace

bool RemoteRegion::has_in_transit(const std::string& team) const {
  return std::any_of(outgoing.upper_bound(acknowledged), outgoing.end(),
                     [&](const auto& entry) { return entry.second.team == team; });
}

QuotaState::QuotaState(const base::RegionSettings& settings) {
  for (const auto& region : settings.regions) {
    if (region.name != settings.self) remote_regions.try_emplace(region.name);
  }
}

void QuotaState::load(const std::vector<wire::StoredValue>& items,
                      const base::RegionSettings& settings) {
  QuotaState fresh(settings);
  for (const auto& item : items) {
    if (fresh.load_item(item)) continue;
    base::log_error("record malformed", base::field("key", item.key));
    fresh.frozen = true;
  }
  for (auto& [region, remote] : fresh.remote_regions) {
    RemoteRegion& old = remote_regions[region];
    remote.acknowledged = std::min(old.acknowledged, remote.sent.value);
    remote.requests = std::move(old.requests);
    remote.acknowledgement_due = true;
    for (auto& [sequence, transfer] : old.incoming) {
      if (sequence > remote.received.value) remote.incoming.emplace(sequence, transfer);
    }
  }
  if (fresh.bootstrap_region && *fresh.bootstrap_region != settings.bootstrap_region) {
    fresh.frozen = true;
    base::log_error("quota bootstrap region differs",
                    base::field("stored", *fresh.bootstrap_region),
                    base::field("settings", settings.bootstrap_region));
  }
  *this = std::move(fresh);
}

bool QuotaState::load_transfer(const wire::StoredValue& item) {
  const std::string rest = key_after(item.key, kOutPrefix);
  const std::string region = rest.substr(0, rest.find('/'));
  const auto transfer = read_transfer(item.data);
  if (!transfer) return false;
  remote_regions[region].outgoing.emplace(transfer->sequence, *transfer);
  return true;
}

bool QuotaState::load_counter(const wire::StoredValue& item) {
  const bool sent = item.key.starts_with(kSentPrefix);
  const auto value = read_counter(item.data);
  if (!value) return false;
  RemoteRegion& remote = remote_regions[key_after(item.key, sent ? kSentPrefix : kReceivedPrefix)];
  (sent ? remote.sent : remote.received) = {*value, item.revision};
  return true;
}

// Records of a region that is no longer in the settings are kept: quota sent to it does not belong
// to this region any more.
bool QuotaState::load_item(const wire::StoredValue& item) {
  if (item.key == kBootstrapRegionKey) {
    bootstrap_region = read_bootstrap_region(item.data);
    bootstrap_revision = item.revision;
    return bootstrap_region.has_value();
  }
  if (item.key.starts_with(kQuotaPrefix)) {
    const auto quota = read_quota(item.data);
    if (quota) quotas[key_after(item.key, kQuotaPrefix)] = {*quota, item.revision};
    return quota.has_value();
  }
  if (item.key.starts_with(kOutPrefix)) return load_transfer(item);
  if (item.key.starts_with(kSentPrefix) || item.key.starts_with(kReceivedPrefix)) {
    return load_counter(item);
  }
  return true;  // written by a later version
}

}  // namespace cranklock::regions
