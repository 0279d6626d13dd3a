// The body of a job submission.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/result.hpp"
#include "wire/client_api.hpp"

namespace cranklock::control {

/// Why a submission is malformed.
struct SubmissionError {
  /// The job's id if at least that is valid: where such a job was accepted, the submission is a
  /// repeat and is answered with the job's state.
  std::optional<std::string> job_id;
  std::string reason;  ///< as the client is told
};

/// Parses a body; nothing refers to it afterwards.
///
/// Guards the memory of a small machine: a parsed tree may be twenty times as large as its text,
/// and must not stay while the key-value store is waited for.
base::Result<wire::JobSpec, SubmissionError> parse_submission(std::string_view body);

}  // namespace cranklock::control
