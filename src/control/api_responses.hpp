// The answers of a node that carry no state of a job. Their texts are part of the protocol.
#pragma once

#include <string>
#include <string_view>

#include "net/http.hpp"

namespace cranklock::control {

/// An answer with a status and a JSON body.
net::Response make_response(int status, std::string body);
/// An answer with a status and a reason.
net::Response make_error_response(int status, std::string_view reason);

/// 503 with Retry-After: not now, and the client is told at once when to come back.
net::Response retry_later(std::string_view reason);
/// 503 with Retry-After, because the key-value store did not say what the answer depends on.
net::Response store_unavailable();
/// 400: the request is malformed, and always will be.
net::Response bad_request(std::string_view reason);
/// 422: the request is well formed, and can't be fulfilled.
net::Response unprocessable(std::string_view reason);
/// 405; `allow` names the method that the path has.
net::Response method_not_allowed(std::string_view allow);
/// 404 for a path.
net::Response no_such_path();
/// 404 for a job.
net::Response no_such_job();

}  // namespace cranklock::control
