#include "regions/quota_operations.hpp"

#include <algorithm>
#include <utility>

#include "regions/records.hpp"

namespace cranklock::regions {
namespace {

/// The part of a team's full quota that another region gets at bootstrap, in whole CPUs and GPUs.
QuotaAmounts initial_quota(const QuotaAmounts& full, double share) {
  QuotaAmounts::Values values = full.values();
  for (auto& value : values) {
    const auto part = static_cast<std::int64_t>(static_cast<double>(value) * share);
    value = part / QuotaAmounts::kThousandthsPerUnit * QuotaAmounts::kThousandthsPerUnit;
  }
  return QuotaAmounts(values);
}

}  // namespace

QuotaOperations::QuotaOperations(const base::Settings& settings, QuotaState& state,
                                 const wire::Compare& leader)
    : regions_(settings.operator_settings.regions), state_(state), leader_(leader) {
  for (const auto& team : settings.teams) teams_.emplace(team.name, team);
}

bool QuotaOperations::is_bootstrap_region() const {
  return regions_.self == regions_.bootstrap_region;
}

bool QuotaOperations::all_bootstrapped() const {
  return is_bootstrap_region() &&
         std::all_of(teams_.begin(), teams_.end(),
                     [this](const auto& team) { return state_.quotas.contains(team.first); });
}

QuotaAmounts QuotaOperations::full_quota_of(const std::string& team) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? QuotaAmounts{} : full_quota(found->second);
}

QuotaAmounts QuotaOperations::held(const std::string& team,
                                   const std::optional<QuotaOperation>& pending) const {
  const auto stored = state_.quotas.find(team);
  if (stored == state_.quotas.end()) return {};
  if (!pending) return stored->second.quota;
  const auto deducted = pending->deducted.find(team);
  return deducted == pending->deducted.end() ? stored->second.quota
                                             : stored->second.quota - deducted->second;
}

std::optional<QuotaOperation> QuotaOperations::next(const DemandOf& demand_of,
                                                    std::size_t max_mutations) {
  if (state_.frozen) return std::nullopt;
  if (auto operation = receive(max_mutations)) return operation;
  if (auto operation = send(demand_of, max_mutations)) return operation;
  if (auto operation = bootstrap(demand_of, max_mutations)) return operation;
  return clear(max_mutations);
}

// ---- parts of operations ----

QuotaOperation QuotaOperations::begin(QuotaOperation::Kind kind, const std::string& guard_key,
                                      std::string guard_data, std::uint64_t guard_revision) const {
  QuotaOperation operation;
  operation.kind = kind;
  operation.transaction.compares = {leader_, {guard_key, guard_revision}};
  operation.guard = {guard_key, std::move(guard_data), 0};
  return operation;
}

void QuotaOperations::set_quota(QuotaOperation& operation, const std::string& team,
                                const QuotaAmounts& quota) const {
  const auto stored = state_.quotas.find(team);
  const std::uint64_t revision = stored == state_.quotas.end() ? 0 : stored->second.revision;
  operation.quotas[team] = quota;
  operation.transaction.compares.push_back({quota_key(team), revision});
  operation.transaction.mutations.push_back({quota_key(team), write_quota(quota), 0});
}

void QuotaOperations::add_transfer(QuotaOperation& operation, const std::string& region,
                                   const std::string& team, const QuotaAmounts& quota) const {
  auto& to_send = operation.to_send[region];
  const std::uint64_t sequence = state_.remote_regions.at(region).sent.value + to_send.size() + 1;
  to_send.push_back({sequence, team, quota});
  operation.transaction.mutations.push_back(
      {out_key(region, sequence), write_transfer(to_send.back()), 0});
}

void QuotaOperations::add_sent_counters(QuotaOperation& operation) const {
  for (const auto& [region, transfers] : operation.to_send) {
    const TransferCounter& sent = state_.remote_regions.at(region).sent;
    if (operation.guard.key != sent_key(region)) {
      operation.transaction.compares.push_back({sent_key(region), sent.revision});
    }
    operation.transaction.mutations.push_back(
        {sent_key(region), write_counter(sent.value + transfers.size()), 0});
  }
}

// ---- receiving ----

std::optional<QuotaOperation> QuotaOperations::receive(std::size_t max_mutations) const {
  for (const auto& [region, remote] : state_.remote_regions) {
    if (auto operation = receive_from(region, remote, max_mutations)) return operation;
  }
  return std::nullopt;
}

std::optional<QuotaOperation> QuotaOperations::receive_from(const std::string& region,
                                                            const RemoteRegion& remote,
                                                            std::size_t max_mutations) const {
  const TransferCounter& received = remote.received;
  QuotaOperation operation = begin(QuotaOperation::Kind::receive, received_key(region),
                                   write_counter(received.value), received.revision);
  operation.region = region;
  operation.last_sequence = received.value;
  std::map<std::string, QuotaAmounts> quotas;
  // Besides the quotas: the counter and, with the first transfer, the record of the bootstrap
  // region.
  const std::size_t other_mutations = state_.bootstrap_region ? 1 : 2;
  for (const auto& [sequence, transfer] : remote.incoming) {
    const bool fits = quotas.contains(transfer.team) || quotas.empty() ||
                      quotas.size() + other_mutations < max_mutations;
    if (sequence != operation.last_sequence + 1 || !fits) break;
    const auto stored = state_.quotas.find(transfer.team);
    const QuotaAmounts before =
        stored == state_.quotas.end() ? QuotaAmounts{} : stored->second.quota;
    quotas.try_emplace(transfer.team, before).first->second += transfer.quota;
    operation.last_sequence = sequence;
  }
  if (quotas.empty()) return std::nullopt;
  for (const auto& [team, quota] : quotas) set_quota(operation, team, quota);
  auto& mutations = operation.transaction.mutations;
  mutations.push_back({received_key(region), write_counter(operation.last_sequence), 0});
  if (!state_.bootstrap_region) {
    operation.transaction.compares.push_back({kBootstrapRegionKey, state_.bootstrap_revision});
    mutations.push_back(
        {kBootstrapRegionKey, write_bootstrap_region(regions_.bootstrap_region), 0});
  }
  return operation;
}

// ---- sending ----

std::optional<QuotaOperation> QuotaOperations::send(const DemandOf& demand_of,
                                                    std::size_t max_mutations) {
  for (auto& [region, remote] : state_.remote_regions) {
    if (auto operation = send_to(region, remote, demand_of, max_mutations)) return operation;
  }
  return std::nullopt;
}

std::optional<QuotaOperation> QuotaOperations::send_to(const std::string& region,
                                                       RemoteRegion& remote,
                                                       const DemandOf& demand_of,
                                                       std::size_t max_mutations) const {
  constexpr std::size_t kMutationsPerRequest = 2;  // the quota and the transfer
  QuotaOperation operation = begin(QuotaOperation::Kind::send, sent_key(region),
                                   write_counter(remote.sent.value), remote.sent.revision);
  auto& requests = remote.requests;
  while (!requests.empty()) {
    const std::size_t mutations = operation.transaction.mutations.size() + kMutationsPerRequest + 1;
    if (!operation.quotas.empty() && mutations > max_mutations) break;
    const QuotaRequest request = std::move(requests.begin()->second);
    requests.erase(requests.begin());
    const QuotaAmounts granted = quota_to_grant(region, request, demand_of(request.team));
    if (granted.is_zero()) continue;
    operation.deducted[request.team] = granted;
    set_quota(operation, request.team, state_.quotas.at(request.team).quota - granted);
    add_transfer(operation, region, request.team, granted);
  }
  if (operation.quotas.empty()) return std::nullopt;
  add_sent_counters(operation);
  return operation;
}

QuotaAmounts QuotaOperations::quota_to_grant(const std::string& region, const QuotaRequest& request,
                                             const TeamDemand& demand) const {
  // A transfer in transit may already cover the request.
  const bool in_transit = state_.remote_regions.at(region).has_in_transit(request.team);
  if (in_transit || !state_.quotas.contains(request.team)) return {};
  const Claim own{regions_.self, demand.waiting_since_ms};
  const Claim requesting{region, request.waiting_since_ms};
  const QuotaAmounts spare = spare_quota(held(request.team, std::nullopt), demand,
                                         full_quota_of(request.team), own, requesting);
  return granted_quota(spare, request.wanted);
}

// ---- bootstrap ----

// The only place where quota is created: by the bootstrap region, once for each team, from the
// team's full limit. The existence of the team's quota record marks it as done.
std::optional<QuotaOperation> QuotaOperations::bootstrap(const DemandOf& demand_of,
                                                         std::size_t max_mutations) const {
  if (!is_bootstrap_region()) return std::nullopt;
  QuotaOperation operation =
      begin(QuotaOperation::Kind::bootstrap, kBootstrapRegionKey,
            write_bootstrap_region(regions_.bootstrap_region), state_.bootstrap_revision);
  operation.transaction.mutations.push_back(operation.guard);
  const std::size_t counter_mutations = state_.remote_regions.size();
  const std::size_t mutations_per_team = 1 + state_.remote_regions.size();
  // If initial transfers exceed the mutation limit of one transaction, the other regions request
  // the quota that they need.
  const bool with_initial_transfers = 1 + mutations_per_team + counter_mutations <= max_mutations;
  for (const auto& [name, team] : teams_) {
    if (state_.quotas.contains(name)) continue;
    const std::size_t mutations =
        operation.transaction.mutations.size() + mutations_per_team + counter_mutations;
    if (!operation.quotas.empty() && mutations > max_mutations) break;
    bootstrap_team(operation, team, demand_of(name), with_initial_transfers);
  }
  if (operation.quotas.empty()) return std::nullopt;
  add_sent_counters(operation);
  return operation;
}

void QuotaOperations::bootstrap_team(QuotaOperation& operation, const base::Team& team,
                                     const TeamDemand& demand, bool with_initial_transfers) const {
  QuotaAmounts remaining = full_quota(team);
  for (const auto& region : regions_.regions) {
    if (region.name == regions_.self || !with_initial_transfers) continue;
    const QuotaAmounts unused = (remaining - demand.used).at_least_zero();
    const QuotaAmounts initial =
        QuotaAmounts::min_of(unused, initial_quota(full_quota(team), region.initial_share));
    if (initial.is_zero()) continue;
    remaining -= initial;
    add_transfer(operation, region.name, team.name, initial);
  }
  set_quota(operation, team.name, remaining);
}

// ---- clearing ----

// An acknowledgement proves that the receiver's counter has reached the transfer. The receiver
// rejects every later duplicate by that counter, so the transfer need not be stored any longer.
std::optional<QuotaOperation> QuotaOperations::clear(std::size_t max_mutations) const {
  for (const auto& [region, remote] : state_.remote_regions) {
    const auto& outgoing = remote.outgoing;
    if (outgoing.empty() || outgoing.begin()->first > remote.acknowledged) continue;
    QuotaOperation operation;
    operation.kind = QuotaOperation::Kind::clear;
    operation.region = region;
    auto& transaction = operation.transaction;
    transaction.compares = {leader_};
    for (const auto& [sequence, transfer] : outgoing) {
      const bool at_limit = transaction.mutations.size() == max_mutations;
      if (sequence > remote.acknowledged || at_limit) break;
      transaction.mutations.push_back({out_key(region, sequence), "", 0});
      operation.last_sequence = sequence;
    }
    return operation;
  }
  return std::nullopt;
}

}  // namespace cranklock::regions
