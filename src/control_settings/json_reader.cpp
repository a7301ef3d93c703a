#include "control_settings/json_reader.h"

#include <algorithm>
#include <cmath>

namespace lupinsill::control_settings {

void failInvalid(const std::string& what, const std::string& why) { throw InvalidInput(what + ": " + why); }

std::int64_t parseInteger(const Json& value, const std::string& what, std::int64_t least, std::int64_t most) {
  std::int64_t whole = 0;
  if (value.is_number_unsigned()) {
    const auto big = value.get<std::uint64_t>();
    if (big > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
      failInvalid(what, "out of range");
    whole = static_cast<std::int64_t>(big);
  } else if (value.is_number_integer()) {
    whole = value.get<std::int64_t>();
  } else if (value.is_number_float()) {
    const double real = value.get<double>();
    if (!(std::abs(real) < 9e15) || real != std::floor(real)) failInvalid(what, "not a whole number");
    whole = static_cast<std::int64_t>(real);
  } else {
    failInvalid(what, "not a number");
  }
  if (whole < least || whole > most) failInvalid(what, "out of range");
  return whole;
}

double parseNumber(const Json& value, const std::string& what) {
  if (!value.is_number()) failInvalid(what, "not a number");
  const double real = value.get<double>();
  if (!std::isfinite(real)) failInvalid(what, "out of range");
  return real;
}

std::string parseText(const Json& value, const std::string& what) {
  if (!value.is_string()) failInvalid(what, "not text");
  return value.get<std::string>();
}

Micros parseNanoseconds(const Json& nanos, const std::string& what) {
  return parseInteger(nanos, what) / 1000;
}

// A key that is absent or null keeps what stands there already.
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
  static const Json none = Json::array();
  const Json* value = findMember(object, key);
  if (value == nullptr) return none;
  if (!value->is_array()) failInvalid(key, "not an array");
  return *value;
}
const Json& objectIn(const Json& object, const char* key) {
  static const Json none = Json::object();
  const Json* value = findMember(object, key);
  if (value == nullptr) return none;
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
