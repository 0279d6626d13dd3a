// Values that the messages of several partners share.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranklock::wire {

/// Resources of a task or machine; also sums and differences of them.
struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus, gpus += other.gpus, memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus, gpus -= other.gpus, memory_gb -= other.memory_gb;
    return *this;
  }
  bool operator==(const Resources&) const = default;
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, double n) {
    return {a.cpus * n, a.gpus * n, a.memory_gb * n};
  }
  bool fits_in(const Resources& other) const {
    constexpr double kSlack = 1e-6;  // sums of decimal amounts
    return cpus <= other.cpus + kSlack && gpus <= other.gpus + kSlack &&
           memory_gb <= other.memory_gb + kSlack;
  }
};

/// True for the form that every job id has: "j-" and digits.
bool valid_job_id(std::string_view id);

/// One task of a job.
struct TaskName {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskName&) const = default;  // NOLINT(modernize-use-nullptr)
};
/// "j-000412/7".
std::string to_string(const TaskName& name);
/// None if the text is not of the form that to_string writes.
std::optional<TaskName> parse_task(std::string_view text);

}  // namespace cranklock::wire
