#include "wire/json.hpp"

#include <cmath>

namespace cranklock::wire {

const Json* find(const Json& object, const char* field) {
  if (!object.IsObject()) return nullptr;
  const auto member = object.FindMember(field);
  if (member == object.MemberEnd() || member->value.IsNull()) return nullptr;
  return &member->value;
}

std::optional<std::string> read_text(const Json& object, const char* field) {
  const Json* value = find(object, field);
  if (value == nullptr || !value->IsString()) return std::nullopt;
  return std::string(value->GetString(), value->GetStringLength());
}

std::optional<double> read_amount(const Json& object, const char* field) {
  const Json* value = find(object, field);
  if (value == nullptr || !value->IsNumber() || !std::isfinite(value->GetDouble()))
    return std::nullopt;
  return value->GetDouble();
}

std::optional<std::uint64_t> read_count(const Json& object, const char* field) {
  const Json* value = find(object, field);
  if (value == nullptr || !value->IsUint64()) return std::nullopt;
  return value->GetUint64();
}

std::optional<bool> read_flag(const Json& object, const char* field) {
  const Json* value = find(object, field);
  if (value == nullptr || !value->IsBool()) return std::nullopt;
  return value->GetBool();
}

std::optional<std::vector<std::string>> read_texts(const Json& object, const char* field) {
  return read_list<std::string>(object, field, [](const Json& item) -> std::optional<std::string> {
    if (!item.IsString()) return std::nullopt;
    return std::string(item.GetString(), item.GetStringLength());
  });
}

std::string to_text(const Json& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace cranklock::wire
