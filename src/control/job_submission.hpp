// Parsing of job submission bodies.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/result.hpp"
#include "wire/client_api.hpp"

namespace cranklock::control {

/// Why a submission is malformed.
struct SubmissionError {
  /// The job's id, if that field is valid. If a job with this id was accepted before, the
  /// submission is a repeat and gets the job's state.
  std::optional<std::string> job_id;
  std::string reason;  ///< as sent to the client
};

/// Parses a body. The result does not refer to it.
///
/// The JSON tree is freed on return: it may be twenty times as large as its text, and would exhaust
/// the memory of a small machine if kept during requests to the key-value store.
base::Result<wire::JobSpec, SubmissionError> parse_submission(std::string_view body);

}  // namespace cranklock::control
