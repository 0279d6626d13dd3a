#include "regions/share_book.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "regions/records.hpp"

namespace cranklock::regions {
namespace {

/// Transfers that a receiver keeps in mind before they are added, and that a giver sends at a time.
constexpr std::size_t kMaxUnacknowledged = 64;

double to_amount(std::int64_t thousandths) {
  return static_cast<double>(thousandths) / static_cast<double>(Amounts::kUnit);
}

/// The part of a team's whole that another region is given at first, in whole CPUs and GPUs.
Amounts first_gift(const Amounts& whole, double part) {
  Amounts::Values values = whole.values();
  for (auto& value : values) {
    const auto share = static_cast<std::int64_t>(static_cast<double>(value) * part);
    value = share / Amounts::kUnit * Amounts::kUnit;
  }
  return Amounts(values);
}

}  // namespace

ShareBook::ShareBook(const base::Settings& settings, wire::Compare leader)
    : settings_(settings), leader_(std::move(leader)) {
  for (const auto& team : settings.teams) teams_.emplace(team.name, team);
  const auto& regions = settings.operators.regions;
  for (const auto& region : regions.regions) {
    if (region.name != regions.self) partners_.try_emplace(region.name);
  }
}

bool ShareBook::is_founder() const {
  return settings_.operators.regions.self == settings_.operators.regions.founder;
}

bool ShareBook::all_founded() const {
  return is_founder() && std::all_of(teams_.begin(), teams_.end(), [this](const auto& team) {
           return shares_.contains(team.first);
         });
}

Amounts ShareBook::whole(const std::string& team) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? Amounts{} : whole_amounts(found->second);
}

// ---- what is held ----

Amounts ShareBook::held(const std::string& team) const {
  const auto share = shares_.find(team);
  if (share == shares_.end()) return {};
  if (!under_way_) return share->second.amounts;
  const auto taken_off = under_way_->taken_off.find(team);
  return taken_off == under_way_->taken_off.end() ? share->second.amounts
                                                  : share->second.amounts - taken_off->second;
}

// The settings' limit holds too: shares were made from the limit of their time.
wire::Resources ShareBook::guarantee(const base::Team& team) const {
  const Amounts amounts = held(team.name);
  return {std::min(team.cpus, to_amount(amounts[Resource::guaranteed_cpus])),
          std::min(team.gpus, to_amount(amounts[Resource::guaranteed_gpus])), 0};
}

wire::Resources ShareBook::limit(const base::Team& team) const {
  const Amounts amounts = held(team.name);
  return {std::min(team.cpus_max, to_amount(amounts[Resource::cpus])),
          std::min(team.gpus_max, to_amount(amounts[Resource::gpus])), 0};
}

// ---- what is stored ----

// Guards a region against losing its leader for one record that can't be read.
void ShareBook::load(const std::vector<wire::StoredValue>& items) {
  ShareBook fresh(settings_, leader_);
  for (const auto& item : items) {
    if (fresh.load_item(item)) continue;
    spdlog::error("record {} is malformed: shares are used as they are, and nothing is moved",
                  item.key);
    fresh.frozen_ = true;
  }
  // What was heard stays; what is stored says how far it has been dealt with.
  for (auto& [region, partner] : fresh.partners_) {
    Partner& old = partners_[region];
    partner.acknowledged = std::min(old.acknowledged, partner.sent.value);
    partner.requests = std::move(old.requests);
    partner.receipt_owed = true;
    for (auto& [sequence, transfer] : old.arrived) {
      if (sequence > partner.received.value) partner.arrived.emplace(sequence, transfer);
    }
  }
  shares_ = std::move(fresh.shares_);
  partners_ = std::move(fresh.partners_);
  founder_ = std::move(fresh.founder_);
  founder_revision_ = fresh.founder_revision_;
  under_way_.reset();
  write_unresolved_ = guard_sent_ = handed_out_ = reload_needed_ = false;
  frozen_ = fresh.frozen_;
  if (!founder_ || *founder_ == settings_.operators.regions.founder) return;
  frozen_ = true;
  spdlog::error("shares were made by region {}, and the settings name {}: nothing is moved",
                *founder_, settings_.operators.regions.founder);
}

bool ShareBook::load_transfer(const wire::StoredValue& item) {
  const std::string rest = item.key.substr(std::string(kOutPrefix).size());
  const std::string region = rest.substr(0, rest.find('/'));
  const auto transfer = read_transfer(item.data);
  if (!transfer) return false;
  partners_[region].out.emplace(transfer->sequence, *transfer);
  return true;
}

// A region that the settings no longer name keeps its records: what was sent to it is not ours.
bool ShareBook::load_item(const wire::StoredValue& item) {
  const auto rest = [&](const char* prefix) { return item.key.substr(std::string(prefix).size()); };
  if (item.key == kFounderKey) {
    founder_ = read_founder(item.data);
    founder_revision_ = item.revision;
    return founder_.has_value();
  }
  if (item.key.starts_with(kSharesPrefix)) {
    const auto amounts = read_share(item.data);
    if (amounts) shares_[rest(kSharesPrefix)] = {*amounts, item.revision};
    return amounts.has_value();
  }
  if (item.key.starts_with(kOutPrefix)) return load_transfer(item);
  const bool sent = item.key.starts_with(kSentPrefix);
  if (!sent && !item.key.starts_with(kReceivedPrefix)) return true;  // of a later version
  const auto value = read_counter(item.data);
  if (!value) return false;
  Partner& partner = partners_[rest(sent ? kSentPrefix : kReceivedPrefix)];
  (sent ? partner.sent : partner.received) = {*value, item.revision};
  return true;
}

// ---- what other regions say ----

void ShareBook::note_request(const std::string& region, const ShareRequest& request) {
  const auto partner = partners_.find(region);
  if (partner == partners_.end() || !teams_.contains(request.team)) return;
  partner->second.requests[request.team] = request;  // the newest counts
}

void ShareBook::note_transfer(const std::string& region, const ShareTransfer& transfer) {
  const auto partner = partners_.find(region);
  if (partner == partners_.end()) return;
  Partner& from = partner->second;
  if (transfer.sequence <= from.received.value) {
    from.receipt_owed = true;  // a copy, however old: it was added once
    return;
  }
  if (transfer.sequence > from.received.value + kMaxUnacknowledged) return;  // comes again
  from.arrived.emplace(transfer.sequence, transfer);
}

void ShareBook::note_receipt(const std::string& region, const ShareReceipt& receipt) {
  const auto partner = partners_.find(region);
  if (partner == partners_.end()) return;
  Partner& to = partner->second;
  if (receipt.through > to.sent.value) {
    spdlog::error("region {} acknowledges a transfer that was never sent", region);
    return;
  }
  to.acknowledged = std::max(to.acknowledged, receipt.through);
}

std::vector<ShareTransfer> ShareBook::unacknowledged(const std::string& region) const {
  std::vector<ShareTransfer> out;
  const auto partner = partners_.find(region);
  if (partner == partners_.end()) return out;
  const Partner& to = partner->second;
  for (auto it = to.out.upper_bound(to.acknowledged); it != to.out.end(); ++it) {
    if (out.size() == kMaxUnacknowledged) break;
    out.push_back(it->second);
  }
  return out;
}

std::map<std::string, ShareReceipt> ShareBook::take_receipts() {
  std::map<std::string, ShareReceipt> out;
  for (auto& [region, partner] : partners_) {
    if (!std::exchange(partner.receipt_owed, false) || partner.received.value == 0) continue;
    out.emplace(region, ShareReceipt{partner.received.value});
  }
  return out;
}

// ---- transactions ----

ShareBook::Operation ShareBook::begin(Operation::Kind kind, const std::string& guard_key,
                                      std::string guard_data, std::uint64_t guard_revision) const {
  Operation operation;
  operation.kind = kind;
  operation.transaction.compares = {leader_, {guard_key, guard_revision}};
  operation.guard = {guard_key, std::move(guard_data), 0};
  return operation;
}

void ShareBook::change_share(Operation& operation, const std::string& team,
                             const Amounts& amounts) const {
  const auto stored = shares_.find(team);
  const std::uint64_t revision = stored == shares_.end() ? 0 : stored->second.revision;
  operation.shares[team] = amounts;
  operation.transaction.compares.push_back({share_key(team), revision});
  operation.transaction.mutations.push_back({share_key(team), write_share(amounts), 0});
}

void ShareBook::add_transfer(Operation& operation, const std::string& region,
                             const std::string& team, const Amounts& amounts) const {
  auto& to_send = operation.to_send[region];
  const std::uint64_t sequence = partners_.at(region).sent.value + to_send.size() + 1;
  to_send.push_back({sequence, team, amounts});
  operation.transaction.mutations.push_back(
      {out_key(region, sequence), write_transfer(to_send.back()), 0});
}

void ShareBook::add_sent_counters(Operation& operation) const {
  for (const auto& [region, transfers] : operation.to_send) {
    const Counter& sent = partners_.at(region).sent;
    if (operation.guard.key != sent_key(region)) {
      operation.transaction.compares.push_back({sent_key(region), sent.revision});
    }
    operation.transaction.mutations.push_back(
        {sent_key(region), write_counter(sent.value + transfers.size()), 0});
  }
}

void ShareBook::found_team(Operation& operation, const base::Team& team, const TeamDemand& demand,
                           bool with_gifts) const {
  const auto& regions = settings_.operators.regions;
  Amounts left = whole_amounts(team);
  for (const auto& region : regions.regions) {
    if (region.name == regions.self || !with_gifts) continue;
    const Amounts unused = (left - demand.used).at_least_zero();
    const Amounts gift =
        Amounts::least(unused, first_gift(whole_amounts(team), region.first_share));
    if (gift.is_zero()) continue;
    left -= gift;
    add_transfer(operation, region.name, team.name, gift);
  }
  change_share(operation, team.name, left);
}

// The only place where share comes into being: by the founder, once for each team, from its whole
// limit. The record of the team's share is the mark that it was done.
std::optional<ShareBook::Operation> ShareBook::found_shares(const DemandOf& demand_of,
                                                            std::size_t max_mutations) const {
  if (!is_founder()) return std::nullopt;
  Operation operation =
      begin(Operation::Kind::found, kFounderKey, write_founder(settings_.operators.regions.founder),
            founder_revision_);
  operation.transaction.mutations.push_back(operation.guard);
  const std::size_t counters = partners_.size();
  const std::size_t for_a_team = 1 + partners_.size();
  // Where a transaction has no room for gifts, the others ask for what they need.
  const bool with_gifts = 1 + for_a_team + counters <= max_mutations;
  for (const auto& [name, team] : teams_) {
    if (shares_.contains(name)) continue;
    const std::size_t mutations = operation.transaction.mutations.size() + for_a_team + counters;
    if (!operation.shares.empty() && mutations > max_mutations) break;
    found_team(operation, team, demand_of(name), with_gifts);
  }
  if (operation.shares.empty()) return std::nullopt;
  add_sent_counters(operation);
  return operation;
}

std::optional<ShareBook::Operation> ShareBook::take_transfers(std::size_t max_mutations) const {
  for (const auto& [region, from] : partners_) {
    const Counter& received = from.received;
    Operation operation = begin(Operation::Kind::take, received_key(region),
                                write_counter(received.value), received.revision);
    operation.region = region;
    operation.through = received.value;
    std::map<std::string, Amounts> shares;
    const std::size_t others = founder_ ? 1 : 2;  // the counter, and who made the shares
    for (const auto& [sequence, transfer] : from.arrived) {
      const bool fits = shares.contains(transfer.team) || shares.empty() ||
                        shares.size() + others < max_mutations;
      if (sequence != operation.through + 1 || !fits) break;
      const auto stored = shares_.find(transfer.team);
      const Amounts before = stored == shares_.end() ? Amounts{} : stored->second.amounts;
      shares.try_emplace(transfer.team, before).first->second += transfer.amounts;
      operation.through = sequence;
    }
    if (shares.empty()) continue;
    for (const auto& [team, amounts] : shares) change_share(operation, team, amounts);
    auto& mutations = operation.transaction.mutations;
    mutations.push_back({received_key(region), write_counter(operation.through), 0});
    if (!founder_) {
      operation.transaction.compares.push_back({kFounderKey, founder_revision_});
      mutations.push_back({kFounderKey, write_founder(settings_.operators.regions.founder), 0});
    }
    return operation;
  }
  return std::nullopt;
}

Amounts ShareBook::decide_request(const std::string& region, const ShareRequest& request,
                                  const TeamDemand& demand) const {
  const Partner& to = partners_.at(region);
  // What is on its way already may be all that is asked for.
  const bool on_its_way =
      std::any_of(to.out.upper_bound(to.acknowledged), to.out.end(),
                  [&](const auto& entry) { return entry.second.team == request.team; });
  if (on_its_way || !shares_.contains(request.team)) return {};
  const Claim own{settings_.operators.regions.self, demand.waiting_since_ms};
  const Claim asking{region, request.waiting_since_ms};
  const Amounts spare = spare_share(held(request.team), demand, whole(request.team), own, asking);
  return granted_share(spare, request.wanted);
}

std::optional<ShareBook::Operation> ShareBook::give_share(const DemandOf& demand_of,
                                                          std::size_t max_mutations) {
  constexpr std::size_t kChangesEach = 2;  // the share, and the transfer
  for (auto& [region, to] : partners_) {
    Operation operation = begin(Operation::Kind::give, sent_key(region),
                                write_counter(to.sent.value), to.sent.revision);
    auto& requests = to.requests;
    while (!requests.empty()) {
      const std::size_t mutations = operation.transaction.mutations.size() + kChangesEach + 1;
      if (!operation.shares.empty() && mutations > max_mutations) break;
      const ShareRequest request = std::move(requests.begin()->second);
      requests.erase(requests.begin());
      const Amounts granted = decide_request(region, request, demand_of(request.team));
      if (granted.is_zero()) continue;
      operation.taken_off[request.team] = granted;
      change_share(operation, request.team, shares_.at(request.team).amounts - granted);
      add_transfer(operation, region, request.team, granted);
    }
    if (operation.shares.empty()) continue;
    add_sent_counters(operation);
    return operation;
  }
  return std::nullopt;
}

// A receipt proves that the receiver's counter has passed the transfer, which refuses every copy of
// it from then on; so nothing needs to remember it any more.
std::optional<ShareBook::Operation> ShareBook::clear_acknowledged(std::size_t max_mutations) const {
  for (const auto& [region, to] : partners_) {
    if (to.out.empty() || to.out.begin()->first > to.acknowledged) continue;
    Operation operation;
    operation.kind = Operation::Kind::clear;
    operation.region = region;
    operation.transaction.compares = {leader_};
    for (const auto& [sequence, transfer] : to.out) {
      if (sequence > to.acknowledged || operation.transaction.mutations.size() == max_mutations)
        break;
      operation.transaction.mutations.push_back({out_key(region, sequence), "", 0});
      operation.through = sequence;
    }
    return operation;
  }
  return std::nullopt;
}

std::optional<ShareBook::Operation> ShareBook::prepare(const DemandOf& demand_of,
                                                       std::size_t max_mutations) {
  if (frozen_) return std::nullopt;
  if (auto operation = take_transfers(max_mutations)) return operation;
  if (auto operation = give_share(demand_of, max_mutations)) return operation;
  if (auto operation = found_shares(demand_of, max_mutations)) return operation;
  return clear_acknowledged(max_mutations);
}

std::optional<ShareBook::Transaction> ShareBook::next_transaction(const DemandOf& demand_of,
                                                                  std::size_t max_mutations) {
  if (handed_out_ || reload_needed_ || leadership_lost_) return std::nullopt;
  if (write_unresolved_) {
    // Under the same conditions, so that only one of the two is ever carried out.
    handed_out_ = guard_sent_ = true;
    return Transaction{under_way_->transaction.compares, {under_way_->guard}};
  }
  under_way_ = prepare(demand_of, max_mutations);
  if (!under_way_) return std::nullopt;
  handed_out_ = true;
  guard_sent_ = false;
  return under_way_->transaction;
}

bool ShareBook::finish_transaction(const store::CompareAndSwapResult& result) {
  handed_out_ = false;
  if (!under_way_) return false;
  const bool clears = under_way_->kind == Operation::Kind::clear;
  switch (result.status) {
    case store::Status::ok: {
      const Operation operation = *std::exchange(under_way_, std::nullopt);
      write_unresolved_ = false;
      if (!guard_sent_) return apply(operation, result.revision);
      apply_guard(operation, result.revision);
      return true;  // what was counted as given is held again
    }
    case store::Status::precondition_failed: {
      const auto& failed = result.failed_keys;
      if (std::find(failed.begin(), failed.end(), leader_.key) != failed.end()) {
        leadership_lost_ = true;
      } else {
        // It, or a guard before this one, was carried out. Until it is read, what may have been
        // given counts as given.
        reload_needed_ = true;
      }
      return false;
    }
    case store::Status::rejected:
      // Certainly not carried out; what was sent before it, under the same conditions, may be.
      if (write_unresolved_) return false;
      under_way_.reset();
      return true;
    case store::Status::not_found:  // this and the next are no results of a compare-and-swap
    case store::Status::compacted:
    case store::Status::indeterminate:
      // To remove what was acknowledged once more does no harm, however late.
      write_unresolved_ = !clears;
      if (clears) under_way_.reset();
      return false;
  }
  return false;
}

void ShareBook::note_founder(std::uint64_t revision) {
  founder_ = settings_.operators.regions.founder;
  founder_revision_ = revision;
}

void ShareBook::apply_guard(const Operation& operation, std::uint64_t revision) {
  if (operation.kind == Operation::Kind::found) {
    note_founder(revision);
  } else if (operation.kind == Operation::Kind::take) {
    partners_.at(operation.region).received.revision = revision;
  } else {
    for (const auto& [region, transfers] : operation.to_send) {
      partners_.at(region).sent.revision = revision;
    }
  }
}

bool ShareBook::apply(const Operation& operation, std::uint64_t revision) {
  for (const auto& [team, amounts] : operation.shares) shares_[team] = {amounts, revision};
  for (const auto& [region, transfers] : operation.to_send) {
    Partner& to = partners_.at(region);
    to.sent = {to.sent.value + transfers.size(), revision};
    for (const auto& transfer : transfers) to.out.emplace(transfer.sequence, transfer);
  }
  // Founding writes the founder's record each time, the first transfer that is taken once.
  const bool first_taken = operation.kind == Operation::Kind::take && !founder_;
  if (operation.kind == Operation::Kind::found || first_taken) note_founder(revision);
  if (operation.kind == Operation::Kind::take) {
    Partner& from = partners_.at(operation.region);
    from.received = {operation.through, revision};
    from.arrived.erase(from.arrived.begin(), from.arrived.upper_bound(operation.through));
    from.receipt_owed = true;
  } else if (operation.kind == Operation::Kind::clear) {
    auto& out = partners_.at(operation.region).out;
    out.erase(out.begin(), out.upper_bound(operation.through));
  }
  return !operation.shares.empty();
}

}  // namespace cranklock::regions
