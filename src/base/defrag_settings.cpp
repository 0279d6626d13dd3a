#include "base/defrag_settings.hpp"

#include <cstdlib>
#include <pugixml.hpp>
#include <string_view>

#include "base/settings.hpp"

namespace cranklock::base {
namespace {

[[noreturn]] void fail(const std::string& path, const pugi::xml_attribute& attribute,
                       const std::string& expected) {
  throw SettingsError(path + ": defrag/" + attribute.name() + ": expected " + expected);
}

double read_interval(const pugi::xml_attribute& attribute, const std::string& path) {
  constexpr double kMin = 1;
  char* end = nullptr;
  const double seconds = std::strtod(attribute.value(), &end);
  if (end == attribute.value() || *end != 0 || !(seconds >= kMin)) {
    fail(path, attribute, "a number of at least " + std::to_string(kMin));
  }
  return seconds;
}

bool read_on_off(const pugi::xml_attribute& attribute, const std::string& path) {
  const std::string_view value = attribute.value();
  if (value != "on" && value != "off") fail(path, attribute, "on or off");
  return value == "on";
}

/// Parses "http://host:port/path".
DrainEndpoint read_endpoint(const pugi::xml_attribute& attribute, const std::string& path) {
  constexpr std::string_view kScheme = "http://", kExpected = "http://host:port/path";
  std::string_view url = attribute.value();
  if (!url.starts_with(kScheme)) fail(path, attribute, std::string(kExpected));
  url.remove_prefix(kScheme.size());
  const auto slash = url.find('/');
  const auto colon = url.substr(0, slash).rfind(':');
  const bool has_port_and_path = slash != std::string_view::npos && colon != std::string_view::npos;
  if (!has_port_and_path || colon == 0 || url.find(' ') != std::string_view::npos) {
    fail(path, attribute, std::string(kExpected));
  }
  const std::string port_text(url.substr(colon + 1, slash - colon - 1));
  char* end = nullptr;
  const long port = std::strtol(port_text.c_str(), &end, 10);
  constexpr long kMaxPort = 65535;
  if (port_text.empty() || *end != 0 || port < 1 || port > kMaxPort) {
    fail(path, attribute, std::string(kExpected));
  }
  return {std::string(url.substr(0, slash)), std::string(url.substr(slash))};
}

}  // namespace

DefragSettings read_defrag_settings(const pugi::xml_node& element, const std::string& path) {
  DefragSettings settings;
  for (const auto& attribute : element.attributes()) {
    const std::string_view name = attribute.name();
    if (name == "advise_every_s") {
      settings.advise_every_s = read_interval(attribute, path);
    } else if (name == "moves") {
      settings.moves = read_on_off(attribute, path);
    } else if (name == "drain") {
      settings.drain = read_endpoint(attribute, path);
    } else {
      fail(path, attribute, "a known attribute");
    }
  }
  if (settings.drain.is_configured() && !settings.moves) {
    throw SettingsError(path + ": defrag/moves: expected on, where drain is named");
  }
  return settings;
}

}  // namespace cranklock::base
