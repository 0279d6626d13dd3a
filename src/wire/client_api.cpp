#include "wire/client_api.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "wire/enum_names.hpp"

namespace cranklock::wire {
namespace {

constexpr EnumNames<JobKind, 3> kJobKinds{
    {{JobKind::job_array, "batch"}, {JobKind::gang, "ensemble"}, {JobKind::service, "standing"}}};
constexpr EnumNames<Priority, 4> kPriorities{{{Priority::production, "production"},
                                              {Priority::high, "high"},
                                              {Priority::standard, "standard"},
                                              {Priority::best_effort, "best_effort"}}};
constexpr EnumNames<JobState, 4> kJobStates{{{JobState::queued, "queued"},
                                             {JobState::running, "running"},
                                             {JobState::done, "done"},
                                             {JobState::cancelled, "withdrawn"}}};

constexpr const char* kExpectedAmount = "a number of at least 0";

/// Returns the texts without duplicates, in the order of their first occurrence.
std::vector<std::string> without_duplicates(const std::vector<std::string>& texts) {
  std::set<std::string_view> seen;
  std::vector<std::string> unique;
  for (const auto& text : texts) {
    if (seen.insert(text).second) unique.push_back(text);
  }
  return unique;
}

/// Reads the fields of a job in sequence, up to the first invalid one.
class JobReader {
 public:
  explicit JobReader(const Json& object) : object_(object) {}

  base::Result<JobSpec, FieldError> read() {
    const bool valid = read_id() && read_names() && read_kind() && read_priority() &&
                       read_tasks() && read_image() && read_amounts() && read_flags() &&
                       read_types() && read_zone() && read_due() && read_dependencies();
    if (!valid) return base::Failure(error_);
    return std::move(job_);
  }

 private:
  /// Records the error and returns false, the result of the failed step.
  bool reject(std::string field, std::string expectation) {
    error_ = {std::move(field), std::move(expectation)};
    return false;
  }

  bool read_id() {
    const auto id = read_text(object_, "Id");
    if (!id || !valid_job_id(*id)) return reject("Id", "a job id");
    job_.id = *id;
    return true;
  }

  /// Reads a non-empty string; none if it is absent, empty or too long.
  std::optional<std::string> read_bounded(const char* field, std::size_t max_bytes) const {
    auto text = read_text(object_, field);
    if (!text || text->empty() || text->size() > max_bytes) return std::nullopt;
    return text;
  }

  bool read_names() {
    constexpr std::size_t kMaxNameBytes = 200;
    const auto job_class = read_bounded("Gear", kMaxNameBytes);
    if (!job_class) return reject("Gear", "a class");
    job_.job_class = *job_class;
    const auto team = read_bounded("Crew", kMaxNameBytes);
    if (!team) return reject("Crew", "a team");
    job_.team = *team;
    return true;
  }

  bool read_kind() {
    const auto kind = read_enum(kJobKinds, object_, "Shape");
    if (!kind) return reject("Shape", "batch, ensemble or standing");
    job_.kind = *kind;
    return true;
  }

  bool read_priority() {
    const auto priority = read_enum(kPriorities, object_, "Rank");
    if (!priority) return reject("Rank", "production, high, standard or best_effort");
    job_.priority = *priority;
    return true;
  }

  bool read_tasks() {
    const auto tasks = read_count(object_, "Teeth");
    if (!tasks || *tasks < 1 || *tasks > kMaxTasks) {
      return reject("Teeth", "1 to " + std::to_string(kMaxTasks));
    }
    job_.tasks = static_cast<std::uint32_t>(*tasks);
    return true;
  }

  bool read_image() {
    constexpr std::size_t kMaxImageBytes = 500;
    const auto image = read_bounded("Cast", kMaxImageBytes);
    if (!image) return reject("Cast", "an image");
    job_.image = *image;
    return true;
  }

  bool read_amounts() {
    struct Amount {
      const char* field;
      double* value;
    };
    for (const auto& [field, value] :
         {Amount{"Cpus", &job_.resources.cpus}, Amount{"Accelerators", &job_.resources.gpus},
          Amount{"MemGb", &job_.resources.memory_gb}, Amount{"SizeGb", &job_.image_gb},
          Amount{"ExpectS", &job_.estimate_s}, Amount{"NotchS", &job_.checkpoint_interval_s},
          Amount{"StowS", &job_.checkpoint_save_s}}) {
      const auto amount = read_amount(object_, field);
      if (!amount || *amount < 0) return reject(field, kExpectedAmount);
      *value = *amount;
    }
    return true;
  }

  bool read_flags() {
    struct Flag {
      const char* field;
      bool* value;
    };
    for (const auto& [field, value] : {Flag{"OneZone", &job_.one_zone}, Flag{"Apart", &job_.spread},
                                       Flag{"Loaners", &job_.spot}}) {
      const auto flag = read_flag(object_, field);
      if (!flag) return reject(field, "true or false");
      *value = *flag;
    }
    return true;
  }

  bool read_types() {
    constexpr std::size_t kMaxTypes = 64;
    if (find(object_, "Frames") == nullptr) return true;
    const auto types = read_texts(object_, "Frames");
    if (!types || types->size() > kMaxTypes) return reject("Frames", "a list of machine types");
    // An empty list in the request allows no machine type. JobSpec represents it as one empty name,
    // because an empty list in JobSpec allows any type.
    job_.types = types->empty() ? std::vector<std::string>{""} : *types;
    return true;
  }

  bool read_zone() {
    if (find(object_, "Yard") == nullptr) return true;
    const auto zone = read_text(object_, "Yard");
    if (!zone || zone->empty()) return reject("Yard", "a zone");
    job_.zone = *zone;
    return true;
  }

  bool read_due() {
    if (find(object_, "DueS") == nullptr) return true;
    const auto due = read_amount(object_, "DueS");
    if (!due || *due < 0) return reject("DueS", kExpectedAmount);
    job_.deadline_s = *due;
    return true;
  }

  bool read_dependencies() {
    if (find(object_, "WaitsOn") == nullptr) return true;
    const auto dependencies = read_texts(object_, "WaitsOn");
    const bool valid = dependencies && dependencies->size() <= kMaxDependencies &&
                       std::all_of(dependencies->begin(), dependencies->end(), valid_job_id);
    if (!valid) {
      return reject("WaitsOn",
                    "a list of at most " + std::to_string(kMaxDependencies) + " job ids");
    }
    job_.dependencies = without_duplicates(*dependencies);
    return true;
  }

  const Json& object_;
  JobSpec job_;
  FieldError error_;
};

void write_texts(JsonWriter& writer, const char* field, const std::vector<std::string>& texts) {
  writer.key(field).begin_array();
  for (const auto& text : texts) writer.text(text);
  writer.end_array();
}

}  // namespace

std::string to_string(const FieldError& error) {
  return error.field + ": expected " + error.expectation;
}

base::Result<JobSpec, FieldError> parse_job(const Json& object) {
  return JobReader(object).read();
}

void write_job(JsonWriter& writer, const JobSpec& job) {
  writer.begin_object();
  writer.key("Id").text(job.id);
  writer.key("Gear").text(job.job_class);
  writer.key("Crew").text(job.team);
  writer.key("Shape").text(name_of(kJobKinds, job.kind));
  writer.key("Rank").text(name_of(kPriorities, job.priority));
  writer.key("Teeth").count(job.tasks);
  writer.key("Cpus").amount(job.resources.cpus);
  writer.key("Accelerators").amount(job.resources.gpus);
  writer.key("MemGb").amount(job.resources.memory_gb);
  writer.key("Cast").text(job.image);
  writer.key("SizeGb").amount(job.image_gb);
  if (!job.types.empty()) write_texts(writer, "Frames", job.types);
  if (!job.zone.empty()) writer.key("Yard").text(job.zone);
  writer.key("OneZone").flag(job.one_zone);
  writer.key("Apart").flag(job.spread);
  writer.key("Loaners").flag(job.spot);
  writer.key("ExpectS").amount(job.estimate_s);
  writer.key("NotchS").amount(job.checkpoint_interval_s);
  writer.key("StowS").amount(job.checkpoint_save_s);
  if (job.deadline_s) writer.key("DueS").amount(*job.deadline_s);
  if (!job.dependencies.empty()) write_texts(writer, "WaitsOn", job.dependencies);
  writer.end_object();
}

std::string job_response(std::string_view id, JobState state) {
  JsonWriter writer;
  writer.begin_object();
  writer.key("Id").text(id);
  writer.key("Stance").text(name_of(kJobStates, state));
  writer.end_object();
  return writer.take();
}

std::string job_status(std::string_view id, JobState state, std::uint64_t done,
                       std::uint64_t running) {
  JsonWriter writer;
  writer.begin_object();
  writer.key("Id").text(id);
  writer.key("Stance").text(name_of(kJobStates, state));
  writer.key("done").count(done);
  writer.key("running").count(running);
  writer.end_object();
  return writer.take();
}

std::string error_response(std::string_view reason) {
  JsonWriter writer;
  writer.begin_object().key("error").text(reason).end_object();
  return writer.take();
}

}  // namespace cranklock::wire
