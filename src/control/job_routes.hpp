// The paths under /v1/jobs.
#pragma once

#include <string>
#include <string_view>

#include "base/result.hpp"

namespace cranklock::control {

enum class JobAction { submit, status, cancel };

/// What a request asks for.
struct JobRoute {
  JobAction action = JobAction::submit;
  std::string job_id;  ///< as given in the path, not validated; empty for a submission
};

/// Why no route takes a request.
struct RouteError {
  enum class Kind { no_such_path, method_not_allowed };
  Kind kind = Kind::no_such_path;
  std::string_view allowed_method;  ///< of a path that exists

  bool operator==(const RouteError&) const = default;
};

/// The route of a request whose path is /v1/jobs or below it.
base::Result<JobRoute, RouteError> find_job_route(std::string_view method, std::string_view path);

}  // namespace cranklock::control
