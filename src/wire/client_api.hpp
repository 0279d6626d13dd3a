// The HTTP API for clients: submitted jobs, and what clients are answered. Stored job records hold
// a job in the same form.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "wire/json.hpp"
#include "wire/types.hpp"

namespace cranklock::wire {

enum class JobKind {
  job_array,  ///< independent tasks
  gang,       ///< tasks that run all at once or not at all
  service,    ///< replicas that run until cancelled
};
/// In order of priority, highest first.
enum class Priority { production, high, standard, best_effort };

/// A job as its client describes it. Times are in seconds.
struct JobSpec {
  std::string id, job_class, team;
  JobKind kind = JobKind::job_array;
  Priority priority = Priority::standard;
  std::uint32_t tasks = 1;
  Resources resources;  ///< of each task
  std::string image;
  double image_gb = 0;
  /// Machine types that its tasks may run on; empty: any. One empty name: none at all.
  std::vector<std::string> types;
  std::string zone;       ///< empty: any
  bool one_zone = false;  ///< all tasks in the same zone
  bool spread = false;    ///< no more than half of its tasks in one zone
  bool spot = false;      ///< may run on spot machines
  double estimate_s = 0;  ///< expected run time of a task
  double checkpoint_interval_s = 0, checkpoint_save_s = 0;
  std::optional<double> due_s;  ///< after submission
  /// Ids of the jobs that must be done before any task of this one starts, each once.
  std::vector<std::string> dependencies;
};

inline constexpr std::uint32_t kMaxTasks = 100'000;
/// Jobs that one job may name as dependencies.
inline constexpr std::size_t kMaxDependencies = 256;

/// A field of a submitted job that is absent or malformed.
struct FieldError {
  std::string field;        ///< the protocol's name of the field
  std::string expectation;  ///< what it should have held
};
/// "Gear: expected a class", as clients are told.
std::string to_string(const FieldError& error);

/// Reads a submitted or stored job; the error names the first field that is wrong.
base::Result<JobSpec, FieldError> parse_job(const Json& object);
void write_job(JsonWriter& writer, const JobSpec& job);

enum class JobState { queued, running, done, cancelled };

/// Body of the answer to a submission or cancellation.
std::string job_response(std::string_view id, JobState state);
/// Body of the answer to a status request; `done` and `running` count tasks.
std::string job_status(std::string_view id, JobState state, std::uint64_t done,
                       std::uint64_t running);
/// Body of an answer with an error status.
std::string error_response(std::string_view reason);

}  // namespace cranklock::wire
