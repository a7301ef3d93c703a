// Structured log lines on standard error through spdlog: an event's name and its fields, as text for people
// or as one JSON object a line for machines. Times are UTC.
#pragma once

#include <initializer_list>
#include <string>
#include <utility>

namespace lupinsill::director {

enum class Level { debug, info, warn, error };
using Fields = std::initializer_list<std::pair<const char*, std::string>>;

// `level` and `form` as the settings' schema words them. May be called again.
void setUpLog(const std::string& level, const std::string& form, const std::string& director);
void log(Level level, const char* event, Fields fields = {});

}  // namespace lupinsill::director
