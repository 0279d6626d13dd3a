#include "control/job_routes.hpp"

#include <utility>

namespace cranklock::control {

namespace {

constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kCancelSuffix = "/withdraw";
constexpr std::string_view kGet = "GET";
constexpr std::string_view kPost = "POST";

/// The route for a path, regardless of the method.
JobRoute route_of_path(std::string_view path) {
  std::string_view rest = path.substr(kJobsPath.size());
  if (rest.empty()) return {JobAction::submit, ""};
  rest.remove_prefix(1);  // the slash
  if (!rest.ends_with(kCancelSuffix)) return {JobAction::status, std::string(rest)};
  rest.remove_suffix(kCancelSuffix.size());
  return {JobAction::cancel, std::string(rest)};
}

}  // namespace

base::Result<JobRoute, RouteError> find_job_route(std::string_view method, std::string_view path) {
  JobRoute route = route_of_path(path);
  if (route.job_id.find('/') != std::string::npos) {
    return base::Failure(RouteError{RouteError::Kind::no_such_path, {}});
  }
  const std::string_view allowed = route.action == JobAction::status ? kGet : kPost;
  if (method != allowed) {
    return base::Failure(RouteError{RouteError::Kind::method_not_allowed, allowed});
  }
  return route;
}

}  // namespace cranklock::control
