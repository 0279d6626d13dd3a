// Settings of defragmentation: whether tasks may be moved to join fragmented free capacity
// (docs/defragmentation.md).
#pragma once

#include <string>

namespace pugi {
class xml_node;
}

namespace cranklock::base {

/// Endpoint of the router that drains replicas. Empty if the operator has configured none.
struct DrainEndpoint {
  std::string address;  ///< "10.0.0.9:8080"
  std::string path;     ///< "/drains"

  bool is_configured() const { return !address.empty(); }
};

struct DefragSettings {
  double advise_every_s = 0;  ///< interval of searches whose moves are only logged; 0: no search
  bool moves = false;         ///< whether plans are executed, not only logged
  DrainEndpoint drain;        ///< replicas are moved only if it is configured
};

/// Reads `<defrag advise_every_s moves drain/>`. Throws SettingsError that names `path`, the field
/// and the expected value.
DefragSettings read_defrag_settings(const pugi::xml_node& element, const std::string& path);

}  // namespace cranklock::base
