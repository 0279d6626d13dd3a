// What the operator allows of moves around fragments (docs/defragmentation.md).
#pragma once

#include <string>

namespace pugi {
class xml_node;
}

namespace cranklock::base {

/// Where a router is asked to drain replicas. Empty where the operator names none.
struct DrainEndpoint {
  std::string address;  ///< "10.0.0.9:8080"
  std::string path;     ///< "/drains"

  bool named() const { return !address.empty(); }
};

struct DefragSettings {
  double advise_every_s = 0;  ///< between two looks for moves that are only logged; 0: none
  bool moves = false;         ///< plans are carried out
  DrainEndpoint drain;        ///< replicas move only where it is named
};

/// Reads `<defrag advise_every_s moves drain/>`. Throws SettingsError naming `path`, the field and
/// what was expected.
DefragSettings read_defrag_settings(const pugi::xml_node& element, const std::string& path);

}  // namespace cranklock::base
