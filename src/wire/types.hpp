// Types shared by the messages of several protocols.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranklock::wire {

/// Resources of a task or machine, or sums and differences of such resources.
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
    constexpr double kAmountTolerance = 1e-6;  // rounding of sums of decimals
    return cpus <= other.cpus + kAmountTolerance && gpus <= other.gpus + kAmountTolerance &&
           memory_gb <= other.memory_gb + kAmountTolerance;
  }
};

/// Whether the text is a valid job id: "j-" and digits, at most 40 bytes.
bool valid_job_id(std::string_view id);

/// One task of a job.
struct TaskName {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskName&) const = default;  // NOLINT(modernize-use-nullptr)
};
/// Returns job and index, for example "j-000412/7".
std::string to_string(const TaskName& name);
/// Returns none if the text does not have the form that to_string writes.
std::optional<TaskName> parse_task(std::string_view text);

}  // namespace cranklock::wire
