// Converts between the JSON messages of the operators' simulator and the events and actions of the decision
// module. Each message is an array that starts with its name; field positions and names are fixed by the
// simulator. Times are nanoseconds in JSON and microseconds in C++. Invalid input throws InvalidInput, which
// names the field.
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

// Read access to one message by field position. Holds a reference to the array that it was made from.
class Message {
 public:
  explicit Message(const Json& array);
  const std::string& name() const { return name_; }
  // JSON null when the message has no such field.
  const Json& value(std::size_t index) const;
  std::int64_t integer(std::size_t index, const char* fieldName) const;
  std::string text(std::size_t index, const char* fieldName) const;

 private:
  const Json& array_;
  std::string name_;
};

Micros parseWallClock(const Json& nanos);
ListKind parseListKind(const std::string& text);
// Parses the rows of a node list; `names` resolves node kinds.
std::vector<ListEntry> parseListEntries(const Json& rows, const Names& names);
// Throws InvalidInput unless the rows are a valid node list.
void validateListEntries(const Json& rows);
bool isKnownEvent(const std::string& name);
// At most one event; empty for messages that the decision module does not use.
std::vector<Event> parseEvents(const Message& message, const Names& names);
Json serializeAction(std::int64_t instanceId, const Action& action);

}  // namespace lupinsill::simulator
