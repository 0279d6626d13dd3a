#include "regions/quota_service.hpp"

#include "base/event_log.hpp"
#include "regions/records.hpp"

namespace cranklock::regions {
namespace {

constexpr double kStoreTimeoutS = 2.0;
/// Upper bound of the backoff between requests that are not granted, in units of
/// request_interval_s().
constexpr double kMaxRequestIntervals = 16;
/// Minimum pause between two rounds of exchange_messages(), in the same unit.
constexpr double kMinRoundPauseIntervals = 1.0 / 20;

/// One of `parts` equal parts, rounded up to whole CPUs and GPUs so that the parts add up to at
/// least the missing quota.
QuotaAmounts divide_rounding_up(const QuotaAmounts& missing, std::size_t parts) {
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
      schedule_(request_interval_s(settings), kMaxRequestIntervals * request_interval_s(settings)),
      write_due_(reactor),
      message_due_(reactor) {}

net::Task<bool> QuotaService::load() {
  auto reading = store_.read_all(kRegionsPrefix, kStoreTimeoutS);
  const auto stored = co_await reading;
  if (stored.status != store::Status::ok) co_return false;
  ledger_.load(stored.page.items);
  co_return true;
}

void QuotaService::start(net::Scope& scope) {
  started_at_ = now();
  bootstrap_logged_ = ledger_.all_bootstrapped();
  scope.spawn(write());
  scope.spawn(exchange_messages());
}

TeamDemand QuotaService::demand_of(const std::string& team) const {
  const auto waiting = last_demands_.find(team);
  TeamDemand demand = waiting == last_demands_.end() ? TeamDemand{} : waiting->second;
  demand.used = callbacks_.used_quota(team);  // current value: placements may have been added since
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
      net::Signal::Wait wait(write_due_, request_interval_s(settings_));
      co_await wait;
      continue;
    }
    auto writing =
        store_.compare_and_swap(transaction->compares, transaction->mutations, kStoreTimeoutS);
    const auto result = co_await writing;
    if (ledger_.finish_transaction(result)) callbacks_.quotas_changed();
    if (!bootstrap_logged_ && ledger_.all_bootstrapped()) {
      bootstrap_logged_ = true;
      base::log_info("quotas bootstrapped", base::field("teams", settings_.teams.size()),
                     base::field("seconds", fmt::format("{:.1f}", now() - started_at_)));
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
    // Without this pause, each of hundreds of transfers would cause an iteration over all jobs.
    net::Sleep pause(reactor_, kMinRoundPauseIntervals * request_interval_s(settings_));
    co_await pause;
    // Woken by finished writes and received transfers, so that the remaining shortage is requested
    // as soon as part of the quota has arrived.
    net::Signal::Wait wait(message_due_, request_interval_s(settings_));
    co_await wait;
  }
}

// Sends new transfers at once, and all unacknowledged ones again every two request intervals.
void QuotaService::send_transfers() {
  for (const auto& region : network_.reachable_regions()) {
    SentTransfers& sent = sent_[region];
    const bool resend = now() >= sent.resend_at;
    if (resend) sent.resend_at = now() + 2 * request_interval_s(settings_);
    for (const auto& transfer : ledger_.unacknowledged(region)) {
      if (!resend && transfer.sequence <= sent.last_sequence) continue;
      network_.send(region, transfer);
      sent.last_sequence = std::max(sent.last_sequence, transfer.sequence);
    }
  }
}

void QuotaService::send_acknowledgements() {
  for (const auto& [region, acknowledgement] : ledger_.take_due_acknowledgements())
    network_.send(region, acknowledgement);
}

void QuotaService::send_requests() {
  last_demands_ = callbacks_.demands_of_waiting_work();
  const auto regions = network_.reachable_regions();
  if (regions.empty() || ledger_.is_frozen()) return;
  for (const auto& team : settings_.teams) {
    const auto waiting = last_demands_.find(team.name);
    const TeamDemand demand = waiting == last_demands_.end() ? TeamDemand{} : waiting->second;
    const QuotaAmounts missing = missing_quota(ledger_.held(team.name), demand, full_quota(team));
    const auto shortage = schedule_.shortage(team.name);
    if (shortage && missing.is_zero()) {
      base::log_info(base::kQuotaShortageOver, base::field("team", team.name),
                     base::field("seconds", fmt::format("{:.3f}", now() - shortage->started_at)),
                     base::field("requests", shortage->requests));
    }
    if (!schedule_.take_due(team.name, missing, now())) continue;
    const QuotaRequest request{team.name, divide_rounding_up(missing, regions.size()),
                               demand.waiting_since_ms};
    for (const auto& region : regions) network_.send(region, request);
  }
}

}  // namespace cranklock::regions
