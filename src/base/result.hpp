// Either a value or a typed error. Similar to std::expected of C++23, which the project's C++20
// compilers lack.
#pragma once

#include <utility>
#include <variant>

namespace cranklock::base {

/// Wraps an error so that a function that returns a Result can return it: `return Failure(error)`.
template <typename Error>
struct Failure {
  explicit Failure(Error reason) : error(std::move(reason)) {}
  Error error;
};

/// Holds a Value or an Error. Reading the alternative that it does not hold is a programming error
/// and throws std::bad_variant_access.
template <typename Value, typename Error>
class [[nodiscard]] Result {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): allows `return value`.
  Result(Value value) : content_(std::in_place_index<0>, std::move(value)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): allows `return Failure(error)`.
  Result(Failure<Error> failure) : content_(std::in_place_index<1>, std::move(failure.error)) {}

  bool has_value() const { return content_.index() == 0; }
  explicit operator bool() const { return has_value(); }

  Value& value() & { return std::get<0>(content_); }
  const Value& value() const& { return std::get<0>(content_); }
  Value&& value() && { return std::get<0>(std::move(content_)); }
  Value& operator*() & { return value(); }
  const Value& operator*() const& { return value(); }
  Value* operator->() { return &value(); }
  const Value* operator->() const { return &value(); }

  const Error& error() const { return std::get<1>(content_); }

 private:
  std::variant<Value, Error> content_;
};

}  // namespace cranklock::base
