// The form of log lines: the event first, then its fields as `key=value` in a fixed order.
// docs/oncall.md lists the events that an operator may meet.
#pragma once

#include <spdlog/spdlog.h>

#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace cranklock::base {

/// One field of a log line. It refers to its value, which is formatted only if the line is written.
template <typename Value>
struct LogField {
  std::string_view key;
  const Value& value;
};

/// Names a field of a log line; keys are the glossary's terms in snake_case.
template <typename Value>
LogField<Value> field(std::string_view key, const Value& value) {
  return {key, value};
}

namespace detail {

/// Text with blanks, quotes or nothing in it is quoted, so that a line splits at its blanks.
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

/// Writes a log line if its level is enabled; formats nothing otherwise.
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

/// The value of a field of a line of this event, unquoted; none if the line, as it stands in a log
/// file behind its time and level, is of another event or has no such field.
std::optional<std::string> read_log_field(std::string_view line, std::string_view event,
                                          std::string_view key);

/// Events that programs read, which therefore stand in one place.
inline constexpr std::string_view kLeadershipServing = "leadership serving";
inline constexpr std::string_view kQuotaShortageOver = "quota shortage over";
inline constexpr std::string_view kPlanBegun = "plan begun";
inline constexpr std::string_view kPlanDone = "plan done";
inline constexpr std::string_view kPlanDropped = "plan dropped";
inline constexpr std::string_view kMoveDone = "move done";

}  // namespace cranklock::base
