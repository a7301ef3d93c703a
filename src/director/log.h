// Structured log on standard error through spdlog: each line has the name of an event and its fields, as
// plain text or as one JSON object. Times are UTC.
#pragma once

#include <initializer_list>
#include <string>
#include <utility>

namespace lupinsill::director {

// Severity of an event.
enum class Level { debug, info, warn, error };
// Names and values of an event's fields, in the order in which they are written.
using Fields = std::initializer_list<std::pair<const char*, std::string>>;

// Configures the log; nothing is written before the first call. `level` is "debug", "info", "warn" or
// "error", `format` is "text" or "json", and `director` is named on every line. May be called again after a
// reload.
void setUpLog(const std::string& level, const std::string& format, const std::string& director);
// Writes one line if `level` is enabled.
void log(Level level, const char* event, Fields fields = {});

}  // namespace lupinsill::director
