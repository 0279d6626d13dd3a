#include "wire/messages.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace cranklock::wire {
namespace {

template <typename E, std::size_t N>
using Names = std::array<std::pair<E, std::string_view>, N>;

constexpr Names<JobKind, 3> kJobKinds{
    {{JobKind::job_array, "batch"}, {JobKind::gang, "ensemble"}, {JobKind::service, "standing"}}};
constexpr Names<Priority, 4> kPriorities{{{Priority::production, "production"},
                                          {Priority::high, "high"},
                                          {Priority::standard, "standard"},
                                          {Priority::best_effort, "best_effort"}}};
constexpr Names<JobState, 4> kJobStates{{{JobState::queued, "queued"},
                                         {JobState::running, "running"},
                                         {JobState::done, "done"},
                                         {JobState::cancelled, "withdrawn"}}};
constexpr Names<TaskState, 5> kTaskStates{{{TaskState::fetching, "fetching"},
                                           {TaskState::waiting, "waiting"},
                                           {TaskState::running, "running"},
                                           {TaskState::checkpointing, "flushing"},
                                           {TaskState::exited, "exited"}}};
constexpr Names<ExitReason, 8> kExitReasons{{{ExitReason::completed, "done"},
                                             {ExitReason::stopped, "halted"},
                                             {ExitReason::gang_peer_lost, "peers"},
                                             {ExitReason::gang_incomplete, "incomplete"},
                                             {ExitReason::error, "error"},
                                             {ExitReason::insufficient_resources, "no_room"},
                                             {ExitReason::other_attempt_present, "busy"},
                                             {ExitReason::unknown_task, "no_such"}}};
constexpr Names<CommandKind, 3> kCommandKinds{
    {{CommandKind::start, "start"}, {CommandKind::stop, "kill"}, {CommandKind::forget, "forget"}}};
constexpr Names<MachineState, 3> kMachineStates{{{MachineState::booting, "booting"},
                                                 {MachineState::running, "running"},
                                                 {MachineState::failed, "failed"}}};

template <typename E, std::size_t N>
std::string_view name_of(const Names<E, N>& names, E value) {
  for (const auto& [v, n] : names) {
    if (v == value) return n;
  }
  return "";
}

template <typename E, std::size_t N>
std::optional<E> named(const Names<E, N>& names, const Json& object, const char* field) {
  const Json* v = find(object, field);
  if (v == nullptr || !v->IsString()) return std::nullopt;
  const std::string_view text(v->GetString(), v->GetStringLength());
  for (const auto& [value, n] : names) {
    if (n == text) return value;
  }
  return std::nullopt;
}

std::optional<std::vector<std::string>> read_texts(const Json& object, const char* name) {
  const Json* v = find(object, name);
  if (v == nullptr || !v->IsArray()) return std::nullopt;
  std::vector<std::string> out;
  for (const auto& item : v->GetArray()) {
    if (!item.IsString()) return std::nullopt;
    out.emplace_back(item.GetString(), item.GetStringLength());
  }
  return out;
}

/// The texts in their order, each where it first stands.
std::vector<std::string> without_repeats(const std::vector<std::string>& texts) {
  std::set<std::string_view> seen;
  std::vector<std::string> out;
  for (const auto& text : texts) {
    if (seen.insert(text).second) out.push_back(text);
  }
  return out;
}

/// Parses a body that is an object, and hands it on.
template <typename F>
auto with_object(std::string_view body, F&& use) -> decltype(use(std::declval<const Json&>())) {
  const JsonDocument document(body);
  if (!document.is_object()) return std::nullopt;
  return use(document.root());
}

}  // namespace

bool valid_job_id(std::string_view id) {
  return id.size() > 2 && id.size() <= 40 && id.starts_with("j-") &&
         std::all_of(id.begin() + 2, id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::variant<JobSpec, std::string> parse_job(const Json& o) {
  JobSpec job;
  const auto id = read_text(o, "Id");
  if (!id || !valid_job_id(*id)) return "Id: expected a job id";
  job.id = *id;
  const auto job_class = read_text(o, "Gear");
  if (!job_class || job_class->empty() || job_class->size() > 200) return "Gear: expected a class";
  job.job_class = *job_class;
  const auto team = read_text(o, "Crew");
  if (!team || team->empty() || team->size() > 200) return "Crew: expected a team";
  job.team = *team;
  const auto kind = named(kJobKinds, o, "Shape");
  if (!kind) return "Shape: expected batch, ensemble or standing";
  job.kind = *kind;
  const auto priority = named(kPriorities, o, "Rank");
  if (!priority) return "Rank: expected production, high, standard or best_effort";
  job.priority = *priority;
  const auto tasks = read_count(o, "Teeth");
  if (!tasks || *tasks < 1 || *tasks > kMaxTasks) return "Teeth: expected 1 to 100000";
  job.tasks = static_cast<std::uint32_t>(*tasks);
  const auto image = read_text(o, "Cast");
  if (!image || image->empty() || image->size() > 500) return "Cast: expected an image";
  job.image = *image;

  struct Amount {
    const char* name;
    double* into;
    bool positive;
  };
  for (const auto& [name, into, positive] :
       {Amount{"Cpus", &job.resources.cpus, false},
        Amount{"Accelerators", &job.resources.gpus, false},
        Amount{"MemGb", &job.resources.memory_gb, false}, Amount{"SizeGb", &job.image_gb, false},
        Amount{"ExpectS", &job.estimate_s, false},
        Amount{"NotchS", &job.checkpoint_interval_s, false},
        Amount{"StowS", &job.checkpoint_save_s, false}}) {
    const auto v = read_amount(o, name);
    if (!v || *v < 0 || (positive && *v == 0)) {
      return std::string(name) + ": expected a number of at least 0";
    }
    *into = *v;
  }
  struct Flag {
    const char* name;
    bool* into;
  };
  for (const auto& [name, into] :
       {Flag{"OneZone", &job.one_zone}, Flag{"Apart", &job.spread}, Flag{"Loaners", &job.spot}}) {
    const auto v = read_flag(o, name);
    if (!v) return std::string(name) + ": expected true or false";
    *into = *v;
  }
  if (find(o, "Frames") != nullptr) {
    const auto types = read_texts(o, "Frames");
    if (!types || types->size() > 64) return "Frames: expected a list of machine types";
    // An empty list allows no type at all; the name of no type says so inside.
    job.types = types->empty() ? std::vector<std::string>{""} : *types;
  }
  if (find(o, "Yard") != nullptr) {
    const auto zone = read_text(o, "Yard");
    if (!zone || zone->empty()) return "Yard: expected a zone";
    job.zone = *zone;
  }
  if (find(o, "DueS") != nullptr) {
    const auto due = read_amount(o, "DueS");
    if (!due || *due < 0) return "DueS: expected a number of at least 0";
    job.due_s = *due;
  }
  if (find(o, "WaitsOn") != nullptr) {
    const auto dependencies = read_texts(o, "WaitsOn");
    const bool valid = dependencies && dependencies->size() <= kMaxDependencies &&
                       std::all_of(dependencies->begin(), dependencies->end(), valid_job_id);
    if (!valid) return "WaitsOn: expected a list of at most 256 job ids";
    job.dependencies = without_repeats(*dependencies);
  }
  return job;
}

void write_job(JsonWriter& w, const JobSpec& job) {
  w.begin().key("Id").text(job.id).key("Gear").text(job.job_class).key("Crew").text(job.team);
  w.key("Shape")
      .text(name_of(kJobKinds, job.kind))
      .key("Rank")
      .text(name_of(kPriorities, job.priority));
  w.key("Teeth").count(job.tasks).key("Cpus").amount(job.resources.cpus);
  w.key("Accelerators").amount(job.resources.gpus).key("MemGb").amount(job.resources.memory_gb);
  w.key("Cast").text(job.image).key("SizeGb").amount(job.image_gb);
  if (!job.types.empty()) {
    w.key("Frames").list();
    for (const auto& t : job.types) w.text(t);
    w.list_end();
  }
  if (!job.zone.empty()) w.key("Yard").text(job.zone);
  w.key("OneZone").flag(job.one_zone).key("Apart").flag(job.spread).key("Loaners").flag(job.spot);
  w.key("ExpectS").amount(job.estimate_s).key("NotchS").amount(job.checkpoint_interval_s);
  w.key("StowS").amount(job.checkpoint_save_s);
  if (job.due_s) w.key("DueS").amount(*job.due_s);
  if (!job.dependencies.empty()) {
    w.key("WaitsOn").list();
    for (const auto& id : job.dependencies) w.text(id);
    w.list_end();
  }
  w.end();
}

std::string job_response(std::string_view id, JobState state) {
  JsonWriter w;
  w.begin().key("Id").text(id).key("Stance").text(name_of(kJobStates, state)).end();
  return w.take();
}

std::string job_status(std::string_view id, JobState state, std::uint64_t done,
                       std::uint64_t running) {
  JsonWriter w;
  w.begin().key("Id").text(id).key("Stance").text(name_of(kJobStates, state));
  w.key("done").count(done).key("running").count(running).end();
  return w.take();
}

std::string error_response(std::string_view why) {
  JsonWriter w;
  w.begin().key("error").text(why).end();
  return w.take();
}

std::string to_string(const TaskName& name) {
  return name.job + "/" + std::to_string(name.index);
}

std::optional<TaskName> parse_task(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos || !valid_job_id(text.substr(0, slash))) return std::nullopt;
  TaskName out{std::string(text.substr(0, slash)), 0};
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + slash + 1, end, out.index);
  if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  return out;
}

std::optional<Heartbeat> parse_heartbeat(std::string_view body) {
  return with_object(body, [](const Json& o) -> std::optional<Heartbeat> {
    Heartbeat r;
    const auto machine = read_text(o, "Rig"), address = read_text(o, "Address"),
               type = read_text(o, "Frame"), zone = read_text(o, "Yard");
    const auto agent_epoch = read_count(o, "Shift"), sequence = read_count(o, "Tick"),
               fencing_token = read_count(o, "KeyTurn");
    const auto spot = read_flag(o, "Loaners");
    const Json* tasks = find(o, "Teeth");
    if (!machine || machine->empty() || !address || !type || !zone || !agent_epoch || !sequence ||
        !fencing_token || !spot || (tasks != nullptr && !tasks->IsArray())) {
      return std::nullopt;
    }
    r.machine = *machine, r.address = *address, r.type = *type, r.zone = *zone, r.spot = *spot;
    r.agent_epoch = *agent_epoch, r.sequence = *sequence, r.fencing_token = *fencing_token;
    if (const Json* notice = find(o, "WarningS")) {
      if (!notice->IsNumber()) return std::nullopt;
      r.preemption_notice_s = notice->GetDouble();
    }
    if (tasks == nullptr) return r;
    for (const auto& t : tasks->GetArray()) {
      const auto name = read_text(t, "Tooth");
      const auto task = name ? parse_task(*name) : std::nullopt;
      const auto attempt = read_count(t, "Crank");
      const auto state = named(kTaskStates, t, "Stance");
      if (!task || !attempt || !state) return std::nullopt;
      const auto exit_reason = named(kExitReasons, t, "Cause");
      if (*state == TaskState::exited && !exit_reason) return std::nullopt;
      r.tasks.push_back({*task, *attempt, *state, exit_reason.value_or(ExitReason::none),
                         read_flag(t, "Kept").value_or(false)});
    }
    return r;
  });
}

namespace {
void write_commands(JsonWriter& w, const std::vector<Command>& commands) {
  w.key("Orders").list();
  for (const auto& command : commands) {
    w.begin().key("Verb").text(name_of(kCommandKinds, command.kind));
    w.key("Tooth").text(to_string(command.task)).key("Crank").count(command.attempt);
    if (command.kind == CommandKind::stop) w.key("SlackS").amount(command.grace_s);
    w.end();
  }
  w.list_end();
}
}  // namespace

std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<Command>& commands) {
  JsonWriter w;
  w.begin().key("KeyTurn").count(fencing_token);
  write_commands(w, commands);
  w.end();
  return w.take();
}

std::string commands_request(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                             const std::vector<Command>& commands) {
  JsonWriter w;
  w.begin().key("KeyTurn").count(fencing_token).key("Shift").count(agent_epoch);
  write_commands(w, commands);
  w.end();
  return w.take();
}

std::string redirect_response(std::string_view leader) {
  JsonWriter w;
  w.begin();
  if (!leader.empty()) w.key("Foreman").text(leader);
  w.end();
  return w.take();
}

std::optional<std::vector<MachineType>> parse_machine_types(std::string_view body) {
  return with_object(body, [](const Json& o) -> std::optional<std::vector<MachineType>> {
    const Json* list = find(o, "Frames");
    if (list == nullptr || !list->IsArray()) return std::nullopt;
    std::vector<MachineType> out;
    for (const auto& item : list->GetArray()) {
      MachineType t;
      const auto name = read_text(item, "Label");
      const auto zones = item.IsObject() ? read_texts(item, "Yards") : std::nullopt;
      if (!name || !zones) return std::nullopt;
      t.name = *name, t.zones = *zones;
      struct Amount {
        const char* name;
        double* into;
      };
      for (const auto& [field, into] :
           {Amount{"Cpus", &t.resources.cpus}, Amount{"Accelerators", &t.resources.gpus},
            Amount{"MemGb", &t.resources.memory_gb}, Amount{"CacheGb", &t.cache_gb},
            Amount{"PullGbPerS", &t.fetch_gb_per_s}, Amount{"Price", &t.price},
            Amount{"SpotPrice", &t.spot_price}, Amount{"ReadyS", &t.ready_s}}) {
        const auto v = read_amount(item, field);
        if (!v || *v < 0) return std::nullopt;
        *into = *v;
      }
      out.push_back(std::move(t));
    }
    return out;
  });
}

void write_machine_types(JsonWriter& w, const std::vector<MachineType>& types) {
  w.begin().key("Frames").list();
  for (const auto& t : types) {
    w.begin().key("Label").text(t.name).key("Cpus").amount(t.resources.cpus);
    w.key("Accelerators").amount(t.resources.gpus).key("MemGb").amount(t.resources.memory_gb);
    w.key("CacheGb").amount(t.cache_gb).key("PullGbPerS").amount(t.fetch_gb_per_s);
    w.key("Price").amount(t.price).key("SpotPrice").amount(t.spot_price);
    w.key("ReadyS").amount(t.ready_s).key("Yards").list();
    for (const auto& zone : t.zones) w.text(zone);
    w.list_end().end();
  }
  w.list_end().end();
}

std::string write_scale_out_request(const ScaleOutRequest& r) {
  JsonWriter w;
  w.begin().key("Charter").text(r.request).key("Frame").text(r.type).key("Yard").text(r.zone);
  w.key("Loaners").flag(r.spot).key("Count").integer(r.count).end();
  return w.take();
}

std::optional<std::vector<std::string>> parse_scale_out_response(std::string_view body) {
  return with_object(body, [](const Json& o) { return read_texts(o, "Rigs"); });
}

std::string delete_request(const std::vector<std::string>& machines) {
  JsonWriter w;
  w.begin().key("Rigs").list();
  for (const auto& m : machines) w.text(m);
  w.list_end().end();
  return w.take();
}

std::optional<MachinePage> parse_machine_page(std::string_view body) {
  return with_object(body, [](const Json& o) -> std::optional<MachinePage> {
    const Json* list = find(o, "Rigs");
    if (list == nullptr || !list->IsArray()) return std::nullopt;
    MachinePage page;
    page.more = read_flag(o, "HasNext").value_or(false);
    for (const auto& item : list->GetArray()) {
      const auto id = read_text(item, "Id"), type = read_text(item, "Frame"),
                 zone = read_text(item, "Yard");
      const auto state = named(kMachineStates, item, "Stance");
      if (!id || !type || !zone || !state) return std::nullopt;
      page.machines.push_back({*id, read_text(item, "Address").value_or(""), *type, *zone,
                               read_flag(item, "Loaners").value_or(false), *state,
                               read_amount(item, "HeldS").value_or(0)});
    }
    return page;
  });
}

std::string machine_page_query(std::string_view after, int max_items) {
  std::string q = "Most=" + std::to_string(max_items);
  if (!after.empty()) q.append("&Since=").append(after);
  return q;
}

std::string compare_and_swap_request(const std::vector<Compare>& compares,
                                     const std::vector<Mutation>& mutations) {
  JsonWriter w;
  w.begin().key("If").list();
  for (const auto& c : compares) w.begin().key("K").text(c.key).key("Mark").count(c.revision).end();
  w.list_end().key("Then").list();
  for (const auto& c : mutations) {
    w.begin();
    if (c.data.empty()) {
      w.key("Remove").text(c.key);
    } else {
      w.key("Write").text(c.key).key("Data").raw(c.data);
      if (c.lease != 0) w.key("Hold").count(c.lease);
    }
    w.end();
  }
  w.list_end().end();
  return w.take();
}

std::optional<CompareAndSwapResponse> parse_compare_and_swap_response(std::string_view body) {
  return with_object(body, [](const Json& o) -> std::optional<CompareAndSwapResponse> {
    const auto revision = read_count(o, "LedgerTurn");
    if (!revision) return std::nullopt;
    return CompareAndSwapResponse{*revision,
                                  read_texts(o, "failed").value_or(std::vector<std::string>{})};
  });
}

namespace {
std::optional<StoredValue> read_stored(const Json& o) {
  const auto key = read_text(o, "K");
  const auto revision = read_count(o, "Mark");
  const Json* data = find(o, "Data");
  if (!key || !revision || data == nullptr) return std::nullopt;
  return StoredValue{*key, to_text(*data), *revision};
}
}  // namespace

std::optional<StoredValue> parse_stored(std::string_view body) {
  return with_object(body, read_stored);
}

std::optional<std::uint64_t> parse_revision(std::string_view body) {
  return with_object(body, [](const Json& o) { return read_count(o, "LedgerTurn"); });
}

std::optional<RangePage> parse_range(std::string_view body) {
  return with_object(body, [](const Json& o) -> std::optional<RangePage> {
    RangePage page;
    const Json* rows = find(o, "Rows");
    const auto revision = read_count(o, "LedgerTurn");
    if (rows == nullptr || !rows->IsArray() || !revision) return std::nullopt;
    page.revision = *revision;
    page.more = read_flag(o, "HasNext").value_or(false);
    for (const auto& row : rows->GetArray()) {
      auto item = read_stored(row);
      if (!item) return std::nullopt;
      page.items.push_back(std::move(*item));
    }
    return page;
  });
}

std::optional<RangePage> parse_watch(std::string_view body) {
  return with_object(body, [](const Json& o) -> std::optional<RangePage> {
    RangePage page;
    const Json* news = find(o, "News");
    const auto revision = read_count(o, "LedgerTurn");
    if (news == nullptr || !news->IsArray() || !revision) return std::nullopt;
    page.revision = *revision;
    for (const auto& event : news->GetArray()) {
      const auto mark = read_count(event, "Mark");
      const auto written = read_text(event, "Write"), removed = read_text(event, "Remove");
      const Json* data = find(event, "Data");
      if (!mark || (!written && !removed) || (written && data == nullptr)) return std::nullopt;
      page.items.push_back(
          {written ? *written : *removed, written ? to_text(*data) : std::string(), *mark});
    }
    return page;
  });
}

std::string range_query(std::string_view prefix, std::string_view after, int max_items) {
  std::string q = "Under=" + std::string(prefix) + "&Most=" + std::to_string(max_items);
  if (!after.empty()) q.append("&Since=").append(after);
  return q;
}

std::string watch_query(std::string_view prefix, std::uint64_t since, int wait_ms) {
  return "Under=" + std::string(prefix) + "&Since=" + std::to_string(since) +
         "&HoldMs=" + std::to_string(wait_ms);
}

std::string lease_request(int life_ms) {
  JsonWriter w;
  w.begin().key("LifeMs").integer(life_ms).end();
  return w.take();
}

std::optional<std::uint64_t> parse_lease(std::string_view body) {
  return with_object(body, [](const Json& o) { return read_count(o, "Hold"); });
}

}  // namespace cranklock::wire
