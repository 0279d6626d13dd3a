#include "quota_simulation.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "fixtures.hpp"

namespace cranklock::testing {

using regions::QuotaAmounts;
using regions::QuotaLedger;
using regions::Resource;

store::CompareAndSwapResult KeyStore::apply(const QuotaLedger::Transaction& transaction) {
  store::CompareAndSwapResult result;
  for (const auto& condition : transaction.compares) {
    if (revision_of(condition.key) != condition.revision)
      result.failed_keys.push_back(condition.key);
  }
  result.status =
      result.failed_keys.empty() ? store::Status::ok : store::Status::precondition_failed;
  result.revision = revision_;
  if (!result.failed_keys.empty()) return result;
  result.revision = ++revision_;
  for (const auto& change : transaction.mutations) {
    if (change.is_removal()) {
      values_.erase(change.key);
    } else {
      values_[change.key] = {change.data, revision_};
    }
  }
  return result;
}

std::vector<wire::StoredValue> KeyStore::list(const std::string& prefix) const {
  std::vector<wire::StoredValue> out;
  for (const auto& [key, value] : values_) {
    if (key.starts_with(prefix)) out.push_back({key, value.data, value.revision});
  }
  return out;
}

std::uint64_t KeyStore::revision_of(const std::string& key) const {
  const auto found = values_.find(key);
  return found == values_.end() ? 0 : found->second.revision;
}

QuotaSimulation::QuotaSimulation(std::vector<base::Region> all, int team_count, double limit)
    : limit_gpus(limit) {
  base::Settings settings = small_settings();
  settings.teams.clear();
  for (int i = 0; i < team_count; ++i) {
    teams.push_back("team-" + std::to_string(i));
    settings.teams.push_back({teams.back(), 0, 0, limit / 2, limit});
  }
  settings.operator_settings.regions.bootstrap_region = all.front().name;
  settings.operator_settings.regions.regions = all;
  for (const auto& region : all) {
    Region& made = regions[region.name];
    made.settings = settings;
    made.settings.operator_settings.regions.self = region.name;
    change_leader(region.name);
  }
}

void QuotaSimulation::change_leader(const std::string& name) {
  Region& region = regions.at(name);
  const auto taken =
      region.store.apply({{}, {{kLeaderKey, "{}", 0}}});  // the former leader's lease has expired
  region.ledger =
      std::make_unique<QuotaLedger>(region.settings, wire::Compare{kLeaderKey, taken.revision});
  region.ledger->load(region.store.list(regions::kRegionsPrefix));
}

regions::TeamDemand QuotaSimulation::demand(const Region& region, const std::string& team) const {
  const auto found = region.work.find(team);
  if (found == region.work.end()) return {};
  const Work& work = found->second;
  const auto gpus = [](std::int64_t count) {
    return regions::quota_used_by({0, static_cast<double>(count), 0});
  };
  return {gpus(work.used), gpus(work.waiting), work.since_ms};
}

bool QuotaSimulation::write(const std::string& name, WriteOutcome outcome) {
  Region& region = regions.at(name);
  QuotaLedger& ledger = *region.ledger;
  if (region.store_down) outcome = WriteOutcome::rejected;
  if (ledger.reload_needed()) {
    if (outcome != WriteOutcome::applied) return true;
    ledger.load(region.store.list(regions::kRegionsPrefix));
    EXPECT_FALSE(ledger.reload_needed());
    return true;
  }
  constexpr std::size_t kMaxMutations = 8;
  const auto transaction = ledger.next_transaction(
      [&](const std::string& team) { return demand(region, team); }, kMaxMutations);
  if (!transaction) return false;
  EXPECT_LE(transaction->mutations.size(), kMaxMutations);
  store::CompareAndSwapResult result;  // unknown
  if (outcome == WriteOutcome::applied) result = region.store.apply(*transaction);
  if (outcome == WriteOutcome::applied_unanswered) region.store.apply(*transaction);
  if (outcome == WriteOutcome::delayed) region.delayed_writes.push_back(*transaction);
  if (outcome == WriteOutcome::rejected) result.status = store::Status::rejected;
  ledger.finish_transaction(result);
  return true;
}

void QuotaSimulation::apply_delayed(const std::string& name, std::size_t index) {
  Region& region = regions.at(name);
  if (region.delayed_writes.empty()) return;
  const auto chosen = region.delayed_writes.begin() +
                      static_cast<std::ptrdiff_t>(index % region.delayed_writes.size());
  region.store.apply(*chosen);
  region.delayed_writes.erase(chosen);
}

bool QuotaSimulation::is_blocked(const std::string& from, const std::string& to) const {
  return std::find(blocked_links.begin(), blocked_links.end(), std::pair(from, to)) !=
         blocked_links.end();
}

QuotaAmounts QuotaSimulation::missing(const std::string& name, const std::string& team) const {
  const Region& region = regions.at(name);
  return regions::missing_quota(region.ledger->held(team), demand(region, team),
                                regions::full_quota(*region.settings.find_team(team)));
}

void QuotaSimulation::send_messages(const std::string& name) {
  Region& region = regions.at(name);
  const auto enqueue = [&](const std::string& to, const regions::RegionFrame& frame) {
    ++frames_sent;
    if (!is_blocked(name, to)) messages.push_back({name, to, frame});
  };
  const auto acknowledgements = region.ledger->take_due_acknowledgements();
  for (const auto& [other, ignored] : regions) {
    if (other == name) continue;
    for (const auto& transfer : region.ledger->unacknowledged(other)) enqueue(other, transfer);
    if (const auto acknowledgement = acknowledgements.find(other);
        acknowledgement != acknowledgements.end()) {
      enqueue(other, acknowledgement->second);
    }
    for (const auto& team : teams) {
      const QuotaAmounts wanted = missing(name, team);
      if (!wanted.is_zero()) {
        enqueue(other, regions::QuotaRequest{team, wanted, region.work.at(team).since_ms});
      }
    }
  }
}

void QuotaSimulation::deliver(std::size_t index, bool keep) {
  if (messages.empty()) return;
  index %= messages.size();
  const Message message = messages[index];
  if (!keep) drop(index);
  QuotaLedger& ledger = *regions.at(message.to).ledger;
  if (const auto* request = std::get_if<regions::QuotaRequest>(&message.frame)) {
    ledger.on_request(message.from, *request);
  } else if (const auto* transfer = std::get_if<regions::QuotaTransfer>(&message.frame)) {
    ledger.on_transfer(message.from, *transfer);
  } else if (const auto* acknowledgement =
                 std::get_if<regions::TransferAcknowledgement>(&message.frame)) {
    ledger.on_acknowledgement(message.from, *acknowledgement);
  }
}

void QuotaSimulation::drop(std::size_t index) {
  if (messages.empty()) return;
  messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(index % messages.size()));
}

void QuotaSimulation::place(const std::string& name) {
  Region& region = regions.at(name);
  for (auto& [team, work] : region.work) {
    const std::int64_t free = held_gpus(name, team) - work.used;
    const std::int64_t started = std::clamp<std::int64_t>(free, 0, work.waiting);
    work.used += started;
    work.waiting -= started;
  }
}

void QuotaSimulation::settle(int rounds) {
  blocked_links.clear();
  for (int round = 0; round < rounds; ++round) {
    for (auto& [name, region] : regions) {
      region.store_down = false;
      place(name);
      send_messages(name);
    }
    while (!messages.empty()) deliver(0);
    for (const auto& [name, region] : regions) {
      while (write(name)) check();
      place(name);
    }
    check();
  }
}

std::int64_t QuotaSimulation::held_gpus(const std::string& region, const std::string& team) const {
  return regions.at(region).ledger->held(team)[Resource::gpus] / QuotaAmounts::kThousandthsPerUnit;
}

QuotaAmounts QuotaSimulation::sum(const std::string& team) const {
  QuotaAmounts total;
  for (const auto& [name, region] : regions) {
    for (const auto& item : region.store.list(regions::kRegionsPrefix)) {
      if (item.key == regions::quota_key(team)) total += *regions::read_quota(item.data);
      if (!item.key.starts_with(regions::kOutPrefix)) continue;
      const auto transfer = *regions::read_transfer(item.data);
      const std::string rest = item.key.substr(std::string(regions::kOutPrefix).size());
      const std::string to = rest.substr(0, rest.find('/'));
      const auto& receiver = regions.at(to).store.values();
      const auto counter = receiver.find(regions::received_key(name));
      const std::uint64_t received =
          counter == receiver.end() ? 0 : *regions::read_counter(counter->second.data);
      if (transfer.team == team && transfer.sequence > received) total += transfer.quota;
    }
  }
  return total;
}

std::int64_t QuotaSimulation::sum_gpus(const std::string& team) const {
  return sum(team)[Resource::gpus] / QuotaAmounts::kThousandthsPerUnit;
}

void QuotaSimulation::check_team(const std::string& team) const {
  const auto& bootstrap_region =
      regions.begin()->second.settings.operator_settings.regions.bootstrap_region;
  const bool bootstrapped =
      regions.at(bootstrap_region).store.revision_of(regions::quota_key(team)) > 0;
  const QuotaAmounts expected =
      bootstrapped ? regions::full_quota(*regions.at(bootstrap_region).settings.find_team(team))
                   : QuotaAmounts{};
  EXPECT_EQ(sum(team).values(), expected.values()) << team;
  std::int64_t used = 0;
  for (const auto& [name, region] : regions) {
    const auto& values = region.store.values();
    const auto stored = values.find(regions::quota_key(team));
    const QuotaAmounts stored_quota =
        stored == values.end() ? QuotaAmounts{} : *regions::read_quota(stored->second.data);
    EXPECT_FALSE((stored_quota - region.ledger->held(team)).any_negative())
        << name << " holds more than is stored";
    const auto work = region.work.find(team);
    if (work == region.work.end()) continue;
    used += work->second.used;
    EXPECT_LE(work->second.used * QuotaAmounts::kThousandthsPerUnit, stored_quota[Resource::gpus])
        << name << ", " << team;
  }
  EXPECT_LE(static_cast<double>(used), limit_gpus) << team;
}

void QuotaSimulation::check() const {
  for (const auto& team : teams) check_team(team);
}

}  // namespace cranklock::testing
