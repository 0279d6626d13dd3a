// Errors found while parsing a stored record.
#pragma once

#include <string>
#include <string_view>

#include "base/result.hpp"

namespace cranklock::control {

/// Why a stored record could not be parsed.
struct RecordError {
  enum class Kind {
    not_an_object,    ///< the text is not JSON, or not a JSON object
    malformed_field,  ///< a field is missing, has the wrong type or is out of range
  };

  Kind kind = Kind::not_an_object;
  std::string_view field;  ///< the stored name of the malformed field; a string literal

  bool operator==(const RecordError&) const = default;
};

/// A parsed record, or why its text could not be parsed.
template <typename Record>
using RecordResult = base::Result<Record, RecordError>;

inline base::Failure<RecordError> not_an_object() {
  return base::Failure(RecordError{RecordError::Kind::not_an_object, {}});
}

/// `field` must refer to a string literal: the error keeps the view.
inline base::Failure<RecordError> malformed_field(std::string_view field) {
  return base::Failure(RecordError{RecordError::Kind::malformed_field, field});
}

/// The error as written to the log.
inline std::string to_string(const RecordError& error) {
  if (error.kind == RecordError::Kind::not_an_object) return "not a JSON object";
  return "malformed field " + std::string(error.field);
}

}  // namespace cranklock::control
