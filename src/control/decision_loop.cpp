#include "control/decision_loop.hpp"

#include <algorithm>
#include <utility>

#include "base/event_log.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;

namespace {
constexpr double kMinPassInterval = 0.05;  ///< seconds from the beginning of a pass to the next
constexpr double kRestAfterPass = 5;       ///< likewise, as a multiple of the time a pass took
}  // namespace

DecisionLoop::DecisionLoop(const LeaderContext& context, Parts parts)
    : context_(context), parts_(parts) {
  const double advise_every_s = context.services.settings.operators.defrag.advise_every_s;
  if (advise_every_s > 0) {
    advisor_ = std::make_unique<defrag::Advisor>(context.cluster, advise_every_s);
  }
}

Task<void> DecisionLoop::run() {
  const double heartbeat_interval_s = context_.services.settings.heartbeat_interval_s;
  for (;;) {
    net::Signal::Wait wait(context_.work, heartbeat_interval_s / 2);
    co_await wait;
    if (context_.now() < next_pass_at_) {
      Sleep pause(context_.services.reactor, next_pass_at_ - context_.now());
      co_await pause;
    }
    if (context_.leadership.is_lost()) co_return;
    parts_.jobs.apply_changes();
    parts_.outcomes.read_unknown();
    if (is_pass_due()) run_pass();
    log_advice();
    auto writing = write_records();
    co_await writing;
    parts_.commands.send_commands();
  }
}

// Whether anything has changed since the last pass, or that is so long ago that time alone may have
// made a difference. Nothing is placed before the machine types are known.
bool DecisionLoop::is_pass_due() {
  if (context_.cluster.types().empty()) return false;
  const double heartbeat_interval_s = context_.services.settings.heartbeat_interval_s;
  const bool overdue = context_.now() - last_pass_at_ > heartbeat_interval_s;
  return context_.cluster.take_changed() || overdue;
}

void DecisionLoop::run_pass() {
  last_pass_at_ = context_.now();
  const bool expedited = std::exchange(pass_expedited_, false);
  auto result =
      sched::place_waiting(context_.cluster, parts_.scaler.refused_until(), last_pass_at_);
  if (result.incomplete) context_.cluster.mark_changed();
  if (parts_.quota_shares != nullptr && expedited) parts_.quota_shares->on_new_work();
  log_shortfall(result.shortfall);
  // Guards heartbeats, clients and the renewal of the leader lease against a fleet so large, or a
  // processor so slow, that passes would take all the time.
  const double duration = context_.now() - last_pass_at_;
  next_pass_at_ = last_pass_at_ + std::max(kMinPassInterval, kRestAfterPass * duration);
  if (!result.incomplete) parts_.scaler.set_shortfall(std::move(result.shortfall));
  // Guards against two loops that wake each other without end: moves are woken only here, and
  // passes keep a distance from each other.
  if (parts_.moves != nullptr) parts_.moves->wake();
  if (result.placed > 0 || result.preempted > 0) {
    base::log_debug("placement pass", base::field("placed", result.placed),
                    base::field("stopped", result.preempted));
  }
}

// Logs the first kind of machine that is lacking, once when a shortfall begins.
void DecisionLoop::log_shortfall(const sched::Shortfall& shortfall) const {
  const bool began = parts_.scaler.shortfall().wanted.empty() && !shortfall.wanted.empty();
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

// Writes records until none is left that may be written now, or a pass is expedited.
Task<void> DecisionLoop::write_records() {
  for (;;) {
    if (context_.leadership.is_lost()) co_return;
    auto writing = parts_.writer.write_next();
    const auto written = co_await writing;
    if (written == RecordWriter::Written::leadership_lost) {
      context_.leadership.step_down(LeadershipLoss::leader_key_changed);
    }
    if (written != RecordWriter::Written::stored) co_return;
    parts_.commands.send_commands();
    parts_.jobs.apply_changes();
    if (parts_.writer.take_dependency_done()) pass_expedited_ = true;
    if (pass_expedited_ && context_.now() >= next_pass_at_) {
      // Guards new jobs, and next stages of pipelines, against waiting for hundreds of other
      // records to be written.
      context_.work.set();
      co_return;
    }
  }
}

}  // namespace cranklock::control
