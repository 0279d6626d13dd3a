// Placement with resources that a move plan has reserved.
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

/// Two empty machines with eight GPUs each, a job whose task 1 is moved to n-2, and a job that
/// waits for n-1.
struct Scenario {
  Fleet fleet{{"n-1", "a"}, {"n-2", "a"}};
  Job& moved = add(kMoved, JobKind::job_array, 4, 3);
  Job& waiting = add(kWaiting, JobKind::gang, 1, 8);

  Scenario() {
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
  void reserve(std::vector<Reservation> reservations) {
    fleet.cluster.set_reservations(Reservations(std::move(reservations)));
  }
  std::string machine_of(const Job& job, std::uint32_t task) const {
    const auto* placement = job.live_placement(task);
    return placement == nullptr ? "" : placement->machine;
  }
};

TEST(Reservations, AMovedTaskGoesToItsTarget) {
  Scenario scenario;
  scenario.waiting.done.add(0);
  // Without the reservation both tasks of the moved job would be placed on n-1.
  scenario.reserve({scenario.for_moved()});
  scenario.fleet.run_pass();
  EXPECT_EQ(scenario.machine_of(scenario.moved, 1), "n-2");
}

TEST(Reservations, OtherTasksOfItsJobDoNotUseTheTarget) {
  for (const bool reserved : {false, true}) {
    Scenario scenario;
    scenario.waiting.done.add(0);
    for (const char* id : {"n-1", "n-2"}) {
      auto& full = scenario.add(std::string("j-00001") + id[2], JobKind::service, 1, 5, "blue");
      scenario.fleet.cluster.add_placement(full, 0, 1, id, 0);
    }
    scenario.fleet.cluster.add_placement(scenario.moved, 1, 1, "n-1", 0);
    if (reserved) scenario.reserve({scenario.for_moved()});
    scenario.fleet.run_pass();
    EXPECT_EQ(scenario.machine_of(scenario.moved, 0), reserved ? "" : "n-2");
  }
}

TEST(Reservations, ReservedResourcesAreNotAvailableToEquallyEntitledJobs) {
  Scenario scenario;
  scenario.moved.done.add_range({0, 2});
  scenario.reserve({scenario.for_waiting()});
  scenario.waiting.retry.backoff_until = 10;  // it cannot start yet
  auto& other = scenario.add(kOther, JobKind::service, 2, 5, "blue");
  scenario.fleet.run_pass(1);
  EXPECT_EQ(other.live_count(), 1U);
  EXPECT_EQ(scenario.machine_of(other, 0), "n-2");
  // The resources are available as soon as the plan has ended.
  scenario.reserve({});
  EXPECT_TRUE(scenario.fleet.cluster.take_changed());
  scenario.fleet.run_pass(2);
  EXPECT_EQ(other.live_count(), 2U);
}

TEST(Reservations, MoreEntitledJobsUseReservedResources) {
  Scenario scenario;
  scenario.moved.done.add_range({0, 2});
  scenario.reserve({scenario.for_waiting()});
  scenario.waiting.retry.backoff_until = 10;
  auto urgent = make_job(kOther, JobKind::service, 2, 5, "blue");
  urgent.spec.priority = wire::Priority::production;
  auto& placed = scenario.fleet.add(std::move(urgent));
  scenario.fleet.run_pass(1);
  EXPECT_EQ(placed.live_count(), 2U);
}

TEST(Reservations, ReservedResourcesGoToTheirHolder) {
  Scenario scenario;
  scenario.moved.done.add_range({0, 2});
  scenario.reserve({scenario.for_waiting()});
  scenario.fleet.run_pass(1);
  EXPECT_EQ(scenario.machine_of(scenario.waiting, 0), "n-1");
  // Once the task is placed, the reservation no longer counts in addition to it.
  EXPECT_FALSE(scenario.fleet.cluster.is_reservation_active(scenario.for_waiting()));
}

TEST(Reservations, TheTargetOfAMoveNotYetStartedIsUsableByTheJobOfThePlan) {
  for (const bool yields : {false, true}) {
    Scenario scenario;
    scenario.moved.done.add_range({0, 1});
    scenario.moved.retry.backoff_until = 10;
    auto& full = scenario.add(kOther, JobKind::service, 1, 8, "blue");
    scenario.fleet.cluster.add_placement(full, 0, 1, "n-1", 0);
    auto reservation = scenario.for_moved();
    if (yields) reservation.also_usable_by = kWaiting;
    scenario.reserve({reservation});
    scenario.fleet.run_pass(1);
    EXPECT_EQ(scenario.machine_of(scenario.waiting, 0), yields ? "n-2" : "");
  }
}

TEST(Reservations, AMovedTaskIsPlacedOnlyIfAllRulesAllowIt) {
  const auto is_placed = [](const std::function<void(Scenario&)>& change) {
    Scenario scenario;
    scenario.waiting.done.add(0);
    scenario.moved.done.add(0);
    scenario.reserve({scenario.for_moved()});
    change(scenario);
    scenario.fleet.run_pass(1);
    return scenario.machine_of(scenario.moved, 1) == "n-2";
  };
  EXPECT_TRUE(is_placed([](Scenario&) {}));
  EXPECT_FALSE(is_placed([](Scenario& scenario) { scenario.moved.spec.zone = "b"; }));
  EXPECT_FALSE(is_placed([](Scenario& scenario) { scenario.moved.spec.types = {"other"}; }));
  EXPECT_FALSE(
      is_placed([](Scenario& scenario) { scenario.fleet.settings.teams[0].gpus_max = 2; }));
  EXPECT_FALSE(is_placed(
      [](Scenario& scenario) { scenario.fleet.cluster.machine("n-2")->cloud.reclaim_at = 5; }));
  EXPECT_FALSE(is_placed([](Scenario& scenario) { scenario.moved.retry.backoff_until = 5; }));
  EXPECT_FALSE(
      is_placed([](Scenario& scenario) { scenario.fleet.cluster.cancel(scenario.moved, 1, 1); }));
}

TEST(Reservations, AMovedTaskKeepsTheZoneOfItsJob) {
  for (const bool one_zone : {false, true}) {
    Scenario scenario;
    scenario.waiting.done.add(0);
    scenario.moved.spec.one_zone = one_zone;
    scenario.fleet.cluster.reconcile_heartbeat(
        testing::heartbeat("n-3", 1, 1, {}, testing::kFencingToken, "b"), true, 0);
    scenario.fleet.cluster.add_placement(scenario.moved, 0, 1, "n-3", 0);
    scenario.reserve({scenario.for_moved()});
    scenario.fleet.run_pass(1);
    EXPECT_EQ(scenario.machine_of(scenario.moved, 1), one_zone ? "n-3" : "n-2");
  }
}

// A search that failed because of a reservation does not imply that searches for other jobs fail.
TEST(Reservations, AJobBlockedByAReservationDoesNotBlockEntitledJobsOfItsSize) {
  Scenario scenario;
  scenario.moved.done.add_range({0, 2});
  scenario.fleet.settings.teams = {{"red", 0, 0, 5, 64}, {"blue", 0, 0, 5, 64}};
  scenario.waiting.created_ms = 3000;
  scenario.reserve({scenario.for_waiting()});
  auto& full = scenario.add("j-000011", JobKind::service, 1, 8, "blue");
  full.created_ms = 4000;
  scenario.fleet.cluster.add_placement(full, 0, 1, "n-2", 0);
  // Within its guarantee like the next job, but of the team that holds the reservation.
  auto own = make_job("j-000012", JobKind::service, 1, 5, "red");
  own.created_ms = 1000;
  Job& of_own_team = scenario.fleet.add(std::move(own));
  auto other = make_job("j-000013", JobKind::service, 1, 5, "blue");
  other.created_ms = 2000;
  Job& of_other_team = scenario.fleet.add(std::move(other));
  for (auto& [id, job] : scenario.fleet.cluster.jobs()) job.ready_ms = job.created_ms;
  scenario.fleet.run_pass(1);
  EXPECT_EQ(scenario.machine_of(of_own_team, 0), "");
  EXPECT_EQ(scenario.machine_of(of_other_team, 0), "n-1");
}

TEST(Reservations, NoMachineIsRequestedForAJobWithAReservation) {
  Scenario scenario;
  scenario.moved.done.add_range({0, 2});
  for (const char* id : {"n-1", "n-2"}) {
    auto& full = scenario.add(std::string("j-00001") + id[2], JobKind::service, 1, 4, "blue");
    scenario.fleet.cluster.add_placement(full, 0, 1, id, 0);
  }
  EXPECT_FALSE(scenario.fleet.run_pass(1).shortfall.wanted.empty());
  scenario.reserve({scenario.for_waiting()});
  EXPECT_TRUE(scenario.fleet.run_pass(2).shortfall.wanted.empty());
}

}  // namespace
}  // namespace cranklock::sched
