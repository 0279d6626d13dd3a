// Random sequences of writes with different outcomes, message delivery, loss and duplication, and
// failovers: quotas and transfers add up to the limit at every step, and after all faults have
// ended waiting work that fits gets its quota.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "quota_simulation.hpp"

namespace cranklock::testing {
namespace {

enum class Action {
  write,
  send_messages,
  deliver,
  deliver_copy,
  drop,
  change_leader,
  apply_delayed,
  submit,
  place,
  finish,
  block_link,
  unblock_link,
  stop_store,
  start_store,
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
        simulation_.write(region, static_cast<WriteOutcome>(step.detail % 5));
        break;
      case Action::send_messages:
        simulation_.send_messages(region);
        break;
      case Action::deliver:
      case Action::deliver_copy:
        simulation_.deliver(step.detail, step.action == Action::deliver_copy);
        break;
      case Action::drop:
        simulation_.drop(step.detail);
        break;
      case Action::change_leader:
        simulation_.change_leader(region);
        break;
      case Action::apply_delayed:
        simulation_.apply_delayed(region, step.detail);
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
      case Action::block_link:
        simulation_.blocked_links.emplace_back(region, other);  // in one direction
        break;
      case Action::unblock_link:
        if (!simulation_.blocked_links.empty()) simulation_.blocked_links.pop_back();
        break;
      case Action::stop_store:
      case Action::start_store:
        simulation_.regions.at(region).store_down = step.action == Action::stop_store;
        break;
      case Action::count:
        break;
    }
    simulation_.check();
  }

  QuotaSimulation& simulation() { return simulation_; }

 private:
  QuotaSimulation simulation_;
  std::int64_t clock_ = 0;
};

RC_GTEST_PROP(RegionQuotas, AddUpAtEveryStepAndServeWhatFitsAfterFaults, ()) {
  const auto steps = *rc::gen::resize(300, rc::gen::container<std::vector<Step>>(any_step()));
  RandomRun run;
  for (const auto& step : steps) {
    run.take(step);
    RC_ASSERT(!::testing::Test::HasFailure());
  }
  auto& simulation = run.simulation();
  simulation.settle();
  // Delayed writes are applied last, after all transactions have been decided.
  for (const auto& [name, region] : simulation.regions) {
    while (!region.delayed_writes.empty()) simulation.apply_delayed(name, 0);
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

/// A team name of any length that a frame allows.
rc::Gen<std::string> any_team() {
  return rc::gen::map(rc::gen::inRange(1, 65),
                      [](int size) { return std::string(static_cast<std::size_t>(size), 't'); });
}

RC_GTEST_PROP(RegionFrames, AnyTransferSurvivesPackAndUnpack, ()) {
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

RC_GTEST_PROP(RegionFrames, UnpackNeverReadsBeyondTheBuffer, ()) {
  // With one byte replaced, the result is a frame, an incomplete frame or an error; only a frame
  // removes bytes from the buffer.
  std::string bytes = regions::pack(regions::QuotaRequest{*any_team(), {}, 7});
  const auto size = bytes.size();
  bytes[*rc::gen::inRange<std::size_t>(0, size)] = static_cast<char>(*rc::gen::inRange(0, 256));
  regions::RegionFrame out;
  const auto result = regions::unpack(bytes, out);
  RC_ASSERT(bytes.size() == (result == regions::UnpackResult::frame ? 0 : size));
}

}  // namespace
}  // namespace cranklock::testing
