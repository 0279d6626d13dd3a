// Order of record writes.
#include "control/write_order.hpp"

#include <gtest/gtest.h>

#include "fixtures.hpp"

namespace cranklock::control {
namespace {

using testing::Fleet;
using testing::make_job;

constexpr double kNow = 100;
constexpr double kCancelS = 40;

class WriteOrder : public ::testing::Test {
 protected:
  /// Adds a job whose record is stored and unchanged.
  sched::Job& add_stored(const std::string& id) {
    sched::Job& job = fleet_.add(make_job(id, wire::JobKind::job_array, 1, 1));
    job.record.dirty = false;
    return job;
  }
  sched::Job& add_changed(const std::string& id, double since) {
    sched::Job& job = add_stored(id);
    job.record.dirty = true;
    job.record.dirty_since = since;
    return job;
  }
  std::vector<std::string> order() {
    const auto is_reloading = [&](const std::string& id) { return id == reloading_; };
    std::vector<std::string> ids;
    for (const auto* job : order_writes(fleet_.cluster, {kNow, kCancelS, is_reloading})) {
      ids.push_back(job->spec.id);
    }
    return ids;
  }

  Fleet fleet_;
  std::string reloading_;
};

TEST_F(WriteOrder, AnUnchangedRecordIsNotWritten) {
  add_stored("j-000001");
  EXPECT_TRUE(order().empty());
}

TEST_F(WriteOrder, ARecordToBeReloadedIsNotWritten) {
  add_changed("j-000001", kNow);
  reloading_ = "j-000001";
  EXPECT_TRUE(order().empty());
}

TEST_F(WriteOrder, AChangeWithoutATimeIsDatedWhenFirstOrdered) {
  sched::Job& job = add_changed("j-000001", 0);
  order();
  EXPECT_EQ(job.record.dirty_since, kNow);
}

TEST_F(WriteOrder, StartsAreWrittenBeforeOtherRecords) {
  add_changed("j-000001", kNow);
  sched::Job& starting = add_changed("j-000002", kNow);
  fleet_.cluster.add_placement(starting, 0, 1, "n-1", kNow);
  EXPECT_EQ(order(), (std::vector<std::string>{"j-000002", "j-000001"}));
}

// A steady stream of starts must not delay outcomes indefinitely.
TEST_F(WriteOrder, OverdueRecordsAndStartsAlternate) {
  constexpr double kOverdue = kNow - 2;
  add_changed("j-000001", kOverdue);
  add_changed("j-000002", kOverdue - 1);
  for (const char* id : {"j-000003", "j-000004", "j-000005"}) {
    fleet_.cluster.add_placement(add_changed(id, kNow), 0, 1, "n-1", kNow);
  }
  EXPECT_EQ(order(),
            (std::vector<std::string>{"j-000002", "j-000003", "j-000001", "j-000004", "j-000005"}));
}

TEST_F(WriteOrder, ACancelledJobWithoutPlacementsMayWaitForAQuarterOfCancelS) {
  add_changed("j-000001", kNow);
  fleet_.cluster.cancel(add_changed("j-000002", kNow - kCancelS / 4 - 1), 1, kNow);
  fleet_.cluster.cancel(add_changed("j-000003", kNow - kCancelS / 4 + 1), 1, kNow);
  EXPECT_EQ(order(), (std::vector<std::string>{"j-000002", "j-000001", "j-000003"}));
}

TEST_F(WriteOrder, ACancelledJobWithoutPlacementsIsWrittenEvenIfNotDirty) {
  sched::Job& job = add_stored("j-000001");
  fleet_.cluster.cancel(job, 1, kNow);
  job.record.dirty = false;
  EXPECT_EQ(order(), std::vector<std::string>{"j-000001"});
}

TEST_F(WriteOrder, TheOutcomeOfADependencyCountsAsAStart) {
  add_changed("j-000001", kNow);
  add_changed("j-000002", kNow).done.add(0);
  auto dependent = make_job("j-000003", wire::JobKind::job_array, 1, 1);
  dependent.spec.dependencies = {"j-000002"};
  fleet_.add(std::move(dependent)).record.dirty = false;
  EXPECT_EQ(order(), (std::vector<std::string>{"j-000002", "j-000001"}));
}

}  // namespace
}  // namespace cranklock::control
