// Messages between controllers and the cloud: machine types, scale-out requests, deletions and the
// list of machines.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json.hpp"
#include "wire/types.hpp"

namespace cranklock::wire {

struct MachineType {
  std::string name;
  Resources resources;
  double cache_gb = 0;        ///< for images
  double fetch_gb_per_s = 1;  ///< download rate of images
  double price = 0, spot_price = 0;
  double ready_s = 60;  ///< boot time according to the cloud
  std::vector<std::string> zones;
};
/// Returns none if the text is malformed. The cloud's response and the stored copy have the same
/// form.
std::optional<std::vector<MachineType>> parse_machine_types(std::string_view text);
void write_machine_types(JsonWriter& writer, const std::vector<MachineType>& types);

struct ScaleOutRequest {
  std::string request_id;  ///< never used for another request (invariant 8)
  std::string type, zone;
  bool spot = false;
  int count = 1;
};
std::string scale_out_request(const ScaleOutRequest& request);
/// Returns the ids of the new machines; none if the body is malformed.
std::optional<std::vector<std::string>> parse_scale_out_response(std::string_view body);

std::string deletion_request(const std::vector<std::string>& machines);

enum class MachineState { booting, running, failed };
/// A machine in the cloud's list, which may be stale.
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
/// Returns none if the body is malformed.
std::optional<MachinePage> parse_machine_page(std::string_view body);
/// Query for the page after the machine with the id `after`, or for the first page if it is empty.
std::string machine_page_query(std::string_view after, int max_items);

}  // namespace cranklock::wire
