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

// Thrown for a missing, malformed or out-of-range field; the text names the field.
struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws InvalidInput with the text "field: reason".
[[noreturn]] void failInvalid(const std::string& field, const std::string& reason);

// Convert a value and throw InvalidInput if it has another type or is out of range.
std::int64_t parseInteger(const Json& value, const std::string& field,
                          std::int64_t min = std::numeric_limits<std::int64_t>::min(),
                          std::int64_t max = std::numeric_limits<std::int64_t>::max());
double parseNumber(const Json& value, const std::string& field);
std::string parseText(const Json& value, const std::string& field);
// Returns whole microseconds.
Micros parseNanoseconds(const Json& value, const std::string& field);

// Returns null if the key is absent or its value is null.
const Json* findMember(const Json& object, const char* key);
// Read an optional member; `into` keeps its value if the key is absent or null.
void read(const Json& object, const char* key, double& into);
void read(const Json& object, const char* key, int& into);
void read(const Json& object, const char* key, bool& into);
void read(const Json& object, const char* key, std::string& into);
void readMicros(const Json& object, const char* key, Micros& into);
// Return an optional array or object; empty if the key is absent or null.
const Json& listIn(const Json& object, const char* key);
const Json& objectIn(const Json& object, const char* key);
// Returns null if there is no such element or it is null.
const Json* itemIn(const Json& list, std::size_t index);
// Returns the index of the name, or -1.
int indexOf(const std::vector<std::string>& names, const std::string& name);

// Maps a text to the value of the same name; throws InvalidInput for an unknown one.
template <class E>
E parseEnum(const std::string& text, const std::string& field,
            std::initializer_list<std::pair<const char*, E>> known) {
  for (const auto& [name, value] : known)
    if (text == name) return value;
  failInvalid(field, "unknown word '" + text + "'");
}

}  // namespace lupinsill::control_settings
