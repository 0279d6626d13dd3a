#include "wire/json.hpp"

#include <cmath>

namespace cranklock::wire {

const Json* find(const Json& object, const char* name) {
  if (!object.IsObject()) return nullptr;
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

std::optional<std::string> read_text(const Json& object, const char* name) {
  const Json* v = find(object, name);
  if (v == nullptr || !v->IsString()) return std::nullopt;
  return std::string(v->GetString(), v->GetStringLength());
}

std::optional<double> read_amount(const Json& object, const char* name) {
  const Json* v = find(object, name);
  if (v == nullptr || !v->IsNumber() || !std::isfinite(v->GetDouble())) return std::nullopt;
  return v->GetDouble();
}

std::optional<std::uint64_t> read_count(const Json& object, const char* name) {
  const Json* v = find(object, name);
  if (v == nullptr || !v->IsUint64()) return std::nullopt;
  return v->GetUint64();
}

std::optional<bool> read_flag(const Json& object, const char* name) {
  const Json* v = find(object, name);
  if (v == nullptr || !v->IsBool()) return std::nullopt;
  return v->GetBool();
}

std::string to_text(const Json& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace cranklock::wire
