// Parsing of submissions, and the check whether a job can ever run.
#include "control/job_submission.hpp"

#include <gtest/gtest.h>

#include "complete_job.hpp"
#include "control/feasibility.hpp"
#include "fixtures.hpp"

namespace cranklock::control {
namespace {

using testing::kCompleteJob;
using testing::machine_type;
using testing::make_job;
using testing::small_settings;

/// The body of a complete submission with `from` replaced by `to`.
std::string body_with(const std::string& from, const std::string& to) {
  std::string body = kCompleteJob;
  body.replace(body.find(from), from.size(), to);
  return body;
}

TEST(JobSubmission, ACompleteSubmissionIsParsed) {
  const auto spec = parse_submission(kCompleteJob);
  ASSERT_TRUE(spec);
  testing::expect_complete_job(*spec);
}

TEST(JobSubmission, ABodyThatIsNotAnObjectIsRefusedWithoutAnId) {
  for (const char* body : {"", "[]", "{"}) {
    const auto error = parse_submission(body).error();
    EXPECT_EQ(error.job_id, std::nullopt);
    EXPECT_EQ(error.reason, "expected a JSON object");
  }
}

TEST(JobSubmission, AMalformedSubmissionKeepsItsIdSoThatARepeatIsRecognised) {
  const auto error = parse_submission(body_with(R"("Gear")", R"("Gaer")")).error();
  EXPECT_EQ(error.job_id, "j-000412");
  EXPECT_NE(error.reason.find("Gear"), std::string::npos) << error.reason;
}

TEST(JobSubmission, AnIdOfInvalidFormatIsNotReturned) {
  const auto error = parse_submission(body_with("j-000412", "x-000412")).error();
  EXPECT_EQ(error.job_id, std::nullopt);
  EXPECT_NE(error.reason.find("Id"), std::string::npos) << error.reason;
}

class Feasibility : public ::testing::Test {
 protected:
  std::optional<Infeasibility> infeasibility() const {
    return find_infeasibility(spec_, settings_, types_);
  }

  base::Settings settings_ = small_settings();
  std::vector<wire::MachineType> types_{machine_type("g8", 8)};
  wire::JobSpec spec_ = make_job("j-000001", wire::JobKind::gang, 2, 8, "red").spec;
};

TEST_F(Feasibility, AJobThatFitsAMachineTypeAndItsTeamMayRun) {
  EXPECT_EQ(infeasibility(), std::nullopt);
}

TEST_F(Feasibility, AJobCanNotDependOnItself) {
  spec_.dependencies = {"j-000002", spec_.id};
  EXPECT_EQ(infeasibility(), Infeasibility::depends_on_itself);
}

TEST_F(Feasibility, AnUnknownTeamIsRefused) {
  spec_.team = "green";
  EXPECT_EQ(infeasibility(), Infeasibility::unknown_team);
}

TEST_F(Feasibility, ATaskMustFitAnAllowedTypeInAnAllowedZone) {
  spec_.types = {"g8"};
  spec_.zone = "b";
  EXPECT_EQ(infeasibility(), std::nullopt);
  spec_.zone = "c";
  EXPECT_EQ(infeasibility(), Infeasibility::no_machine_type);
  spec_.zone = "b";
  spec_.types = {"g4"};
  EXPECT_EQ(infeasibility(), Infeasibility::no_machine_type);
  spec_.types.clear();
  spec_.resources.gpus = 9;
  EXPECT_EQ(infeasibility(), Infeasibility::no_machine_type);
}

TEST_F(Feasibility, ConcurrentTasksMustFitTheLimitOfTheTeam) {
  spec_.tasks = 3;  // 24 GPUs; the team's limit is 16
  EXPECT_EQ(infeasibility(), Infeasibility::exceeds_team_limit);
  spec_.kind = wire::JobKind::service;
  EXPECT_EQ(infeasibility(), Infeasibility::exceeds_team_limit);
  spec_.kind = wire::JobKind::job_array;  // its tasks may run one at a time
  EXPECT_EQ(infeasibility(), std::nullopt);
}

TEST(FeasibilityTexts, MatchTheProtocol) {
  EXPECT_EQ(to_text(Infeasibility::depends_on_itself), "needs itself");
  EXPECT_EQ(to_text(Infeasibility::unknown_team), "unknown team");
  EXPECT_EQ(to_text(Infeasibility::no_machine_type), "no allowed machine type has room for a task");
  EXPECT_EQ(to_text(Infeasibility::exceeds_team_limit), "more than the team's limit");
  EXPECT_EQ(to_text(Infeasibility::dependency_not_accepted), "needs a job that nobody accepted");
}

}  // namespace
}  // namespace cranklock::control
