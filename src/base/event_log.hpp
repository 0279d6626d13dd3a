// Structured log lines: the event, followed by its fields as `key=value` in a fixed order.
// docs/oncall.md lists the events that matter to operators.
#pragma once

#include <spdlog/spdlog.h>

#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace cranklock::base {

/// One field of a log line. Holds a reference to the value, which is formatted only if the line is
/// written.
template <typename Value>
struct LogField {
  std::string_view key;
  const Value& value;
};

/// Makes a field of a log line. Keys are terms of the glossary in snake_case.
template <typename Value>
LogField<Value> field(std::string_view key, const Value& value) {
  return {key, value};
}

namespace detail {

/// Appends text; quotes it if it is empty or contains a space, a double quote or an equals sign, so
/// that a line can be split at unquoted spaces. Double quotes in the text become single quotes.
void append_text(std::string& line, std::string_view text);

template <typename Value>
void append_field(std::string& line, const LogField<Value>& field) {
  line.append(" ").append(field.key).append("=");
  if constexpr (std::is_convertible_v<const Value&, std::string_view>) {
    append_text(line, field.value);
  } else if constexpr (std::is_floating_point_v<Value>) {
    line += fmt::format("{:.2f}", field.value);
  } else {
    line += fmt::format("{}", field.value);
  }
}

}  // namespace detail

/// Formats a log line: `event key=value key=value`.
template <typename... Values>
std::string log_line(std::string_view event, const LogField<Values>&... fields) {
  std::string line(event);
  (detail::append_field(line, fields), ...);
  return line;
}

/// Writes a log line if its level is enabled; otherwise formats nothing.
template <typename... Values>
void log_event(spdlog::level::level_enum level, std::string_view event,
               const LogField<Values>&... fields) {
  if (!spdlog::should_log(level)) return;
  spdlog::log(level, "{}", log_line(event, fields...));
}

template <typename... Values>
void log_info(std::string_view event, const LogField<Values>&... fields) {
  log_event(spdlog::level::info, event, fields...);
}
template <typename... Values>
void log_debug(std::string_view event, const LogField<Values>&... fields) {
  log_event(spdlog::level::debug, event, fields...);
}
template <typename... Values>
void log_error(std::string_view event, const LogField<Values>&... fields) {
  log_event(spdlog::level::err, event, fields...);
}

/// Returns the unquoted value of a field from a line of a log file, which may begin with a time and
/// a level; none if the line is of another event or lacks the field.
std::optional<std::string> read_log_field(std::string_view line, std::string_view event,
                                          std::string_view key);

/// Events that programs read, defined once for writers and readers.
inline constexpr std::string_view kLeadershipServing = "leadership serving";
inline constexpr std::string_view kQuotaShortageOver = "quota shortage over";
inline constexpr std::string_view kPlanBegun = "plan begun";
inline constexpr std::string_view kPlanDone = "plan done";
inline constexpr std::string_view kPlanDropped = "plan dropped";
inline constexpr std::string_view kMoveDone = "move done";

}  // namespace cranklock::base
