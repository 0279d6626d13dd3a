#include "regions/quota_ledger.hpp"

#include <algorithm>
#include <utility>

#include "base/event_log.hpp"
#include "regions/records.hpp"

namespace cranklock::regions {
namespace {

double to_units(std::int64_t thousandths) {
  return static_cast<double>(thousandths) / static_cast<double>(QuotaAmounts::kThousandthsPerUnit);
}

}  // namespace

QuotaLedger::QuotaLedger(const base::Settings& settings, wire::Compare leader)
    : settings_(settings),
      leader_(std::move(leader)),
      state_(settings.operator_settings.regions),
      operations_(settings_, state_, leader_) {}

void QuotaLedger::load(const std::vector<wire::StoredValue>& items) {
  state_.load(items, settings_.operator_settings.regions);
  pending_.reset();
  write_unresolved_ = false;
  guard_sent_ = false;
  in_flight_ = false;
  reload_needed_ = false;
}

// The limit in the settings applies too: it may be lower now than when the quotas were
// bootstrapped from it.
wire::Resources QuotaLedger::guarantee(const base::Team& team) const {
  const QuotaAmounts quota = held(team.name);
  return {std::min(team.cpus, to_units(quota[Resource::guaranteed_cpus])),
          std::min(team.gpus, to_units(quota[Resource::guaranteed_gpus])), 0};
}

wire::Resources QuotaLedger::limit(const base::Team& team) const {
  const QuotaAmounts quota = held(team.name);
  return {std::min(team.cpus_max, to_units(quota[Resource::cpus])),
          std::min(team.gpus_max, to_units(quota[Resource::gpus])), 0};
}

// ---- messages from other regions ----

void QuotaLedger::on_request(const std::string& region, const QuotaRequest& request) {
  const auto remote = state_.remote_regions.find(region);
  if (remote == state_.remote_regions.end() || settings_.find_team(request.team) == nullptr) return;
  remote->second.requests[request.team] = request;  // the latest request replaces earlier ones
}

void QuotaLedger::on_transfer(const std::string& region, const QuotaTransfer& transfer) {
  const auto found = state_.remote_regions.find(region);
  if (found == state_.remote_regions.end()) return;
  RemoteRegion& remote = found->second;
  if (transfer.sequence <= remote.received.value) {
    remote.acknowledgement_due = true;  // a duplicate: it has been added before
    return;
  }
  // A transfer too far ahead is dropped; the sender repeats it.
  if (transfer.sequence > remote.received.value + kMaxUnacknowledged) return;
  remote.incoming.emplace(transfer.sequence, transfer);
}

void QuotaLedger::on_acknowledgement(const std::string& region,
                                     const TransferAcknowledgement& acknowledgement) {
  const auto found = state_.remote_regions.find(region);
  if (found == state_.remote_regions.end()) return;
  RemoteRegion& remote = found->second;
  if (acknowledgement.last_sequence > remote.sent.value) {
    base::log_error("quota acknowledgement unknown", base::field("region", region),
                    base::field("sequence", acknowledgement.last_sequence));
    return;
  }
  remote.acknowledged = std::max(remote.acknowledged, acknowledgement.last_sequence);
}

std::vector<QuotaTransfer> QuotaLedger::unacknowledged(const std::string& region) const {
  std::vector<QuotaTransfer> transfers;
  const auto found = state_.remote_regions.find(region);
  if (found == state_.remote_regions.end()) return transfers;
  const RemoteRegion& remote = found->second;
  const auto end = remote.outgoing.end();
  for (auto it = remote.outgoing.upper_bound(remote.acknowledged); it != end; ++it) {
    if (transfers.size() == kMaxUnacknowledged) break;
    transfers.push_back(it->second);
  }
  return transfers;
}

std::map<std::string, TransferAcknowledgement> QuotaLedger::take_due_acknowledgements() {
  std::map<std::string, TransferAcknowledgement> due;
  for (auto& [region, remote] : state_.remote_regions) {
    const bool is_due = std::exchange(remote.acknowledgement_due, false);
    if (!is_due || remote.received.value == 0) continue;
    due.emplace(region, TransferAcknowledgement{remote.received.value});
  }
  return due;
}

// ---- transactions ----

std::optional<QuotaLedger::Transaction> QuotaLedger::next_transaction(const DemandOf& demand_of,
                                                                      std::size_t max_mutations) {
  if (in_flight_ || reload_needed_ || leadership_lost_) return std::nullopt;
  if (write_unresolved_) {
    // The guard has the same compares, so that at most one of the two is ever applied.
    in_flight_ = guard_sent_ = true;
    return Transaction{pending_->transaction.compares, {pending_->guard}};
  }
  pending_ = operations_.next(demand_of, max_mutations);
  if (!pending_) return std::nullopt;
  in_flight_ = true;
  guard_sent_ = false;
  return pending_->transaction;
}

bool QuotaLedger::finish_transaction(const store::CompareAndSwapResult& result) {
  in_flight_ = false;
  if (!pending_) return false;
  const bool is_clear = pending_->kind == QuotaOperation::Kind::clear;
  switch (result.status) {
    case store::Status::ok:
      return on_applied(result.revision);
    case store::Status::precondition_failed:
      on_precondition_failed(result.failed_keys);
      return false;
    case store::Status::rejected:
      // Certainly not applied; an earlier transaction with the same compares may still be.
      if (write_unresolved_) return false;
      pending_.reset();
      return true;
    case store::Status::not_found:  // never the result of a compare-and-swap
    case store::Status::compacted:  // never the result of a compare-and-swap
    case store::Status::indeterminate:
      // A late repeated removal of acknowledged transfers is harmless.
      write_unresolved_ = !is_clear;
      if (is_clear) pending_.reset();
      return false;
  }
  return false;
}

bool QuotaLedger::on_applied(std::uint64_t revision) {
  const QuotaOperation operation = *std::exchange(pending_, std::nullopt);
  write_unresolved_ = false;
  if (!guard_sent_) return apply(operation, revision);
  apply_guard(operation, revision);
  return true;  // quota that counted as sent may be used again
}

void QuotaLedger::on_precondition_failed(const std::vector<std::string>& failed_keys) {
  if (std::find(failed_keys.begin(), failed_keys.end(), leader_.key) != failed_keys.end()) {
    leadership_lost_ = true;
    return;
  }
  // The transaction, or an earlier guard, was applied. Until the records are read again, quota that
  // may have been sent counts as sent.
  reload_needed_ = true;
}

void QuotaLedger::set_bootstrap_region(std::uint64_t revision) {
  state_.bootstrap_region = settings_.operator_settings.regions.bootstrap_region;
  state_.bootstrap_revision = revision;
}

void QuotaLedger::apply_guard(const QuotaOperation& operation, std::uint64_t revision) {
  if (operation.kind == QuotaOperation::Kind::bootstrap) {
    set_bootstrap_region(revision);
  } else if (operation.kind == QuotaOperation::Kind::receive) {
    state_.remote_regions.at(operation.region).received.revision = revision;
  } else {
    for (const auto& [region, transfers] : operation.to_send) {
      state_.remote_regions.at(region).sent.revision = revision;
    }
  }
}

bool QuotaLedger::apply(const QuotaOperation& operation, std::uint64_t revision) {
  for (const auto& [team, quota] : operation.quotas) state_.quotas[team] = {quota, revision};
  for (const auto& [region, transfers] : operation.to_send) {
    RemoteRegion& remote = state_.remote_regions.at(region);
    remote.sent = {remote.sent.value + transfers.size(), revision};
    for (const auto& transfer : transfers) remote.outgoing.emplace(transfer.sequence, transfer);
  }
  switch (operation.kind) {
    case QuotaOperation::Kind::bootstrap:
      set_bootstrap_region(revision);
      break;
    case QuotaOperation::Kind::receive:
      apply_received(operation, revision);
      break;
    case QuotaOperation::Kind::clear: {
      auto& outgoing = state_.remote_regions.at(operation.region).outgoing;
      outgoing.erase(outgoing.begin(), outgoing.upper_bound(operation.last_sequence));
      break;
    }
    case QuotaOperation::Kind::send:
      break;
  }
  return !operation.quotas.empty();
}

void QuotaLedger::apply_received(const QuotaOperation& operation, std::uint64_t revision) {
  // The record of the bootstrap region is written together with the first received transfer.
  if (!state_.bootstrap_region) set_bootstrap_region(revision);
  RemoteRegion& remote = state_.remote_regions.at(operation.region);
  remote.received = {operation.last_sequence, revision};
  remote.incoming.erase(remote.incoming.begin(),
                        remote.incoming.upper_bound(operation.last_sequence));
  remote.acknowledgement_due = true;
}

}  // namespace cranklock::regions
