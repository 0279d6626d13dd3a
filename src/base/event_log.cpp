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
  const auto event_at = line.find(event);
  if (event_at == std::string_view::npos) return std::nullopt;
  const std::string_view fields = line.substr(event_at + event.size());
  if (!fields.empty() && fields.front() != ' ') return std::nullopt;
  const std::string name = " " + std::string(key) + "=";
  const auto key_at = fields.find(name);
  if (key_at == std::string_view::npos) return std::nullopt;
  std::string_view value = fields.substr(key_at + name.size());
  if (value.starts_with('"')) {
    value.remove_prefix(1);
    return std::string(value.substr(0, value.find('"')));
  }
  return std::string(value.substr(0, value.find(' ')));
}

}  // namespace cranklock::base
