#include "wire/cloud_api.hpp"

#include <utility>

#include "wire/enum_names.hpp"

namespace cranklock::wire {
namespace {

constexpr EnumNames<MachineState, 3> kMachineStates{{{MachineState::booting, "booting"},
                                                     {MachineState::running, "running"},
                                                     {MachineState::failed, "failed"}}};

bool read_amounts(const Json& object, MachineType& type) {
  struct Amount {
    const char* field;
    double* value;
  };
  for (const auto& [field, value] :
       {Amount{"Cpus", &type.resources.cpus}, Amount{"Accelerators", &type.resources.gpus},
        Amount{"MemGb", &type.resources.memory_gb}, Amount{"CacheGb", &type.cache_gb},
        Amount{"PullGbPerS", &type.fetch_gb_per_s}, Amount{"Price", &type.price},
        Amount{"SpotPrice", &type.spot_price}, Amount{"ReadyS", &type.ready_s}}) {
    const auto amount = read_amount(object, field);
    if (!amount || *amount < 0) return false;
    *value = *amount;
  }
  return true;
}

std::optional<MachineType> read_machine_type(const Json& object) {
  MachineType type;
  const auto name = read_text(object, "Label");
  const auto zones = read_texts(object, "Yards");
  if (!name || !zones || !read_amounts(object, type)) return std::nullopt;
  type.name = *name;
  type.zones = *zones;
  return type;
}

std::optional<ListedMachine> read_listed_machine(const Json& object) {
  const auto id = read_text(object, "Id");
  const auto type = read_text(object, "Frame");
  const auto zone = read_text(object, "Yard");
  const auto state = read_enum(kMachineStates, object, "Stance");
  if (!id || !type || !zone || !state) return std::nullopt;
  ListedMachine machine;
  machine.id = *id;
  machine.address = read_text(object, "Address").value_or("");
  machine.type = *type;
  machine.zone = *zone;
  machine.spot = read_flag(object, "Loaners").value_or(false);
  machine.state = *state;
  machine.age_s = read_amount(object, "HeldS").value_or(0);
  return machine;
}

void write_machine_type(JsonWriter& writer, const MachineType& type) {
  writer.begin_object();
  writer.key("Label").text(type.name);
  writer.key("Cpus").amount(type.resources.cpus);
  writer.key("Accelerators").amount(type.resources.gpus);
  writer.key("MemGb").amount(type.resources.memory_gb);
  writer.key("CacheGb").amount(type.cache_gb);
  writer.key("PullGbPerS").amount(type.fetch_gb_per_s);
  writer.key("Price").amount(type.price);
  writer.key("SpotPrice").amount(type.spot_price);
  writer.key("ReadyS").amount(type.ready_s);
  writer.key("Yards").begin_array();
  for (const auto& zone : type.zones) writer.text(zone);
  writer.end_array().end_object();
}

}  // namespace

std::optional<std::vector<MachineType>> parse_machine_types(std::string_view text) {
  return parse_object(text, [](const Json& object) {
    return read_list<MachineType>(object, "Frames", read_machine_type);
  });
}

void write_machine_types(JsonWriter& writer, const std::vector<MachineType>& types) {
  writer.begin_object().key("Frames").begin_array();
  for (const auto& type : types) write_machine_type(writer, type);
  writer.end_array().end_object();
}

std::string scale_out_request(const ScaleOutRequest& request) {
  JsonWriter writer;
  writer.begin_object();
  writer.key("Charter").text(request.request_id);
  writer.key("Frame").text(request.type);
  writer.key("Yard").text(request.zone);
  writer.key("Loaners").flag(request.spot);
  writer.key("Count").integer(request.count);
  writer.end_object();
  return writer.take();
}

std::optional<std::vector<std::string>> parse_scale_out_response(std::string_view body) {
  return parse_object(body, [](const Json& object) { return read_texts(object, "Rigs"); });
}

std::string deletion_request(const std::vector<std::string>& machines) {
  JsonWriter writer;
  writer.begin_object().key("Rigs").begin_array();
  for (const auto& machine : machines) writer.text(machine);
  writer.end_array().end_object();
  return writer.take();
}

std::optional<MachinePage> parse_machine_page(std::string_view body) {
  return parse_object(body, [](const Json& object) -> std::optional<MachinePage> {
    auto machines = read_list<ListedMachine>(object, "Rigs", read_listed_machine);
    if (!machines) return std::nullopt;
    return MachinePage{std::move(*machines), read_flag(object, "HasNext").value_or(false)};
  });
}

std::string machine_page_query(std::string_view after, int max_items) {
  std::string query = "Most=" + std::to_string(max_items);
  if (!after.empty()) query.append("&Since=").append(after);
  return query;
}

}  // namespace cranklock::wire
