#include "control/record_keys.hpp"

#include <string_view>

namespace cranklock::control {
namespace {

constexpr const char* kOutcomesPrefix = "ended/";
constexpr const char* kPartsPrefix = "parts/";

std::string without_prefix(const std::string& key, std::string_view prefix) {
  return key.substr(prefix.size());
}

}  // namespace

std::string job_key(const std::string& job_id) {
  return kJobsPrefix + job_id;
}

std::string job_id_from_key(const std::string& key) {
  return without_prefix(key, kJobsPrefix);
}

std::string outcome_key(const std::string& job_id) {
  return kOutcomesPrefix + job_id;
}

std::string part_key(const std::string& job_id, int part) {
  return kPartsPrefix + job_id + "/" + std::to_string(part);
}

std::string pool_key(const std::string& pool_name) {
  return kPoolsPrefix + pool_name;
}

std::string pool_name_from_key(const std::string& key) {
  return without_prefix(key, kPoolsPrefix);
}

}  // namespace cranklock::control
