#include "regions/quota_service.hpp"

#include "base/event_log.hpp"
#include "regions/records.hpp"

namespace cranklock::regions {
namespace {

constexpr double kStoreTimeout = 2.0;
/// The longest pause between requests for quota that nobody gives, in intervals of
/// request_interval().
constexpr double kLongestPause = 16;
/// The least pause between two rounds of talk(), in the same measure.
constexpr double kMinPause = 1.0 / 20;

/// A part of what is missing, in whole CPUs and GPUs so that the parts add up to at least all.
QuotaAmounts part_of(const QuotaAmounts& missing, std::size_t parts) {
  QuotaAmounts::Values values = missing.values();
  const auto count = static_cast<std::int64_t>(parts);
  for (auto& value : values) {
    const std::int64_t part = (value + count - 1) / count;
    value = std::min(value, round_up_to_unit(part));
  }
  return QuotaAmounts(values);
}

}  // namespace

QuotaService::QuotaService(net::Reactor& reactor, const base::Settings& settings,
                           store::Client& store, RegionNetwork& network, wire::Compare leader,
                           Callbacks callbacks)
    : reactor_(reactor),
      settings_(settings),
      store_(store),
      network_(network),
      callbacks_(std::move(callbacks)),
      ledger_(settings, std::move(leader)),
      schedule_(request_interval(settings), kLongestPause * request_interval(settings)),
      write_due_(reactor),
      message_due_(reactor) {}

net::Task<bool> QuotaService::load() {
  auto reading = store_.read_all(kRegionsPrefix, kStoreTimeout);
  const auto stored = co_await reading;
  if (stored.status != store::Status::ok) co_return false;
  ledger_.load(stored.page.items);
  co_return true;
}

void QuotaService::start(net::Scope& scope) {
  began_ = now();
  bootstrapped_ = ledger_.all_bootstrapped();
  scope.spawn(write());
  scope.spawn(exchange_messages());
}

TeamDemand QuotaService::demand_of(const std::string& team) const {
  const auto waiting = waiting_.find(team);
  TeamDemand demand = waiting == waiting_.end() ? TeamDemand{} : waiting->second;
  demand.used = callbacks_.used(team);  // at this moment: placements may have come since
  return demand;
}

void QuotaService::on_new_work() {
  message_due_.set();
}

void QuotaService::on_region_frame(const std::string& region, const RegionFrame& frame) {
  if (const auto* request = std::get_if<QuotaRequest>(&frame)) {
    ledger_.on_request(region, *request);
  } else if (const auto* transfer = std::get_if<QuotaTransfer>(&frame)) {
    ledger_.on_transfer(region, *transfer);
    message_due_.set();
  } else if (const auto* acknowledgement = std::get_if<TransferAcknowledgement>(&frame)) {
    ledger_.on_acknowledgement(region, *acknowledgement);
  }
  write_due_.set();
}

net::Task<void> QuotaService::write() {
  const double retry_s = settings_.heartbeat_interval_s / 8;
  for (;;) {
    if (ledger_.leadership_lost()) {
      callbacks_.leadership_lost();
      co_return;
    }
    if (ledger_.reload_needed()) {
      auto reloading = load();
      if (co_await reloading) {
        callbacks_.quotas_changed();
      } else {
        net::Sleep pause(reactor_, retry_s);
        co_await pause;
      }
      continue;
    }
    const auto transaction = ledger_.next_transaction(
        [this](const std::string& team) { return demand_of(team); }, store_.max_mutations());
    if (!transaction) {
      net::Signal::Wait wait(write_due_, request_interval(settings_));
      co_await wait;
      continue;
    }
    auto writing =
        store_.compare_and_swap(transaction->compares, transaction->mutations, kStoreTimeout);
    const auto result = co_await writing;
    if (ledger_.finish_transaction(result)) callbacks_.quotas_changed();
    if (!bootstrapped_ && ledger_.all_bootstrapped()) {
      bootstrapped_ = true;
      base::log_info("quotas bootstrapped", base::field("teams", settings_.teams.size()),
                     base::field("seconds", fmt::format("{:.1f}", now() - began_)));
    }
    message_due_.set();
    const bool decided =
        result.status == store::Status::ok || result.status == store::Status::precondition_failed;
    if (decided) continue;
    net::Sleep pause(reactor_, retry_s);
    co_await pause;
  }
}

net::Task<void> QuotaService::exchange_messages() {
  for (;;) {
    send_transfers();
    send_acknowledgements();
    send_requests();
    // Guards against a look at all jobs for each of hundreds of transfers.
    net::Sleep rest(reactor_, kMinPause * request_interval(settings_));
    co_await rest;
    // Woken by what is written and heard: what is missing is asked for again as soon as a part of
    // it has come.
    net::Signal::Wait wait(message_due_, request_interval(settings_));
    co_await wait;
  }
}

// New ones at once, and all that have no acknowledgement again after a while.
void QuotaService::send_transfers() {
  for (const auto& region : network_.reachable()) {
    Sent& sent = sent_[region];
    const bool again = now() >= sent.again_at;
    if (again) sent.again_at = now() + 2 * request_interval(settings_);
    for (const auto& transfer : ledger_.unacknowledged(region)) {
      if (!again && transfer.sequence <= sent.through) continue;
      network_.send(region, transfer);
      sent.through = std::max(sent.through, transfer.sequence);
    }
  }
}

void QuotaService::send_acknowledgements() {
  for (const auto& [region, acknowledgement] : ledger_.take_due_acknowledgements())
    network_.send(region, acknowledgement);
}

void QuotaService::send_requests() {
  waiting_ = callbacks_.demands_of_waiting_work();
  const auto regions = network_.reachable();
  if (regions.empty() || ledger_.is_frozen()) return;
  for (const auto& team : settings_.teams) {
    const auto waiting = waiting_.find(team.name);
    const TeamDemand demand = waiting == waiting_.end() ? TeamDemand{} : waiting->second;
    const QuotaAmounts missing = missing_quota(ledger_.held(team.name), demand, full_quota(team));
    const auto shortage = schedule_.shortage(team.name);
    if (shortage && missing.is_zero()) {
      base::log_info(base::kQuotaShortageOver, base::field("team", team.name),
                     base::field("seconds", fmt::format("{:.3f}", now() - shortage->since)),
                     base::field("requests", shortage->requests));
    }
    if (!schedule_.take_due(team.name, missing, now())) continue;
    const QuotaRequest request{team.name, part_of(missing, regions.size()),
                               demand.waiting_since_ms};
    for (const auto& region : regions) network_.send(region, request);
  }
}

}  // namespace cranklock::regions
