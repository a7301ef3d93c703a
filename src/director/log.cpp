#include "director/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>

namespace lupinsill::director {
namespace {

struct LogSink {
  std::shared_ptr<spdlog::logger> logger;
  std::string director;
  bool json = false;
};
LogSink& logSink() {
  static LogSink instance;
  return instance;
}

}  // namespace

void setUpLog(const std::string& level, const std::string& format, const std::string& director) {
  LogSink& target = logSink();
  if (!target.logger)
    target.logger =
        std::make_shared<spdlog::logger>("lupinsill", std::make_shared<spdlog::sinks::stderr_sink_st>());
  target.director = director;
  target.json = format == "json";
  target.logger->set_level(spdlog::level::from_str(level == "warn" ? "warning" : level));
  target.logger->flush_on(spdlog::level::warn);
  if (target.json)
    target.logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v})",
                               spdlog::pattern_time_type::utc);
  else
    target.logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
}

void log(Level level, const char* event, Fields fields) {
  const LogSink& target = logSink();
  if (!target.logger) return;
  const auto spdlogLevel = level == Level::debug  ? spdlog::level::debug
                           : level == Level::info ? spdlog::level::info
                           : level == Level::warn ? spdlog::level::warn
                                                  : spdlog::level::err;
  if (!target.logger->should_log(spdlogLevel)) return;
  std::string text;
  if (target.json) {
    nlohmann::ordered_json json{{"event", event}, {"director", target.director}};
    for (const auto& [key, value] : fields) json[key] = value;
    text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    text = text.substr(1, text.size() - 2);
  } else {
    text = target.director + " " + event;
    for (const auto& [key, value] : fields) text += std::string(" ") + key + "=" + value;
  }
  target.logger->log(spdlogLevel, "{}", text);
}

}  // namespace lupinsill::director
