#include "base/event_log.hpp"

#include <gtest/gtest.h>

namespace cranklock::base {
namespace {

TEST(EventLog, LineConsistsOfEventAndFieldsInOrder) {
  EXPECT_EQ(log_line("machine terminating", field("machine", "n-1"), field("count", 3),
                     field("age_s", 1.256)),
            "machine terminating machine=n-1 count=3 age_s=1.26");
}

TEST(EventLog, TextWithSpacesOrEmptyTextIsQuoted) {
  const std::string reason = "it is \"gone\"";
  EXPECT_EQ(log_line("event", field("reason", reason), field("zone", "")),
            "event reason=\"it is 'gone'\" zone=\"\"");
}

TEST(EventLog, FieldIsReadFromALineOfItsEvent) {
  const std::string line =
      "[2026-12-02 10:00:00.000] [info] " +
      log_line("plan begun", field("plan", "7-1"), field("reason", "two words"), field("moves", 4));
  EXPECT_EQ(read_log_field(line, "plan begun", "plan"), "7-1");
  EXPECT_EQ(read_log_field(line, "plan begun", "reason"), "two words");
  EXPECT_EQ(read_log_field(line, "plan begun", "moves"), "4");
}

TEST(EventLog, NothingIsReadOfAnotherEventOrField) {
  const std::string line = log_line("plan begun", field("plan", "7-1"));
  EXPECT_FALSE(read_log_field(line, "plan done", "plan"));
  EXPECT_FALSE(read_log_field(line, "plan", "plan_id"));
  EXPECT_FALSE(read_log_field("plan begunning plan=1", "plan begun", "plan"));
}

}  // namespace
}  // namespace cranklock::base
