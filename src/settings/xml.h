// XML held against a schema, as a tree of values that frees itself. Errors: SettingsError (deployment.h).
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/deployment.h"

namespace lupinsill::settings {

struct Element {
  std::string name;
  int line = 0;
  std::vector<std::pair<std::string, std::string>> attributes;
  std::vector<Element> children;

  const std::string* attribute(std::string_view wanted) const;
  std::string text(std::string_view wanted) const;  // empty where it is missing
  const Element* child(std::string_view wanted) const;
};

// Parses and validates; defaults of the schema are filled in. No entity, network or include is followed.
Element readXml(const std::string& file, std::string_view schema);
std::string writeXml(const std::string& file, std::string_view schema);

[[noreturn]] void throwSettingsError(const std::string& file, const Element& at, const std::string& why);

}  // namespace lupinsill::settings
