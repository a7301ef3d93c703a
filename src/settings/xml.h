// Reads XML files, validates them against a schema and returns them as a tree of plain values.
// Errors: SettingsError (deployment.h).
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/deployment.h"

namespace lupinsill::settings {

// An XML element. Text content is not kept: the schemas have none.
struct Element {
  std::string name;
  int line = 0;  // in the file, from 1
  std::vector<std::pair<std::string, std::string>> attributes;
  std::vector<Element> children;

  // The value of an attribute; null if it is missing.
  const std::string* attribute(std::string_view wanted) const;
  // The value of an attribute; empty if it is missing.
  std::string text(std::string_view wanted) const;
  // The first child of that name; null if there is none.
  const Element* child(std::string_view wanted) const;
};

// Parses and validates a file. `schema` is the text of an XSD schema, whose default values are filled in.
// Entities are not expanded, and nothing is loaded from the network or from other files.
Element readXml(const std::string& file, std::string_view schema);
// Like readXml, but returns the document as formatted XML, defaults included.
std::string formatXml(const std::string& file, std::string_view schema);

// Throws SettingsError for an element of a file; `reason` says what was expected.
[[noreturn]] void throwSettingsError(const std::string& file, const Element& at, const std::string& reason);

}  // namespace lupinsill::settings
