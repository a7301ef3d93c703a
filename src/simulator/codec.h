// The wire of the drill: JSON in and out. Its names and its nanoseconds end here.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control.h"
#include "control_settings/control_settings.h"

namespace lupinsill::simulator {

using control_settings::InvalidInput;
using control_settings::Json;
using control_settings::Names;

// One message: its name and its values in the order of the wire, with typed access that says what is wrong.
class Message {
 public:
  explicit Message(const Json& array);
  const std::string& name() const { return name_; }
  const Json& value(std::size_t place) const;
  std::int64_t whole(std::size_t place, const char* what) const;
  std::string text(std::size_t place, const char* what) const;

 private:
  const Json& array_;
  std::string name_;
};

Micros clockOf(const Json& nanos);
ListKind listKindOf(const std::string& word);
std::vector<ListEntry> entriesOf(const Json& rows, const Names& names);
void checkRows(const Json& rows);
bool isKnownEvent(const std::string& name);
// An event of the instance, or nothing where the module has no use for it.
std::vector<Event> eventOf(const Message& message, const Names& names);
Json wireOf(std::int64_t instance, const Action& action);

}  // namespace lupinsill::simulator
