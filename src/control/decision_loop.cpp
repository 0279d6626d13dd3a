#include "control/decision_loop.hpp"

#include <algorithm>
#include <utility>

#include "base/event_log.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;

namespace {
constexpr double kMinPassIntervalS = 0.05;  ///< from the start of a pass to the start of the next
constexpr double kPassIntervalFactor = 5;   ///< the same, as a multiple of the pass duration
}  // namespace

DecisionLoop::DecisionLoop(const LeaderContext& context, Components components)
    : context_(context), components_(components) {
  const double advise_every_s = context.services.settings.operator_settings.defrag.advise_every_s;
  if (advise_every_s > 0) {
    advisor_ = std::make_unique<defrag::Advisor>(context.cluster, advise_every_s);
  }
}

Task<void> DecisionLoop::run() {
  const double heartbeat_interval_s = context_.services.settings.heartbeat_interval_s;
  for (;;) {
    net::Signal::Wait wait(context_.state_changed, heartbeat_interval_s / 2);
    co_await wait;
    if (context_.now() < next_pass_at_) {
      Sleep pause(context_.services.reactor, next_pass_at_ - context_.now());
      co_await pause;
    }
    if (context_.leadership.is_lost()) co_return;
    components_.jobs.apply_changes();
    components_.outcomes.read_unknown_outcomes();
    if (is_pass_due()) run_pass();
    log_advice();
    auto writing = write_records();
    co_await writing;
    components_.commands.send_commands();
  }
}

// Whether state has changed since the last pass, or that pass is so old that the passage of time
// alone may change the result. Nothing is placed before the machine types are known.
bool DecisionLoop::is_pass_due() {
  if (context_.cluster.types().empty()) return false;
  const double heartbeat_interval_s = context_.services.settings.heartbeat_interval_s;
  const bool overdue = context_.now() - last_pass_at_ > heartbeat_interval_s;
  return context_.cluster.take_changed() || overdue;
}

void DecisionLoop::run_pass() {
  last_pass_at_ = context_.now();
  const bool expedited = std::exchange(pass_expedited_, false);
  auto result = sched::place_waiting_jobs(context_.cluster, components_.scaler.unavailable_until(),
                                          last_pass_at_);
  if (result.incomplete) context_.cluster.mark_changed();
  if (components_.quota_shares != nullptr && expedited) components_.quota_shares->on_new_work();
  log_shortfall(result.shortfall);
  // Leaves time for heartbeats, clients and lease renewals when the fleet is so large, or the CPU
  // so slow, that passes would otherwise use all of it.
  const double duration = context_.now() - last_pass_at_;
  next_pass_at_ = last_pass_at_ + std::max(kMinPassIntervalS, kPassIntervalFactor * duration);
  if (!result.incomplete) components_.scaler.set_shortfall(std::move(result.shortfall));
  // The move service is woken only here, and passes have a minimum interval, so that the two loops
  // cannot wake each other endlessly.
  if (components_.moves != nullptr) components_.moves->wake();
  if (result.placed > 0 || result.preempted > 0) {
    base::log_debug("placement pass", base::field("placed", result.placed),
                    base::field("stopped", result.preempted));
  }
}

// Logs the first machine kind of a shortfall, once when the shortfall begins.
void DecisionLoop::log_shortfall(const sched::Shortfall& shortfall) const {
  const bool began = components_.scaler.shortfall().wanted.empty() && !shortfall.wanted.empty();
  if (!began) return;
  const auto& [kind, machines] = *shortfall.wanted.begin();
  base::log_info("shortfall", base::field("type", kind.type), base::field("zone", kind.zone),
                 base::field("spot", kind.spot), base::field("machines", machines));
}

void DecisionLoop::log_advice() {
  if (!advisor_ || context_.cluster.types().empty()) return;
  const auto advice = advisor_->find_advice(context_.now());
  if (advice) spdlog::info("{}", defrag::to_log_line(*advice));
}

// Writes records until none can be written now, or until a pass is expedited.
Task<void> DecisionLoop::write_records() {
  for (;;) {
    if (context_.leadership.is_lost()) co_return;
    auto writing = components_.writer.write_next_batch();
    const auto written = co_await writing;
    if (written == RecordWriter::WriteResult::leadership_lost) {
      context_.leadership.step_down(LeadershipLoss::leader_key_changed);
    }
    if (written != RecordWriter::WriteResult::stored) co_return;
    components_.commands.send_commands();
    components_.jobs.apply_changes();
    if (components_.writer.take_dependency_done()) pass_expedited_ = true;
    if (pass_expedited_ && context_.now() >= next_pass_at_) {
      // New jobs and dependent jobs must not wait until hundreds of other records are written.
      context_.state_changed.set();
      co_return;
    }
  }
}

}  // namespace cranklock::control
