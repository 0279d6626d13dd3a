// Random orders of writing, delivery, loss, copies, outcomes and take-overs: quotas and transfers
// add up at every step, and once all is healed waiting work that fits has its quota.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "quota_simulation.hpp"

namespace cranklock::testing {
namespace {

enum class Action {
  write,
  speak,
  deliver,
  copy,
  lose,
  change_leader,
  apply_late,
  submit,
  place,
  finish,
  cut,
  mend,
  stop_state,
  serve_state,
  count
};

struct Step {
  Action action;
  unsigned region, detail;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << static_cast<int>(step.action) << ":" << step.region << ":" << step.detail;
}

rc::Gen<Step> any_step() {
  return rc::gen::construct<Step>(
      rc::gen::map(rc::gen::inRange(0, static_cast<int>(Action::count)),
                   [](int action) { return static_cast<Action>(action); }),
      rc::gen::inRange(0U, 3U), rc::gen::inRange(0U, 1000U));
}

class RandomRun {
 public:
  RandomRun() : simulation_({{"a", 0.4, {}}, {"b", 0.3, {}}, {"c", 0, {}}}, 2) {}

  void take(const Step& step) {
    const std::string region(1, static_cast<char>('a' + step.region));
    const std::string other(1, static_cast<char>('a' + (step.region + 1 + step.detail % 2) % 3));
    auto& work = simulation_.regions.at(region).work[simulation_.teams[step.detail % 2]];
    switch (step.action) {
      case Action::write:
        simulation_.write(region, static_cast<Fate>(step.detail % 5));
        break;
      case Action::speak:
        simulation_.speak(region);
        break;
      case Action::deliver:
      case Action::copy:
        simulation_.deliver(step.detail, step.action == Action::copy);
        break;
      case Action::lose:
        simulation_.drop(step.detail);
        break;
      case Action::change_leader:
        simulation_.change_leader(region);
        break;
      case Action::apply_late:
        simulation_.apply_late(region, step.detail);
        break;
      case Action::submit:
        if (work.waiting == 0) work.since_ms = ++clock_;
        work.waiting += 1 + step.detail % 4;
        break;
      case Action::place:
        simulation_.place(region);
        break;
      case Action::finish:
        work.used -= std::min<std::int64_t>(work.used, step.detail % 5);
        break;
      case Action::cut:
        simulation_.cut.emplace_back(region, other);  // one way only
        break;
      case Action::mend:
        if (!simulation_.cut.empty()) simulation_.cut.pop_back();
        break;
      case Action::stop_state:
      case Action::serve_state:
        simulation_.regions.at(region).state_down = step.action == Action::stop_state;
        break;
      case Action::count:
        break;
    }
    simulation_.check();
  }

  ShareSimulation& simulation() { return simulation_; }

 private:
  ShareSimulation simulation_;
  std::int64_t clock_ = 0;
};

RC_GTEST_PROP(SharesOfRegions, AddUpAtEveryStepAndServeWhatFitsOnceHealed, ()) {
  const auto steps = *rc::gen::resize(300, rc::gen::container<std::vector<Step>>(any_step()));
  RandomRun run;
  for (const auto& step : steps) {
    run.take(step);
    RC_ASSERT(!::testing::Test::HasFailure());
  }
  auto& simulation = run.simulation();
  simulation.settle();
  // What was late comes at the worst time: after everything has been decided.
  for (const auto& [name, region] : simulation.regions) {
    while (!region.late.empty()) simulation.apply_late(name, 0);
  }
  simulation.check();
  RC_ASSERT(!::testing::Test::HasFailure());
  for (const auto& team : simulation.teams) {
    std::int64_t wanted = 0, waiting = 0;
    for (const auto& [name, region] : simulation.regions) {
      const auto work = region.work.find(team);
      if (work == region.work.end()) continue;
      wanted += work->second.used + work->second.waiting;
      waiting += work->second.waiting;
    }
    if (static_cast<double>(wanted) <= simulation.limit_gpus) RC_ASSERT(waiting == 0);
    RC_TAG(std::string(wanted > 0 ? "with work" : "without work"));
  }
}

/// A team's name as it may stand in a frame.
rc::Gen<std::string> any_team() {
  return rc::gen::map(rc::gen::inRange(1, 65),
                      [](int size) { return std::string(static_cast<std::size_t>(size), 't'); });
}

RC_GTEST_PROP(RegionFrames, AnyTransferIsReadAsItWasWritten, ()) {
  const auto amount = rc::gen::inRange<std::int64_t>(0, INT64_MAX);
  const regions::QuotaTransfer transfer{
      *rc::gen::inRange<std::uint64_t>(1, UINT64_MAX), *any_team(),
      regions::QuotaAmounts({*amount, *amount, *amount, *amount})};
  std::string bytes = regions::pack(transfer);
  regions::RegionFrame out;
  RC_ASSERT(regions::unpack(bytes, out) == regions::UnpackResult::frame);
  RC_ASSERT(out == regions::RegionFrame(transfer));
  RC_ASSERT(bytes.empty());
}

RC_GTEST_PROP(RegionFrames, NoBytesAreReadBeyondTheirEnd, ()) {
  // One byte of a frame is replaced: it is a frame, a part of one, or refused, and never more.
  std::string bytes = regions::pack(regions::QuotaRequest{*any_team(), {}, 7});
  const auto size = bytes.size();
  bytes[*rc::gen::inRange<std::size_t>(0, size)] = static_cast<char>(*rc::gen::inRange(0, 256));
  regions::RegionFrame out;
  const auto result = regions::unpack(bytes, out);
  RC_ASSERT(bytes.size() == (result == regions::UnpackResult::frame ? 0 : size));
}

}  // namespace
}  // namespace cranklock::testing
