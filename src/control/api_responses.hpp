// HTTP responses that carry no job state. Their texts are part of the protocol.
#pragma once

#include <string>
#include <string_view>

#include "net/http.hpp"

namespace cranklock::control {

/// A response with a JSON body.
net::Response make_response(int status, std::string body);
/// An error response with a JSON body that states the reason.
net::Response make_error_response(int status, std::string_view reason);

/// 503 with Retry-After: a temporary failure, reported immediately so that the client can retry.
net::Response retry_later(std::string_view reason);
/// 503 with Retry-After: the key-value store did not return data needed for the response.
net::Response store_unavailable();
/// 400: the request is malformed; a retry fails as well.
net::Response bad_request(std::string_view reason);
/// 422: the request is well formed but can never be fulfilled.
net::Response unprocessable(std::string_view reason);
/// 405; `allow` is the method that the path supports.
net::Response method_not_allowed(std::string_view allow);
/// 404 for an unknown path.
net::Response no_such_path();
/// 404 for an unknown job.
net::Response no_such_job();

}  // namespace cranklock::control
