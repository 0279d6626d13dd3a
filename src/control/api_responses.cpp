#include "control/api_responses.hpp"

#include <utility>

#include "wire/client_api.hpp"

namespace cranklock::control {

using net::Response;

Response make_response(int status, std::string body) {
  Response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

Response make_error_response(int status, std::string_view reason) {
  return make_response(status, wire::error_response(reason));
}

Response retry_later(std::string_view reason) {
  constexpr int kRetryAfterS = 1;
  Response response = make_error_response(503, reason);
  response.retry_after_s = kRetryAfterS;
  return response;
}

Response store_unavailable() {
  return retry_later("the state service does not answer");
}

Response bad_request(std::string_view reason) {
  return make_error_response(400, reason);
}

Response unprocessable(std::string_view reason) {
  return make_error_response(422, reason);
}

Response method_not_allowed(std::string_view allow) {
  Response response = make_error_response(405, "method not allowed");
  response.allow = allow;
  return response;
}

Response no_such_path() {
  return make_error_response(404, "no such path");
}

Response no_such_job() {
  return make_error_response(404, "no such job");
}

}  // namespace cranklock::control
