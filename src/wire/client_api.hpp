// HTTP API for clients: submitted jobs and responses. Stored job records contain jobs in the same
// form.
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
  gang,       ///< tasks that run all together or not at all
  service,    ///< replicas that run until cancelled
};
/// In order of priority, highest first.
enum class Priority { production, high, standard, best_effort };

/// Description of a job by its client. Times are in seconds.
struct JobSpec {
  std::string id, job_class, team;
  JobKind kind = JobKind::job_array;
  Priority priority = Priority::standard;
  std::uint32_t tasks = 1;
  Resources resources;  ///< of each task
  std::string image;
  double image_gb = 0;
  /// Machine types that its tasks may run on; empty: any; a single empty name: none.
  std::vector<std::string> types;
  std::string zone;       ///< empty: any
  bool one_zone = false;  ///< all tasks in the same zone
  bool spread = false;    ///< no more than half of its tasks in one zone
  bool spot = false;      ///< may run on spot machines
  double estimate_s = 0;  ///< expected run time of a task
  double checkpoint_interval_s = 0, checkpoint_save_s = 0;
  std::optional<double> deadline_s;  ///< since submission
  /// Ids of the jobs that must be done before any task of this job starts, without duplicates.
  std::vector<std::string> dependencies;
};

inline constexpr std::uint32_t kMaxTasks = 100'000;
/// Maximum number of dependencies of a job.
inline constexpr std::size_t kMaxDependencies = 256;

/// A field of a submitted job that is absent or malformed.
struct FieldError {
  std::string field;        ///< name of the field in the protocol
  std::string expectation;  ///< description of the valid values
};
/// Message for clients, for example "Gear: expected a class".
std::string to_string(const FieldError& error);

/// Reads a submitted or stored job; the error names the first invalid field.
base::Result<JobSpec, FieldError> parse_job(const Json& object);
void write_job(JsonWriter& writer, const JobSpec& job);

enum class JobState { queued, running, done, cancelled };

/// Body of the response to a submission or cancellation.
std::string job_response(std::string_view id, JobState state);
/// Body of the response to a status request; `done` and `running` are numbers of tasks.
std::string job_status(std::string_view id, JobState state, std::uint64_t done,
                       std::uint64_t running);
/// Body of a response with an error status.
std::string error_response(std::string_view reason);

}  // namespace cranklock::wire
