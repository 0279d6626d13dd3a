// Routes of the HTTP API for clients.
#include "control/job_routes.hpp"

#include <gtest/gtest.h>

namespace cranklock::control {
namespace {

constexpr RouteError kNoSuchPath{RouteError::Kind::no_such_path, {}};

RouteError only_allows(std::string_view method) {
  return {RouteError::Kind::method_not_allowed, method};
}

TEST(JobRoutes, ASubmissionIsAPostToTheCollection) {
  const auto route = find_job_route("POST", "/v1/jobs");
  ASSERT_TRUE(route);
  EXPECT_EQ(route->action, JobAction::submit);
  EXPECT_EQ(route->job_id, "");
  EXPECT_EQ(find_job_route("GET", "/v1/jobs").error(), only_allows("POST"));
}

TEST(JobRoutes, AStatusRequestIsAGetOfAJob) {
  const auto route = find_job_route("GET", "/v1/jobs/j-000412");
  ASSERT_TRUE(route);
  EXPECT_EQ(route->action, JobAction::status);
  EXPECT_EQ(route->job_id, "j-000412");
  EXPECT_EQ(find_job_route("POST", "/v1/jobs/j-000412").error(), only_allows("GET"));
}

TEST(JobRoutes, ACancellationIsAPostBelowAJob) {
  const auto route = find_job_route("POST", "/v1/jobs/j-000412/withdraw");
  ASSERT_TRUE(route);
  EXPECT_EQ(route->action, JobAction::cancel);
  EXPECT_EQ(route->job_id, "j-000412");
  EXPECT_EQ(find_job_route("GET", "/v1/jobs/j-000412/withdraw").error(), only_allows("POST"));
}

TEST(JobRoutes, OtherPathsDoNotExistForAnyMethod) {
  for (const char* method : {"GET", "POST", "DELETE"}) {
    EXPECT_EQ(find_job_route(method, "/v1/jobs/j-000412/tasks").error(), kNoSuchPath);
    EXPECT_EQ(find_job_route(method, "/v1/jobs/j-000412/0/withdraw").error(), kNoSuchPath);
  }
}

TEST(JobRoutes, AnIdIsNotValidated) {
  EXPECT_EQ(find_job_route("GET", "/v1/jobs/").value().job_id, "");
  EXPECT_EQ(find_job_route("GET", "/v1/jobs/withdraw").value().job_id, "withdraw");
}

}  // namespace
}  // namespace cranklock::control
