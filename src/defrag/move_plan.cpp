#include "defrag/move_plan.hpp"

#include <array>
#include <utility>

#include "wire/client_api.hpp"
#include "wire/json.hpp"

namespace cranklock::defrag {

using wire::Json;
using wire::JsonDocument;
using wire::JsonWriter;

namespace {

constexpr std::array<std::pair<MoveStep, const char*>, 7> kStepNames{
    {{MoveStep::reserved, "reserved"},
     {MoveStep::draining, "draining"},
     {MoveStep::stopping, "stopping"},
     {MoveStep::freed, "freed"},
     {MoveStep::restarting, "restarting"},
     {MoveStep::done, "done"},
     {MoveStep::diverted, "diverted"}}};

void write_plan(JsonWriter& w, const MovePlan& plan) {
  w.begin_object().key("id").text(plan.id).key("job").text(plan.job);
  w.key("begun_ms").integer(plan.begun_ms);
  w.key("cost_s").amount(plan.cost_s).key("boot_s").amount(plan.boot_s);
  w.key("places").begin_array();
  for (const auto& place : plan.places) {
    w.begin_object()
        .key("machine")
        .text(place.machine)
        .key("tasks")
        .count(place.tasks)
        .end_object();
  }
  w.end_array().key("moves").begin_array();
  for (const auto& move : plan.moves) {
    w.begin_object()
        .key("task")
        .text(wire::to_string(move.task))
        .key("attempt")
        .count(move.attempt);
    w.key("from").text(move.source).key("to").text(move.target);
    w.key("step").text(to_string(move.step)).end_object();
  }
  w.end_array().end_object();
}

std::optional<PlannedPlace> read_place(const Json& object) {
  if (!object.IsObject()) return std::nullopt;
  const auto machine = wire::read_text(object, "machine");
  const auto tasks = wire::read_count(object, "tasks");
  if (!machine || !tasks || *tasks == 0 || *tasks > wire::kMaxTasks) return std::nullopt;
  return PlannedPlace{*machine, static_cast<std::uint32_t>(*tasks)};
}

std::optional<PlannedMove> read_move(const Json& object) {
  if (!object.IsObject()) return std::nullopt;
  const auto task = wire::parse_task(wire::read_text(object, "task").value_or(""));
  const auto attempt = wire::read_count(object, "attempt");
  const auto source = wire::read_text(object, "from"), target = wire::read_text(object, "to");
  const auto step = parse_move_step(wire::read_text(object, "step").value_or(""));
  if (!task || !attempt || !source || !target || !step) return std::nullopt;
  return PlannedMove{*task, *attempt, *source, *target, *step};
}

/// The elements of a JSON array; no value if it is not an array or an element is malformed.
template <typename Element>
std::optional<std::vector<Element>> read_list(const Json& object, const char* name,
                                              std::optional<Element> (*read)(const Json&)) {
  const Json* list = wire::find(object, name);
  if (list == nullptr || !list->IsArray()) return std::nullopt;
  std::vector<Element> elements;
  for (const auto& item : list->GetArray()) {
    auto element = read(item);
    if (!element) return std::nullopt;
    elements.push_back(std::move(*element));
  }
  return elements;
}

std::optional<MovePlan> read_plan(const Json& object) {
  if (!object.IsObject()) return std::nullopt;
  const auto id = wire::read_text(object, "id"), job = wire::read_text(object, "job");
  const auto begun_ms = wire::read_amount(object, "begun_ms");
  const auto cost_s = wire::read_amount(object, "cost_s");
  const auto boot_s = wire::read_amount(object, "boot_s");
  auto places = read_list(object, "places", read_place);
  auto moves = read_list(object, "moves", read_move);
  if (!id || !job || !begun_ms || !cost_s || !boot_s || !places || !moves) return std::nullopt;
  return MovePlan{*id,
                  *job,
                  static_cast<std::int64_t>(*begun_ms),
                  *cost_s,
                  *boot_s,
                  std::move(*places),
                  std::move(*moves)};
}

std::optional<PastMove> read_past(const Json& object) {
  if (!object.IsObject()) return std::nullopt;
  const auto job = wire::read_text(object, "job");
  const auto begun_ms = wire::read_amount(object, "begun_ms");
  if (!job || !begun_ms) return std::nullopt;
  return PastMove{*job, static_cast<std::int64_t>(*begun_ms)};
}

}  // namespace

const char* to_string(MoveStep step) {
  for (const auto& [known, name] : kStepNames) {
    if (known == step) return name;
  }
  return "";
}

std::optional<MoveStep> parse_move_step(const std::string& name) {
  for (const auto& [step, known] : kStepNames) {
    if (name == known) return step;
  }
  return std::nullopt;
}

std::string write_move_record(const MoveRecord& record) {
  JsonWriter w;
  w.begin_object();
  if (record.plan) {
    w.key("plan");
    write_plan(w, *record.plan);
  }
  w.key("past").begin_array();
  for (const auto& move : record.past) {
    w.begin_object().key("job").text(move.job).key("begun_ms").integer(move.begun_ms).end_object();
  }
  w.end_array().end_object();
  return w.take();
}

std::optional<MoveRecord> read_move_record(const std::string& text) {
  const JsonDocument document(text);
  if (!document.is_object()) return std::nullopt;
  MoveRecord record;
  auto past = read_list(document.root(), "past", read_past);
  if (!past) return std::nullopt;
  record.past = std::move(*past);
  const Json* plan = wire::find(document.root(), "plan");
  if (plan == nullptr) return record;
  record.plan = read_plan(*plan);
  if (!record.plan) return std::nullopt;
  return record;
}

}  // namespace cranklock::defrag
