// The protocol's messages. Only this package knows the protocol's names on the wire; everything
// inside speaks of class, team, task, attempt, fencing token, agent epoch, lease and revision.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/json.hpp"

namespace cranklock::wire {

enum class JobKind { job_array, gang, service };
/// In order of priority, highest first.
enum class Priority { production, high, standard, best_effort };

struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;

  Resources& operator+=(const Resources& o) {
    cpus += o.cpus, gpus += o.gpus, memory_gb += o.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus, gpus -= o.gpus, memory_gb -= o.memory_gb;
    return *this;
  }
  bool operator==(const Resources&) const = default;
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, double n) {
    return {a.cpus * n, a.gpus * n, a.memory_gb * n};
  }
  bool fits_in(const Resources& o) const {
    constexpr double kSlack = 1e-6;  // sums of decimal amounts
    return cpus <= o.cpus + kSlack && gpus <= o.gpus + kSlack && memory_gb <= o.memory_gb + kSlack;
  }
};

struct JobSpec {
  std::string id, job_class, team;
  JobKind kind = JobKind::job_array;
  Priority priority = Priority::standard;
  std::uint32_t tasks = 1;
  Resources resources;  ///< of each task
  std::string image;
  double image_gb = 0;
  std::vector<std::string> types;  ///< empty: any
  std::string zone;                ///< empty: any
  bool one_zone = false, spread = false, spot = false;
  double estimate_s = 0, checkpoint_interval_s = 0, checkpoint_save_s = 0;
  std::optional<double> due_s;
  /// Ids of the jobs that must be done before any task of this one starts, each once.
  std::vector<std::string> dependencies;
};

inline constexpr std::uint32_t kMaxTasks = 100'000;
inline constexpr std::size_t kMaxDependencies = 256;  ///< jobs that one job may name as needed

/// "j-" and digits, the form that every job id has.
bool valid_job_id(std::string_view id);

/// The job, or why it is malformed.
std::variant<JobSpec, std::string> parse_job(const Json& object);
void write_job(JsonWriter& w, const JobSpec& job);

enum class JobState { queued, running, done, cancelled };
std::string job_response(std::string_view id, JobState state);
std::string job_status(std::string_view id, JobState state, std::uint64_t done,
                       std::uint64_t running);
std::string error_response(std::string_view why);

struct TaskName {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskName&) const = default;  // NOLINT(modernize-use-nullptr)
};
std::string to_string(const TaskName& name);
std::optional<TaskName> parse_task(std::string_view text);

enum class TaskState { fetching, waiting, running, checkpointing, exited };
enum class ExitReason {
  none,
  completed,
  stopped,                 ///< by a command
  gang_peer_lost,          ///< another task of the gang is gone
  gang_incomplete,         ///< the gang was not complete in time
  error,                   ///< the task failed
  insufficient_resources,  ///< refused: the machine has not enough free
  other_attempt_present,   ///< refused: the machine holds another attempt of the task
  unknown_task,            ///< refused: there is no such job or task
};

struct TaskStatus {
  TaskName task;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitReason exit_reason = ExitReason::none;
  bool checkpoint_saved = false;
};

struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t agent_epoch = 0, sequence = 0, fencing_token = 0;
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;
};
std::optional<Heartbeat> parse_heartbeat(std::string_view body);

enum class CommandKind { start, stop, forget };
struct Command {
  CommandKind kind = CommandKind::start;
  TaskName task;
  std::uint64_t attempt = 0;
  double grace_s = 0;
};
std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<Command>& commands);
std::string commands_request(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                             const std::vector<Command>& commands);
/// For a node that is not entitled; `leader` may be empty.
std::string redirect_response(std::string_view leader);

struct MachineType {
  std::string name;
  Resources resources;
  double cache_gb = 0, fetch_gb_per_s = 1, price = 0, spot_price = 0, ready_s = 60;
  std::vector<std::string> zones;
};
std::optional<std::vector<MachineType>> parse_machine_types(std::string_view body);
void write_machine_types(JsonWriter& w, const std::vector<MachineType>& types);

struct ScaleOutRequest {
  std::string request, type, zone;
  bool spot = false;
  int count = 1;
};
std::string write_scale_out_request(const ScaleOutRequest& scale_out_request);
std::optional<std::vector<std::string>> parse_scale_out_response(std::string_view body);
std::string delete_request(const std::vector<std::string>& machines);

enum class MachineState { booting, running, failed };
struct ListedMachine {
  std::string id, address, type, zone;
  bool spot = false;
  MachineState state = MachineState::booting;
  double age_s = 0;
};
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};
std::optional<MachinePage> parse_machine_page(std::string_view body);
std::string machine_page_query(std::string_view after, int max_items);

// The state service.
struct StoredValue {
  std::string key;
  std::string data;  ///< JSON; empty: removed
  std::uint64_t revision = 0;
};
struct Compare {
  std::string key;
  std::uint64_t revision = 0;
};
struct Mutation {
  std::string key;
  std::string data;  ///< JSON; empty: remove
  std::uint64_t lease = 0;
};
struct CompareAndSwapResponse {
  std::uint64_t revision = 0;
  std::vector<std::string> failed_keys;  ///< whose compared revisions do not hold
};
struct RangePage {
  std::vector<StoredValue> items;
  bool more = false;
  std::uint64_t revision = 0;
};
std::string compare_and_swap_request(const std::vector<Compare>& compares,
                                     const std::vector<Mutation>& mutations);
std::optional<CompareAndSwapResponse> parse_compare_and_swap_response(std::string_view body);
std::optional<StoredValue> parse_stored(std::string_view body);
std::optional<std::uint64_t> parse_revision(std::string_view body);
std::optional<RangePage> parse_range(std::string_view body);
std::optional<RangePage> parse_watch(std::string_view body);
std::string range_query(std::string_view prefix, std::string_view after, int max_items);
std::string watch_query(std::string_view prefix, std::uint64_t since, int wait_ms);
std::string lease_request(int life_ms);
std::optional<std::uint64_t> parse_lease(std::string_view body);

}  // namespace cranklock::wire
