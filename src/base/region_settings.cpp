#include "base/region_settings.hpp"

#include <algorithm>
#include <cstdlib>
#include <initializer_list>
#include <pugixml.hpp>
#include <string_view>

#include "base/settings.hpp"

namespace cranklock::base {
namespace {

constexpr std::size_t kMaxRegionNameBytes = 64;  // limit of names in frames (peer/packing.hpp)
constexpr double kSumTolerance = 1e-9;           // rounding of sums of decimal fractions

[[noreturn]] void fail(const std::string& path, const std::string& field,
                       const std::string& expected) {
  throw SettingsError(path + ": " + field + ": expected " + expected);
}

/// Names become parts of keys in the key-value store.
bool valid_name(std::string_view name) {
  return !name.empty() && name.size() <= kMaxRegionNameBytes &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                  c == '-' || c == '_' || c == '.';
         });
}

void check_attributes(const pugi::xml_node& element, const std::string& path,
                      const std::string& where, std::initializer_list<std::string_view> known) {
  for (const auto& attribute : element.attributes()) {
    if (std::find(known.begin(), known.end(), attribute.name()) == known.end()) {
      fail(path, where + "/" + attribute.name(), "a known attribute");
    }
  }
}

std::string read_name(const pugi::xml_node& element, const char* attribute, const std::string& path,
                      const std::string& where) {
  std::string name = element.attribute(attribute).value();
  if (!valid_name(name)) {
    fail(path, where + "/" + attribute, "1 to 64 letters, digits, dots, dashes or underscores");
  }
  return name;
}

double read_initial_share(const pugi::xml_node& element, const std::string& path,
                          const std::string& where) {
  const auto attribute = element.attribute("share");
  if (!attribute) return 0;
  char* end = nullptr;
  const double share = std::strtod(attribute.value(), &end);
  if (end == attribute.value() || *end != 0 || !(share >= 0 && share <= 1)) {
    fail(path, where + "/share", "a number from 0 to 1");
  }
  return share;
}

Region read_region(const pugi::xml_node& element, const std::string& path) {
  check_attributes(element, path, "region", {"name", "share"});
  Region region;
  region.name = read_name(element, "name", path, "region");
  const std::string where = "region " + region.name;
  region.initial_share = read_initial_share(element, path, where);
  for (const auto& child : element.children()) {
    if (child.type() != pugi::node_element) continue;
    if (std::string_view(child.name()) != "controller") {
      fail(path, where + "/" + child.name(), "the element controller");
    }
    check_attributes(child, path, where + "/controller", {"member", "address"});
    RegionController controller{read_name(child, "member", path, where + "/controller"),
                                child.attribute("address").value()};
    if (controller.address.find(':') == std::string::npos) {
      fail(path, where + "/controller/address", "host:port");
    }
    for (const auto& other : region.controllers) {
      if (other.member == controller.member) {
        fail(path, where + "/controller/member", "each controller once: " + controller.member);
      }
    }
    region.controllers.push_back(std::move(controller));
  }
  if (region.controllers.empty()) fail(path, where, "at least one controller");
  return region;
}

void check_consistency(const RegionSettings& settings, const std::string& path) {
  if (settings.regions.empty()) fail(path, "regions", "at least one region");
  if (settings.find(settings.self) == nullptr) fail(path, "regions/self", "one of the regions");
  if (settings.find(settings.bootstrap_region) == nullptr) {
    fail(path, "regions/founder", "one of the regions");
  }
  double sum = 0;
  for (const auto& region : settings.regions) sum += region.initial_share;
  if (sum > 1 + kSumTolerance) fail(path, "region/share", "shares that add up to at most 1");
}

}  // namespace

const Region* RegionSettings::find(const std::string& name) const {
  const auto found = std::find_if(regions.begin(), regions.end(),
                                  [&](const Region& region) { return region.name == name; });
  return found == regions.end() ? nullptr : &*found;
}

std::string RegionSettings::listen_address(const std::string& member) const {
  const Region* own = find(self);
  if (own == nullptr) return {};
  for (const auto& controller : own->controllers) {
    if (controller.member == member) return controller.address;
  }
  return {};
}

RegionSettings read_region_settings(const pugi::xml_node& element, const std::string& path) {
  check_attributes(element, path, "regions", {"self", "founder"});
  RegionSettings settings;
  settings.self = read_name(element, "self", path, "regions");
  settings.bootstrap_region = read_name(element, "founder", path, "regions");
  for (const auto& child : element.children()) {
    if (child.type() != pugi::node_element) continue;
    if (std::string_view(child.name()) != "region") {
      fail(path, std::string("regions/") + child.name(), "the element region");
    }
    Region region = read_region(child, path);
    if (settings.find(region.name) != nullptr) {
      fail(path, "region/name", "each region once: " + region.name);
    }
    settings.regions.push_back(std::move(region));
  }
  check_consistency(settings, path);
  return settings;
}

}  // namespace cranklock::base
