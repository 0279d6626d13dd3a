// Routing of requests to /v1/jobs and below.
#pragma once

#include <string>
#include <string_view>

#include "base/result.hpp"

namespace cranklock::control {

enum class JobAction { submit, status, cancel };

/// The action that a request selects, and the job it applies to.
struct JobRoute {
  JobAction action = JobAction::submit;
  std::string job_id;  ///< as given in the path, not validated; empty for a submission
};

/// Why a request has no route.
struct RouteError {
  enum class Kind { no_such_path, method_not_allowed };
  Kind kind = Kind::no_such_path;
  std::string_view allowed_method;  ///< for method_not_allowed

  bool operator==(const RouteError&) const = default;
};

/// Finds the route of a request; `path` must be /v1/jobs or below.
base::Result<JobRoute, RouteError> find_job_route(std::string_view method, std::string_view path);

}  // namespace cranklock::control
