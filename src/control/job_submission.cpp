#include "control/job_submission.hpp"

#include <utility>

#include "wire/json.hpp"

namespace cranklock::control {

namespace {

constexpr const char* kIdField = "Id";

std::optional<std::string> read_valid_id(const wire::Json& submission) {
  auto id = wire::read_text(submission, kIdField);
  if (id && !wire::valid_job_id(*id)) id.reset();
  return id;
}

}  // namespace

base::Result<wire::JobSpec, SubmissionError> parse_submission(std::string_view body) {
  const wire::JsonDocument document(body);
  if (!document.is_object()) {
    return base::Failure(SubmissionError{std::nullopt, "expected a JSON object"});
  }
  auto parsed = wire::parse_job(document.root());
  if (!parsed) {
    return base::Failure(
        SubmissionError{read_valid_id(document.root()), wire::to_string(parsed.error())});
  }
  return std::move(*parsed);
}

}  // namespace cranklock::control
