// What placement makes of room that a plan of moves holds.
#include "sched/reservations.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "fixtures.hpp"

namespace cranklock::sched {
namespace {

using testing::Fleet;
using testing::make_job;
using wire::JobKind;

constexpr const char* kMoved = "j-000001";
constexpr const char* kWaiting = "j-000002";
constexpr const char* kOther = "j-000003";

/// Two empty machines of eight GPUs. A job whose task 1 is moved to n-2, and one that waits for
/// n-1.
struct Held {
  Fleet fleet{{"n-1", "a"}, {"n-2", "a"}};
  Job& moved = add(kMoved, JobKind::job_array, 4, 3);
  Job& waiting = add(kWaiting, JobKind::gang, 1, 8);

  Held() {
    fleet.settings.teams = {{"red", 0, 0, 64, 64}, {"blue", 0, 0, 64, 64}};
    moved.done.add_range({2, 4});  // only tasks 0 and 1 are left
  }
  Job& add(const std::string& id, JobKind kind, std::uint32_t tasks, double gpus,
           const std::string& team = "red") {
    return fleet.add(make_job(id, kind, tasks, gpus, team));
  }
  Reservation for_moved() const { return {"n-2", kMoved, 1, moved.spec.resources, ""}; }
  Reservation for_waiting() const {
    return {"n-1", kWaiting, std::nullopt, waiting.spec.resources, ""};
  }
  void hold(std::vector<Reservation> held) {
    fleet.cluster.set_reservations(Reservations(std::move(held)));
  }
  std::string machine_of(const Job& job, std::uint32_t task) const {
    const auto* placement = job.live_placement(task);
    return placement == nullptr ? "" : placement->machine;
  }
};

TEST(Reservations, AMovedTaskGoesToItsTarget) {
  Held held;
  held.waiting.done.add(0);
  // Without the reservation both would be on n-1.
  held.hold({held.for_moved()});
  held.fleet.run_pass();
  EXPECT_EQ(held.machine_of(held.moved, 1), "n-2");
}

TEST(Reservations, OtherTasksOfItsJobLeaveTheTargetAlone) {
  for (const bool reserved : {false, true}) {
    Held held;
    held.waiting.done.add(0);
    for (const char* id : {"n-1", "n-2"}) {
      auto& full = held.add(std::string("j-00001") + id[2], JobKind::service, 1, 5, "blue");
      held.fleet.cluster.add_placement(full, 0, 1, id, 0);
    }
    held.fleet.cluster.add_placement(held.moved, 1, 1, "n-1", 0);
    if (reserved) held.hold({held.for_moved()});
    held.fleet.run_pass();
    EXPECT_EQ(held.machine_of(held.moved, 0), reserved ? "" : "n-2");
  }
}

TEST(Reservations, RoomIsHeldFromWorkOfEqualEntitlement) {
  Held held;
  held.moved.done.add_range({0, 2});
  held.hold({held.for_waiting()});
  held.waiting.retry.backoff_until = 10;  // it can't start yet
  auto& other = held.add(kOther, JobKind::service, 2, 5, "blue");
  held.fleet.run_pass(1);
  EXPECT_EQ(other.live(), 1U);
  EXPECT_EQ(held.machine_of(other, 0), "n-2");
  // It is free at once when the plan is over.
  held.hold({});
  EXPECT_TRUE(held.fleet.cluster.take_changed());
  held.fleet.run_pass(2);
  EXPECT_EQ(other.live(), 2U);
}

TEST(Reservations, EntitledWorkTakesTheRoom) {
  Held held;
  held.moved.done.add_range({0, 2});
  held.hold({held.for_waiting()});
  held.waiting.retry.backoff_until = 10;
  auto urgent = make_job(kOther, JobKind::service, 2, 5, "blue");
  urgent.spec.priority = wire::Priority::production;
  auto& placed = held.fleet.add(std::move(urgent));
  held.fleet.run_pass(1);
  EXPECT_EQ(placed.live(), 2U);
}

TEST(Reservations, HeldRoomIsForWhomItIsHeld) {
  Held held;
  held.moved.done.add_range({0, 2});
  held.hold({held.for_waiting()});
  held.fleet.run_pass(1);
  EXPECT_EQ(held.machine_of(held.waiting, 0), "n-1");
  // It is not counted beside what has come.
  EXPECT_FALSE(held.fleet.cluster.in_force(held.for_waiting()));
}

TEST(Reservations, RoomForAMoveThatHasNotBegunYieldsToTheJobItIsFor) {
  for (const bool yields : {false, true}) {
    Held held;
    held.moved.done.add_range({0, 1});
    held.moved.retry.backoff_until = 10;
    auto& full = held.add(kOther, JobKind::service, 1, 8, "blue");
    held.fleet.cluster.add_placement(full, 0, 1, "n-1", 0);
    auto reservation = held.for_moved();
    if (yields) reservation.yields_to = kWaiting;
    held.hold({reservation});
    held.fleet.run_pass(1);
    EXPECT_EQ(held.machine_of(held.waiting, 0), yields ? "n-2" : "");
  }
}

TEST(Reservations, AMovedTaskIsPlacedByTheRulesOrNotAtAll) {
  const auto is_placed = [](const std::function<void(Held&)>& change) {
    Held held;
    held.waiting.done.add(0);
    held.moved.done.add(0);
    held.hold({held.for_moved()});
    change(held);
    held.fleet.run_pass(1);
    return held.machine_of(held.moved, 1) == "n-2";
  };
  EXPECT_TRUE(is_placed([](Held&) {}));
  EXPECT_FALSE(is_placed([](Held& held) { held.moved.spec.zone = "b"; }));
  EXPECT_FALSE(is_placed([](Held& held) { held.moved.spec.types = {"other"}; }));
  EXPECT_FALSE(is_placed([](Held& held) { held.fleet.settings.teams[0].gpus_max = 2; }));
  EXPECT_FALSE(
      is_placed([](Held& held) { held.fleet.cluster.machine("n-2")->cloud.reclaim_at = 5; }));
  EXPECT_FALSE(is_placed([](Held& held) { held.moved.retry.backoff_until = 5; }));
  EXPECT_FALSE(is_placed([](Held& held) { held.fleet.cluster.cancel(held.moved, 1, 1); }));
}

TEST(Reservations, AMovedTaskKeepsTheZoneOfItsJob) {
  for (const bool one_zone : {false, true}) {
    Held held;
    held.waiting.done.add(0);
    held.moved.spec.one_zone = one_zone;
    held.fleet.cluster.reconcile_heartbeat(
        testing::heartbeat("n-3", 1, 1, {}, testing::kFencingToken, "b"), true, 0);
    held.fleet.cluster.add_placement(held.moved, 0, 1, "n-3", 0);
    held.hold({held.for_moved()});
    held.fleet.run_pass(1);
    EXPECT_EQ(held.machine_of(held.moved, 1), one_zone ? "n-3" : "n-2");
  }
}

// One that is held back has not shown that nobody finds room.
TEST(Reservations, WorkThatIsHeldBackHoldsUpNoEntitledWorkOfItsSize) {
  Held held;
  held.moved.done.add_range({0, 2});
  held.fleet.settings.teams = {{"red", 0, 0, 5, 64}, {"blue", 0, 0, 5, 64}};
  held.waiting.created_ms = 3000;
  held.hold({held.for_waiting()});
  auto& full = held.add("j-000011", JobKind::service, 1, 8, "blue");
  full.created_ms = 4000;
  held.fleet.cluster.add_placement(full, 0, 1, "n-2", 0);
  // Within its guarantee like the next, but of the team for which the room is held.
  auto own = make_job("j-000012", JobKind::service, 1, 5, "red");
  own.created_ms = 1000;
  Job& of_own_team = held.fleet.add(std::move(own));
  auto other = make_job("j-000013", JobKind::service, 1, 5, "blue");
  other.created_ms = 2000;
  Job& of_other_team = held.fleet.add(std::move(other));
  for (auto& [id, job] : held.fleet.cluster.jobs()) job.ready_ms = job.created_ms;
  held.fleet.run_pass(1);
  EXPECT_EQ(held.machine_of(of_own_team, 0), "");
  EXPECT_EQ(held.machine_of(of_other_team, 0), "n-1");
}

TEST(Reservations, NoMachineIsAskedForWhatAPlanMakesRoomFor) {
  Held held;
  held.moved.done.add_range({0, 2});
  for (const char* id : {"n-1", "n-2"}) {
    auto& full = held.add(std::string("j-00001") + id[2], JobKind::service, 1, 4, "blue");
    held.fleet.cluster.add_placement(full, 0, 1, id, 0);
  }
  EXPECT_FALSE(held.fleet.run_pass(1).shortfall.wanted.empty());
  held.hold({held.for_waiting()});
  EXPECT_TRUE(held.fleet.run_pass(2).shortfall.wanted.empty());
}

}  // namespace
}  // namespace cranklock::sched
