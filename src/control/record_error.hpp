// Why a stored record could not be read.
#pragma once

#include <string>
#include <string_view>

#include "base/result.hpp"

namespace cranklock::control {

/// What is wrong with a stored record.
struct RecordError {
  enum class Kind {
    not_an_object,    ///< the text is not JSON, or not a JSON object
    malformed_field,  ///< a field is missing, of another type, or beyond its bounds
  };

  Kind kind = Kind::not_an_object;
  std::string_view field;  ///< the stored name of the malformed field; a string literal

  bool operator==(const RecordError&) const = default;
};

/// A record that was read, or what is wrong with its text.
template <typename Record>
using RecordResult = base::Result<Record, RecordError>;

inline base::Failure<RecordError> not_an_object() {
  return base::Failure(RecordError{RecordError::Kind::not_an_object, {}});
}

/// `field` refers to a string literal.
inline base::Failure<RecordError> malformed_field(std::string_view field) {
  return base::Failure(RecordError{RecordError::Kind::malformed_field, field});
}

/// The error as log lines give it.
inline std::string to_string(const RecordError& error) {
  if (error.kind == RecordError::Kind::not_an_object) return "not a JSON object";
  return "malformed field " + std::string(error.field);
}

}  // namespace cranklock::control
