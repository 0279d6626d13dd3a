// The leader's decisions: placement passes, and the records that make them durable.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "control/leader_term.hpp"
#include "sched/placement.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using sched::Job;
using sched::Machine;

namespace {
constexpr double kPassEvery = 0.05;   ///< placement passes come no closer than this
constexpr double kRestAfterPass = 5;  ///< nor than so many times what the last one took
}  // namespace

// ---- decisions ----

Task<void> LeaderTerm::decide() {
  double last_pass = 0;
  for (;;) {
    net::Signal::Wait wait(work_, services_.settings.heartbeat_interval_s / 2);
    co_await wait;
    if (now() < next_pass_at_) {
      Sleep pause(services_.reactor, next_pass_at_ - now());
      co_await pause;
    }
    if (is_lost()) co_return;
    jobs_.apply_changes();
    outcomes_.read_unknown();
    const bool overdue = now() - last_pass > services_.settings.heartbeat_interval_s;
    if (!cluster_.types().empty() && (cluster_.take_changed() || overdue)) {
      last_pass = now();
      const bool job_came = std::exchange(pass_awaited_, false);
      auto result = sched::place_waiting(cluster_, scaler_.refused_until(), last_pass);
      if (result.incomplete) cluster_.mark_changed();
      if (shares_ && job_came) shares_->look_again();
      if (scaler_.shortfall().wanted.empty() && !result.shortfall.wanted.empty()) {
        const auto& [kind, count] = *result.shortfall.wanted.begin();
        spdlog::info("work finds no room: {} more {} wanted in {}{}", count, kind.type, kind.zone,
                     kind.spot ? ", spot" : "");
      }
      // Guards reports, users and the renewal of the leader lease against a fleet so large, or a
      // processor so slow, that passes would fill the time.
      next_pass_at_ = last_pass + std::max(kPassEvery, kRestAfterPass * (now() - last_pass));
      if (!result.incomplete) scaler_.set_shortfall(std::move(result.shortfall));
      // Here alone: passes keep a distance, so that neither wakes the other without end.
      if (moves_) moves_->wake();
      if (result.placed > 0 || result.preempted > 0) {
        spdlog::debug("placed {} tasks, stopping {}", result.placed, result.preempted);
      }
    }
    advise_on_moves();
    auto writing = write_jobs();
    co_await writing;
    commands_.send_commands();
  }
}

void LeaderTerm::advise_on_moves() {
  if (!advisor_ || cluster_.types().empty()) return;
  if (const auto advice = advisor_->look(now())) spdlog::info("{}", defrag::to_string(*advice));
}

Task<void> LeaderTerm::write_jobs() {
  for (;;) {
    if (is_lost()) co_return;
    auto writing = writer_.write_next();
    const auto written = co_await writing;
    if (written == RecordWriter::Written::leadership_lost)
      step_down(LeadershipLoss::leader_key_changed);
    if (written != RecordWriter::Written::stored) co_return;
    commands_.send_commands();
    jobs_.apply_changes();
    if (writer_.take_dependency_done()) pass_awaited_ = true;
    if (pass_awaited_ && now() >= next_pass_at_) {
      // Guards against new jobs, and next stages of pipelines, that wait for hundreds of other
      // records to be written.
      work_.set();
      co_return;
    }
  }
}

}  // namespace cranklock::control
