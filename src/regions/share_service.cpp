#include "regions/share_service.hpp"

#include "base/event_log.hpp"
#include "regions/records.hpp"

namespace cranklock::regions {
namespace {

constexpr double kStoreTimeout = 2.0;
/// The longest pause between requests for share that nobody gives, in intervals of ask_every().
constexpr double kLongestPause = 16;
/// The least pause between two rounds of talk(), in the same measure.
constexpr double kMinPause = 1.0 / 20;

/// A part of what is missing, in whole CPUs and GPUs so that the parts add up to at least all.
Amounts part_of(const Amounts& missing, std::size_t parts) {
  Amounts::Values values = missing.values();
  const auto count = static_cast<std::int64_t>(parts);
  for (auto& value : values) {
    const std::int64_t part = (value + count - 1) / count;
    value = std::min(value, round_up_to_unit(part));
  }
  return Amounts(values);
}

}  // namespace

ShareService::ShareService(net::Reactor& reactor, const base::Settings& settings,
                           store::Client& store, RegionNetwork& network, wire::Compare leader,
                           Callbacks callbacks)
    : reactor_(reactor),
      settings_(settings),
      store_(store),
      network_(network),
      callbacks_(std::move(callbacks)),
      book_(settings, std::move(leader)),
      schedule_(ask_every(settings), kLongestPause * ask_every(settings)),
      to_write_(reactor),
      to_tell_(reactor) {}

net::Task<bool> ShareService::load() {
  auto reading = store_.read_all(kRegionsPrefix, kStoreTimeout);
  const auto stored = co_await reading;
  if (stored.status != store::Status::ok) co_return false;
  book_.load(stored.page.items);
  co_return true;
}

void ShareService::start(net::Scope& scope) {
  began_ = now();
  founded_ = book_.all_founded();
  scope.spawn(write());
  scope.spawn(talk());
}

TeamDemand ShareService::demand_of(const std::string& team) const {
  const auto waiting = waiting_.find(team);
  TeamDemand demand = waiting == waiting_.end() ? TeamDemand{} : waiting->second;
  demand.used = callbacks_.used(team);  // at this moment: placements may have come since
  return demand;
}

void ShareService::look_again() {
  to_tell_.set();
}

void ShareService::on_region_frame(const std::string& region, const RegionFrame& frame) {
  if (const auto* request = std::get_if<ShareRequest>(&frame)) {
    book_.note_request(region, *request);
  } else if (const auto* transfer = std::get_if<ShareTransfer>(&frame)) {
    book_.note_transfer(region, *transfer);
    to_tell_.set();
  } else if (const auto* receipt = std::get_if<ShareReceipt>(&frame)) {
    book_.note_receipt(region, *receipt);
  }
  to_write_.set();
}

net::Task<void> ShareService::write() {
  const double retry_s = settings_.heartbeat_interval_s / 8;
  for (;;) {
    if (book_.leadership_lost()) {
      callbacks_.leadership_lost();
      co_return;
    }
    if (book_.reload_needed()) {
      auto reloading = load();
      if (co_await reloading) {
        callbacks_.shares_changed();
      } else {
        net::Sleep pause(reactor_, retry_s);
        co_await pause;
      }
      continue;
    }
    const auto transaction = book_.next_transaction(
        [this](const std::string& team) { return demand_of(team); }, store_.txn_changes());
    if (!transaction) {
      net::Signal::Wait wait(to_write_, ask_every(settings_));
      co_await wait;
      continue;
    }
    auto writing =
        store_.compare_and_swap(transaction->compares, transaction->mutations, kStoreTimeout);
    const auto result = co_await writing;
    if (book_.finish_transaction(result)) callbacks_.shares_changed();
    if (!founded_ && book_.all_founded()) {
      founded_ = true;
      base::log_info("quotas bootstrapped", base::field("teams", settings_.teams.size()),
                     base::field("seconds", fmt::format("{:.1f}", now() - began_)));
    }
    to_tell_.set();
    const bool decided =
        result.status == store::Status::ok || result.status == store::Status::failed;
    if (decided) continue;
    net::Sleep pause(reactor_, retry_s);
    co_await pause;
  }
}

net::Task<void> ShareService::talk() {
  for (;;) {
    send_transfers();
    send_receipts();
    send_requests();
    // Guards against a look at all jobs for each of hundreds of transfers.
    net::Sleep rest(reactor_, kMinPause * ask_every(settings_));
    co_await rest;
    // Woken by what is written and heard: what is missing is asked for again as soon as a part of
    // it has come.
    net::Signal::Wait wait(to_tell_, ask_every(settings_));
    co_await wait;
  }
}

// New ones at once, and all that have no receipt again after a while.
void ShareService::send_transfers() {
  for (const auto& region : network_.reachable()) {
    Sent& sent = sent_[region];
    const bool again = now() >= sent.again_at;
    if (again) sent.again_at = now() + 2 * ask_every(settings_);
    for (const auto& transfer : book_.unacknowledged(region)) {
      if (!again && transfer.sequence <= sent.through) continue;
      network_.send(region, transfer);
      sent.through = std::max(sent.through, transfer.sequence);
    }
  }
}

void ShareService::send_receipts() {
  for (const auto& [region, receipt] : book_.take_receipts()) network_.send(region, receipt);
}

void ShareService::send_requests() {
  waiting_ = callbacks_.waiting_demands();
  const auto regions = network_.reachable();
  if (regions.empty() || book_.is_frozen()) return;
  for (const auto& team : settings_.teams) {
    const auto waiting = waiting_.find(team.name);
    const TeamDemand demand = waiting == waiting_.end() ? TeamDemand{} : waiting->second;
    const Amounts missing = missing_share(book_.held(team.name), demand, whole_amounts(team));
    const auto shortage = schedule_.shortage(team.name);
    if (shortage && missing.is_zero()) {
      base::log_info(base::kQuotaShortageOver, base::field("team", team.name),
                     base::field("seconds", fmt::format("{:.3f}", now() - shortage->since)),
                     base::field("requests", shortage->requests));
    }
    if (!schedule_.take_due(team.name, missing, now())) continue;
    const ShareRequest request{team.name, part_of(missing, regions.size()),
                               demand.waiting_since_ms};
    for (const auto& region : regions) network_.send(region, request);
  }
}

}  // namespace cranklock::regions
