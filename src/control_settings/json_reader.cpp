#include "control_settings/json_reader.h"

#include <algorithm>
#include <cmath>

namespace lupinsill::control_settings {

void failInvalid(const std::string& field, const std::string& reason) {
  throw InvalidInput(field + ": " + reason);
}

std::int64_t parseInteger(const Json& value, const std::string& field, std::int64_t min, std::int64_t max) {
  std::int64_t integer = 0;
  if (value.is_number_unsigned()) {
    const auto unsignedValue = value.get<std::uint64_t>();
    if (unsignedValue > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
      failInvalid(field, "out of range");
    integer = static_cast<std::int64_t>(unsignedValue);
  } else if (value.is_number_integer()) {
    integer = value.get<std::int64_t>();
  } else if (value.is_number_float()) {
    const double number = value.get<double>();
    if (!(std::abs(number) < 9e15) || number != std::floor(number)) failInvalid(field, "not a whole number");
    integer = static_cast<std::int64_t>(number);
  } else {
    failInvalid(field, "not a number");
  }
  if (integer < min || integer > max) failInvalid(field, "out of range");
  return integer;
}

double parseNumber(const Json& value, const std::string& field) {
  if (!value.is_number()) failInvalid(field, "not a number");
  const double number = value.get<double>();
  if (!std::isfinite(number)) failInvalid(field, "out of range");
  return number;
}

std::string parseText(const Json& value, const std::string& field) {
  if (!value.is_string()) failInvalid(field, "not text");
  return value.get<std::string>();
}

Micros parseNanoseconds(const Json& value, const std::string& field) {
  return parseInteger(value, field) / 1000;
}

const Json* findMember(const Json& object, const char* key) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}
void read(const Json& object, const char* key, double& into) {
  if (const Json* value = findMember(object, key)) into = parseNumber(*value, key);
}
void read(const Json& object, const char* key, int& into) {
  if (const Json* value = findMember(object, key))
    into = static_cast<int>(parseInteger(*value, key, -1'000'000'000, 1'000'000'000));
}
void readMicros(const Json& object, const char* key, Micros& into) {
  if (const Json* value = findMember(object, key)) into = parseNanoseconds(*value, key);
}
void read(const Json& object, const char* key, bool& into) {
  if (const Json* value = findMember(object, key)) {
    if (!value->is_boolean()) failInvalid(key, "not true or false");
    into = value->get<bool>();
  }
}
void read(const Json& object, const char* key, std::string& into) {
  if (const Json* value = findMember(object, key)) into = parseText(*value, key);
}
const Json& listIn(const Json& object, const char* key) {
  static const Json empty = Json::array();
  const Json* value = findMember(object, key);
  if (value == nullptr) return empty;
  if (!value->is_array()) failInvalid(key, "not an array");
  return *value;
}
const Json& objectIn(const Json& object, const char* key) {
  static const Json empty = Json::object();
  const Json* value = findMember(object, key);
  if (value == nullptr) return empty;
  if (!value->is_object()) failInvalid(key, "not an object");
  return *value;
}
const Json* itemIn(const Json& list, std::size_t index) {
  return index < list.size() && !list[index].is_null() ? &list[index] : nullptr;
}

int indexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

}  // namespace lupinsill::control_settings
