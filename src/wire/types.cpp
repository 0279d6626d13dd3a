#include "wire/types.hpp"

#include <algorithm>
#include <charconv>

namespace cranklock::wire {

bool valid_job_id(std::string_view id) {
  constexpr std::string_view kPrefix = "j-";
  constexpr std::size_t kMaxBytes = 40;
  if (id.size() <= kPrefix.size() || id.size() > kMaxBytes || !id.starts_with(kPrefix)) {
    return false;
  }
  const auto digits = id.substr(kPrefix.size());
  return std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::string to_string(const TaskName& name) {
  return name.job + "/" + std::to_string(name.index);
}

std::optional<TaskName> parse_task(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos || !valid_job_id(text.substr(0, slash))) return std::nullopt;
  TaskName task{std::string(text.substr(0, slash)), 0};
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + slash + 1, end, task.index);
  if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  return task;
}

}  // namespace cranklock::wire
