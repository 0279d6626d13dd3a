#include "base/event_log.hpp"

namespace cranklock::base {
namespace detail {

void append_text(std::string& line, std::string_view text) {
  if (!text.empty() && text.find_first_of(" \"=") == std::string_view::npos) {
    line += text;
    return;
  }
  line += '"';
  for (const char c : text) line += c == '"' ? '\'' : c;
  line += '"';
}

}  // namespace detail

std::optional<std::string> read_log_field(std::string_view line, std::string_view event,
                                          std::string_view key) {
  const auto event_begin = line.find(event);
  if (event_begin == std::string_view::npos) return std::nullopt;
  const std::string_view fields = line.substr(event_begin + event.size());
  if (!fields.empty() && fields.front() != ' ') return std::nullopt;
  const std::string key_prefix = " " + std::string(key) + "=";
  const auto key_begin = fields.find(key_prefix);
  if (key_begin == std::string_view::npos) return std::nullopt;
  std::string_view value = fields.substr(key_begin + key_prefix.size());
  if (value.starts_with('"')) {
    value.remove_prefix(1);
    return std::string(value.substr(0, value.find('"')));
  }
  return std::string(value.substr(0, value.find(' ')));
}

}  // namespace cranklock::base
