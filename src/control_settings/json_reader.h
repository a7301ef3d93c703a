// Reads members of a JSON settings object. Every error names the field.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "control.h"

namespace lupinsill::control_settings {

using Json = nlohmann::json;

struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

[[noreturn]] void failInvalid(const std::string& what, const std::string& why);
std::int64_t parseInteger(const Json& value, const std::string& what,
                          std::int64_t least = std::numeric_limits<std::int64_t>::min(),
                          std::int64_t most = std::numeric_limits<std::int64_t>::max());
double parseNumber(const Json& value, const std::string& what);
std::string parseText(const Json& value, const std::string& what);
Micros parseNanoseconds(const Json& nanos, const std::string& what);

// A key that is absent or null keeps what stands there already.
const Json* findMember(const Json& object, const char* key);
void read(const Json& object, const char* key, double& into);
void read(const Json& object, const char* key, int& into);
void read(const Json& object, const char* key, bool& into);
void read(const Json& object, const char* key, std::string& into);
void readMicros(const Json& object, const char* key, Micros& into);
const Json& listIn(const Json& object, const char* key);
const Json& objectIn(const Json& object, const char* key);
const Json* itemIn(const Json& list, std::size_t index);
int indexOf(const std::vector<std::string>& names, const std::string& name);

template <class E>
E parseEnum(const std::string& word, const std::string& what,
            std::initializer_list<std::pair<const char*, E>> known) {
  for (const auto& [name, value] : known)
    if (word == name) return value;
  failInvalid(what, "unknown word '" + word + "'");
}

}  // namespace lupinsill::control_settings
