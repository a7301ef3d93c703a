#include "lab/import.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "settings/deployment.h"

namespace lupinsill::lab {
namespace {

using Json = nlohmann::json;
// Limits of an imported day, so that one machine can run it.
constexpr int maxNodes = 20, maxDirectors = 4, maxRequests = 2500;
constexpr double maxLengthSeconds = 40;
// Share of nodes or directors that a fault affects where the bench's day states none, as the bench's
// descriptions have it.
constexpr double defaultFaultShare = 0.3;
// Shortest and longest viewing length.
constexpr double minLengthMicros = 0.6e6, maxLengthMicros = 1.4e6;  // per second of the mean

// A duration attribute, at least 1 ms.
std::string ms(double micros) {
  return std::to_string(std::max<long long>(1, std::llround(micros / 1000))) + "ms";
}

std::string number(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

// The lab's kind for a kind of fault of the bench, and what the bench's size of the fault means.
struct KindMapping {
  const char* labKind;
  enum class SizeMeaning { share, times, seconds, none } sizeMeaning;
};
const std::map<std::string, KindMapping>& kindMappings() {
  using Meaning = KindMapping::SizeMeaning;
  static const std::map<std::string, KindMapping> all{{"answer_lost", {"answers-lost", Meaning::none}},
                                                      {"hang", {"hang", Meaning::none}},
                                                      {"fast_errors", {"fast-errors", Meaning::share}},
                                                      {"slow", {"link-cut", Meaning::times}},
                                                      {"origin_slow", {"uplink-cut", Meaning::times}},
                                                      {"preempt", {"drain", Meaning::none}},
                                                      {"deploy", {"wave", Meaning::none}},
                                                      {"discovery_down", {"list-stale", Meaning::none}},
                                                      {"report_late", {"reports-late", Meaning::seconds}},
                                                      {"hot_key", {"crowd", Meaning::share}},
                                                      {"burst", {"burst", Meaning::times}},
                                                      {"balancer_crash", {"director-kill", Meaning::none}},
                                                      {"balancer_roll", {"director-roll", Meaning::none}},
                                                      {"balancer_stall", {"director-stop", Meaning::none}}};
  return all;
}

double mean(const Json& list) {
  double sum = 0;
  for (const Json& x : list) sum += x.get<double>();
  return list.empty() ? 0 : sum / static_cast<double>(list.size());
}

}  // namespace

std::string importDay(const std::string& benchDay, const std::string& folder) {
  std::ifstream in(benchDay);
  const Json day = Json::parse(in, nullptr, false);
  if (!day.is_object() || !day.contains("troubles") || !day.contains("fam"))
    throw settings::SettingsError(benchDay + ": not a day of the bench for video fleets");
  try {
    const Json &fam = day.at("fam"), &kind = day.at("tiers").at(0).at("kinds").at(0);
    const auto servers = static_cast<double>(day.at("servers").size());
    const auto balancers = static_cast<double>(day.at("balancers").size());
    const int nodes = static_cast<int>(std::min<double>(maxNodes, servers));
    const int directors = static_cast<int>(std::clamp<double>(balancers, 2, maxDirectors));
    const double cores = kind.at("cores").get<double>();
    const double linkKb = fam.at("core_kb").get<double>() * cores;
    const double benchLength = day.at("length").get<double>() / 1e6;
    const double timeScale = std::min(1.0, maxLengthSeconds / benchLength);
    // Seats are counted per director: each of fewer directors has more viewers of a title and needs more
    // seats.
    const double viewersPerDirectorFactor = std::max(1.0, (nodes / servers) / (directors / balancers));
    const int titles = std::max(8, static_cast<int>(fam.at("titles").get<double>() * nodes / servers));
    const Json& rates = fam.at("rates");
    const double medianRate = rates.at((rates.size() - 1) / 2).get<double>();
    double scale = 0;
    for (std::size_t i = 0; i < day.at("classes").size(); ++i)
      scale += day["classes"][i].at("share").get<double>() * fam.at("uses").at(i).at("scale").get<double>();
    const double meanLengthSeconds = fam.at("life_s").get<double>() * timeScale;
    const double requestsPerSecond = day.at("traffic").at("load").get<double>() * linkKb * nodes /
                                     (medianRate * scale * meanLengthSeconds);
    const int requests = std::min(maxRequests, static_cast<int>(requestsPerSecond * benchLength * timeScale));

    const int racks =
        std::max(1, static_cast<int>(std::lround(fam.at("racks").get<double>() * nodes / servers)));
    const double uplink = mean(fam.at("uplink_kb")) * (nodes / static_cast<double>(racks)) /
                          (servers / fam.at("racks").get<double>());
    std::filesystem::create_directories(folder);
    std::ofstream settingsXml(folder + "/settings.xml");
    settingsXml << "<lupinsill xmlns=\"urn:lupinsill:settings:1\">\n<director name=\"d0\" zone=\"zone0\"/>\n"
                << "<listen players=\"127.0.0.1:0\" admin=\"127.0.0.1:0\"/>\n"
                << "<list file=\"nodes.xml\" kept-as=\"last-list.xml\" look-every=\"50ms\"/>\n"
                << "<fleet cells=\"" << nodes << "\" racks=\"" << racks << "\" all-links-kb=\""
                << number(linkKb * nodes) << "\" rack-uplink-kb=\"" << number(uplink) << "\" weight-kb=\""
                << number(linkKb) << "\" refuses-from=\"" << number(fam.at("guard").get<double>())
                << "\"><kind name=\"node\" places=\""
                << std::max(1, static_cast<int>(fam.at("core_slots").get<double>() * cores))
                << "\"/></fleet>\n"
                << "<ladder switch-cost=\"" << ms(fam.at("switch_s").get<double>() * 1e6) << "\">\n";
    for (std::size_t i = 0; i < rates.size(); ++i)
      settingsXml << "<rung kb=\"" << number(rates[i].get<double>()) << "\" benefit=\""
                  << number(fam.at("worth").at(i).get<double>()) << "\"/>\n";
    settingsXml << "</ladder>\n<room-types>\n";
    std::ostringstream rooms;
    for (std::size_t i = 0; i < day["classes"].size(); ++i) {
      const Json &c = day["classes"][i], &use = fam["uses"][i];
      const std::string effect = c.at("effect").get<std::string>();
      // Room types are numbered; the bench's names are not taken over.
      settingsXml << "<room-type name=\"room-" << i << "\" effect=\""
                  << (effect == "safe"    ? "repeatable"
                      : effect == "keyed" ? "by-key"
                                          : "once")
                  << "\" window=\"" << ms(c.at("window").get<double>()) << "\" join-objective=\""
                  << ms(c.at("aim").get<double>()) << "\" client-timeout=\""
                  << ms(c.at("deadline").get<double>()) << "\" benefit=\""
                  << number(c.at("worth").get<double>()) << "\" rate-factor=\""
                  << number(use.at("scale").get<double>()) << "\" floor=\"" << use.at("floor").get<int>()
                  << "\" top=\"" << use.at("top").get<int>() << "\" seats=\""
                  << static_cast<int>(std::ceil(use.at("seats").get<double>() * viewersPerDirectorFactor))
                  << "\"/>\n";
      rooms << "<room name=\"room-" << i << "\" share=\"" << number(c.at("share").get<double>())
            << "\" least=\"" << ms(meanLengthSeconds * minLengthMicros) << "\" most=\""
            << ms(meanLengthSeconds * maxLengthMicros) << "\"/>\n";
    }
    const Json& tier = day["tiers"][0];
    const bool uplinks = std::any_of(tier.at("report_fields").begin(), tier.at("report_fields").end(),
                                     [](const Json& f) { return f == "x1"; });
    settingsXml << "</room-types>\n<reports every=\"" << ms(fam.at("tell").get<double>())
                << "\" seen-after=\"" << ms(fam.at("see").get<double>()) << "\" uplinks=\""
                << (uplinks ? "true" : "false") << "\"/>\n"
                << "<rules grace=\"" << ms(day.at("drain_grace").get<double>()) << "\" cold-time=\""
                << ms(tier.at("stated_cold").get<double>()) << "\" fall-time=\""
                << ms(day.at("fall_for").get<double>()) << "\" start-capacity=\""
                << number(tier.at("stated_cold_from").get<double>()) << "\" overload-factor=\""
                << number(day.at("fall_multiple").get<double>()) << "\" joins-most=\""
                << day.at("allow").at("max_attempts").get<int>()
                << "\"/>\n<answers margin=\"200ms\"/>\n<limits/>\n<log level=\"info\" "
                   "form=\"json\"/>\n</lupinsill>\n";

    std::ostringstream summary;
    std::ofstream dayXml(folder + "/day.xml");
    dayXml << "<day xmlns=\"urn:lupinsill:day:1\" settings=\"settings.xml\" length=\""
           << ms(benchLength * timeScale * 1e6) << "\">\n<fleet directors=\"" << directors << "\" nodes=\""
           << nodes << "\" zones=\"" << std::clamp<std::size_t>(day.at("zones").size(), 1, 2)
           << "\" link-kb=\"" << number(linkKb) << "\"/>\n"
           << "<players asks=\"" << std::max(1, requests) << "\" titles=\"" << titles << "\">\n"
           << rooms.str() << "</players>\n";
    std::size_t imported = 0;
    for (const Json& t : day.at("troubles")) {
      const std::string name = t.at("kind").get<std::string>();
      const auto mapping = kindMappings().find(name);
      if (mapping == kindMappings().end()) {
        summary << "left out: a fault of kind " << name << " has no counterpart in the lab\n";
        continue;
      }
      ++imported;
      const bool ofDirectors = name.starts_with("balancer_");
      const double size = t.at("size").get<double>();
      // A size that divides a capacity does not say how many nodes are affected.
      double share = mapping->second.sizeMeaning == KindMapping::SizeMeaning::times
                         ? defaultFaultShare
                         : std::clamp(size, 0.0, 1.0);
      if (!t.at("on").empty())
        share = static_cast<double>(t["on"].size()) / (ofDirectors ? balancers : servers);
      std::size_t stopped = 0;
      for (const Json& step : t.at("steps")) stopped += step.contains("stop") ? step["stop"].size() : 0;
      if (stopped > 0) share = static_cast<double>(stopped) / (ofDirectors ? balancers : servers);
      const double magnitude = mapping->second.sizeMeaning == KindMapping::SizeMeaning::times
                                   ? std::max(1.0, size)
                               : mapping->second.sizeMeaning == KindMapping::SizeMeaning::seconds
                                   ? std::max(0.5, t.at("extra").get<double>() / 1e6)
                                   : std::clamp(size, 0.05, 1.0);
      dayXml << "<trouble kind=\"" << mapping->second.labKind << "\" at=\""
             << ms(t.at("at").get<double>() * timeScale) << "\" for=\""
             << ms(t.at("len").get<double>() * timeScale) << "\" share=\""
             << number(std::clamp(share, 0.0, 1.0)) << "\" much=\"" << number(magnitude) << "\"/>\n";
    }
    dayXml << "</day>\n";
    summary << "fleet: " << nodes << " of " << servers << " nodes, " << directors << " of " << balancers
            << " directors\n"
            << "time: " << number(benchLength * timeScale) << " s of " << number(benchLength) << " s\n"
            << "asks: " << requests << "\ntroubles: " << imported << " of " << day["troubles"].size() << "\n"
            << folder << "/day.xml\n";
    return summary.str();
  } catch (const Json::exception& bad) {
    throw settings::SettingsError(benchDay + ": " + bad.what());
  }
}

}  // namespace lupinsill::lab
