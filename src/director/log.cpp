#include "director/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>

namespace lupinsill::director {
namespace {

struct Sink {
  std::shared_ptr<spdlog::logger> logger;
  std::string director;
  bool json = false;
};
Sink& sink() {
  static Sink one;
  return one;
}

}  // namespace

void setUpLog(const std::string& level, const std::string& form, const std::string& director) {
  Sink& s = sink();
  if (!s.logger)
    s.logger =
        std::make_shared<spdlog::logger>("lupinsill", std::make_shared<spdlog::sinks::stderr_sink_st>());
  s.director = director;
  s.json = form == "json";
  s.logger->set_level(spdlog::level::from_str(level == "warn" ? "warning" : level));
  s.logger->flush_on(spdlog::level::warn);
  if (s.json)
    s.logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v})",
                          spdlog::pattern_time_type::utc);
  else
    s.logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
}

void log(Level level, const char* event, Fields fields) {
  const Sink& s = sink();
  if (!s.logger) return;
  const auto at = level == Level::debug  ? spdlog::level::debug
                  : level == Level::info ? spdlog::level::info
                  : level == Level::warn ? spdlog::level::warn
                                         : spdlog::level::err;
  if (!s.logger->should_log(at)) return;
  std::string text;
  if (s.json) {
    nlohmann::ordered_json json{{"event", event}, {"director", s.director}};
    for (const auto& [key, value] : fields) json[key] = value;
    text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    text = text.substr(1, text.size() - 2);
  } else {
    text = s.director + " " + event;
    for (const auto& [key, value] : fields) text += std::string(" ") + key + "=" + value;
  }
  s.logger->log(at, "{}", text);
}

}  // namespace lupinsill::director
