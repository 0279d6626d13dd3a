#include "base/result.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace cranklock::base {
namespace {

enum class ParseError { empty, malformed };

Result<int, ParseError> parse(const std::string& text) {
  if (text.empty()) return Failure(ParseError::empty);
  if (text != "7") return Failure(ParseError::malformed);
  return 7;
}

TEST(Result, HoldsAValue) {
  const auto result = parse("7");
  ASSERT_TRUE(result);
  EXPECT_EQ(*result, 7);
}

TEST(Result, HoldsAnError) {
  EXPECT_FALSE(parse(""));
  EXPECT_EQ(parse("").error(), ParseError::empty);
  EXPECT_EQ(parse("x").error(), ParseError::malformed);
}

TEST(Result, ReadingTheAbsentAlternativeThrows) {
  EXPECT_THROW(static_cast<void>(parse("x").value()), std::bad_variant_access);
  EXPECT_THROW(static_cast<void>(parse("7").error()), std::bad_variant_access);
}

TEST(Result, MovesItsValueOut) {
  Result<std::unique_ptr<int>, ParseError> result(std::make_unique<int>(3));
  const std::unique_ptr<int> taken = std::move(result).value();
  EXPECT_EQ(*taken, 3);
}

TEST(Result, ValueAndErrorMayHaveTheSameType) {
  const Result<std::string, std::string> value(std::string("value"));
  const Result<std::string, std::string> error(Failure(std::string("error")));
  EXPECT_EQ(*value, "value");
  EXPECT_EQ(error.error(), "error");
}

}  // namespace
}  // namespace cranklock::base
