// The program's command line. Exit codes: 0 done; 1 a check or a day found something; 2 the command or its
// settings are wrong; 3 the machine refused (a port in use, a director out of reach).
#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>
#include <map>

#include "baseline/baseline.h"
#include "control_settings/control_settings.h"
#include "director/admin.h"
#include "director/director.h"
#include "history/play.h"
#include "lab/clients.h"
#include "lab/import.h"
#include "lab/plant.h"
#include "lab/run.h"
#include "platform/run.h"
#include "settings/deployment.h"
#include "store/store.h"
#include "ticket/ticket.h"

namespace {

using namespace lupinsill;

constexpr int found = 1, wrong = 2, refused = 3;

int complain(int code, const std::string& why) {
  std::fprintf(stderr, "lupinsill: %s\n", why.c_str());
  return code;
}

settings::Endpoint endpointOf(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) throw settings::BadSettings(text + ": expected host:port");
  return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

int askDirector(const std::string& at, const std::string& method, const std::string& path) {
  const director::AdminAnswer answer = director::askAdmin(endpointOf(at), method, path);
  if (answer.status == 0) return complain(refused, at + ": no director answers there");
  std::fputs(answer.body.c_str(), stdout);
  return answer.status == 200 ? 0 : found;
}

int listLedger(const std::string& file) {
  const store::Found stands = store::list(file);
  for (const ledger::Record& record : stands.records) {
    for (const unsigned char byte : record.key.bytes) std::printf("%02x", byte);
    std::printf(" %-12s %lld\n", ledger::nameOf(record.state),
                static_cast<long long>(record.until / 1'000'000));
  }
  return stands.whole ? 0 : complain(found, file + ": " + stands.complaint);
}

int checkTicket(const std::string& keyFile, const std::string& atNode, const std::string& text) {
  ticket::Claims claims;
  const ticket::Verdict verdict =
      ticket::check(ticket::readKeys(keyFile), text, net::wallNow() / 1'000'000, claims, atNode);
  std::printf("%s", ticket::nameOf(verdict));
  if (!claims.subscription.empty())
    std::printf(" subscription=%s node=%s rung=%d expires=%lld", claims.subscription.c_str(),
                claims.node.c_str(), claims.rung, static_cast<long long>(claims.expires));
  std::printf("\n");
  return verdict == ticket::Verdict::good ? 0 : found;
}

int runLab(const lab::RunOptions& options) {
  const lab::RunResult result = lab::runDay(options);
  std::fputs(lab::formatReport(result).c_str(), stdout);
  if (!options.plant.empty()) {
    const lab::PlantedFault& plant = *lab::findPlantedFault(options.plant);
    const bool caught = result.rows[static_cast<std::size_t>(plant.rule - 1)].broken > 0;
    std::printf("plant %s: %s by rule %d\n", plant.name, caught ? "caught" : "NOT caught", plant.rule);
    // A plant makes a day fail; one that nobody caught is told apart by its own code.
    return caught ? found : refused;
  }
  if (result.broken() > 0) return complain(found, "rules broken: " + std::to_string(result.broken()));
  if (result.untested() > 0)
    return complain(found, "rules not put to the test: " + std::to_string(result.untested()));
  if (!result.cleanEnd) return complain(found, "a director did not end cleanly");
  std::puts("no rule broken, each put to the test");
  return 0;
}

// Histories from a file or from seeds; names each that failed by the command that plays it again.
int playHistories(const std::string& file, const std::string& settings, std::uint64_t seed,
                  std::uint64_t seeds, const std::string& plant, bool print) {
  std::size_t broken = 0;
  std::map<std::string, std::size_t> tested;
  for (std::uint64_t i = 0; i < (file.empty() ? seeds : 1); ++i) {
    const history::History one = file.empty() ? history::draw(settings, seed + i) : history::read(file);
    if (print) {
      history::write(std::cout, one);
      continue;
    }
    const history::Played played = history::play(one, plant);
    for (const audit::Row& row : played.rows) tested[row.rule] += row.tested;
    if (seeds == 1 || !file.empty() || played.broken() > 0)
      std::fputs(history::shown(played).c_str(), stdout);
    if (played.broken() > 0 && file.empty())
      std::printf("replay: lupinsill lab history --settings %s --seed %llu%s\n", settings.c_str(),
                  static_cast<unsigned long long>(seed + i),
                  plant.empty() ? "" : (" --plant " + plant).c_str());
    broken += played.broken();
  }
  if (print) return 0;
  if (broken > 0) return complain(found, "rules broken: " + std::to_string(broken));
  for (const auto& [rule, times] : tested)
    if (times == 0) return complain(found, "not put to the test: " + rule);
  std::puts("no rule broken, each put to the test");
  return 0;
}

int playClients(const lab::ClientsOptions& options) {
  const lab::ClientsResult result = lab::runClients(options);
  std::fputs(lab::formatReport(result).c_str(), stdout);
  if (!options.plant.empty()) {
    std::printf("plant %s: %s\n", options.plant.c_str(), result.findings.empty() ? "NOT caught" : "caught");
    return result.findings.empty() ? refused : found;
  }
  if (!result.findings.empty()) return complain(found, std::to_string(result.findings.size()) + " findings");
  std::printf("%zu sequences, %zu libraries: alike, no paid wish set up twice\n", result.sequences.size(),
              result.libraries.size());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"lupinsill: admits viewers to media nodes and sets the rate they play at"};
  app.require_subcommand(1);
  app.footer(
      "Example: lupinsill director --config examples/small.xml\n"
      "Exit codes: 0 done, 1 something was found, 2 wrong command or settings, 3 refused by the machine");

  director::Start start;
  std::string plant, policy;
  CLI::App* run = app.add_subcommand("director", "Run a director until SIGTERM or the end of a drain");
  run->add_option("--config", start.settingsFile, "Settings (deploy/lupinsill.xsd)")->required();
  run->add_option("--ports", start.portsFile, "Write the ports taken to this file");
  run->add_option("--seed", start.seed, "Seed of the decisions' chance; 0 draws one")->group("Measuring");
  run->add_option("--policy", policy, "A baseline in place of the module: first-open, random-lowest")
      ->group("Measuring");
  run->add_option("--plant", plant, "A fault on purpose, for the lab only")->group("Measuring");
  run->footer("Example: lupinsill director --config examples/small.xml --ports /tmp/ports");

  CLI::App* config = app.add_subcommand("config", "Check or show settings");
  config->require_subcommand(1);
  config->footer("Example: lupinsill config check examples/small.xml");
  std::string file;
  CLI::App* check = config->add_subcommand("check", "Say what is wrong with a settings file, by line");
  check->add_option("file", file, "Settings")->required();
  check->footer("Example: lupinsill config check examples/small.xml");
  CLI::App* show = config->add_subcommand("show", "Print settings with all defaults written out");
  show->add_option("file", file, "Settings")->required();
  show->footer("Example: lupinsill config show examples/small.xml");

  std::string admin = "127.0.0.1:7401";
  const auto talks = [&](const char* name, const char* what) {
    CLI::App* command = app.add_subcommand(name, what);
    command->add_option("--admin", admin, "The director's admin listener")->capture_default_str();
    command->footer(std::string("Example: lupinsill ") + name + " --admin 127.0.0.1:7401");
    return command;
  };
  CLI::App* status = talks("status", "What a running director does, as JSON");
  CLI::App* nodes = talks("nodes", "The media nodes as a running director sees them");
  CLI::App* metrics = talks("metrics", "A running director's Prometheus text");
  CLI::App* drain = talks("drain", "Take no new asks; end once nothing plays");
  bool off = false;
  drain->add_flag("--off", off, "Call the drain off");

  CLI::App* ledgers =
      app.add_subcommand("ledger", "Look into a ledger of paid asks, also while it is written");
  ledgers->require_subcommand(1);
  ledgers->footer("Example: lupinsill ledger ls examples/small-ledger.mdb");
  CLI::App* ledgerList =
      ledgers->add_subcommand("ls", "One record a line: digest, mark, until when (UTC seconds)");
  ledgerList->add_option("file", file, "The ledger's file")->required();
  ledgerList->footer("Example: lupinsill ledger ls examples/small-ledger.mdb");

  std::string configuration, platformLog = "info";
  CLI::App* platform =
      app.add_subcommand("run", "Be a director on the operators' platform, in the foreground");
  platform->add_option("--config", configuration, "Configuration (JSON), as the platform writes it")
      ->envname("LB_CONFIG")
      ->required();
  platform->add_option("--log", platformLog, "error, warn, info, or debug: every message")
      ->check(CLI::IsMember({"error", "warn", "info", "debug"}))
      ->capture_default_str();
  platform->footer("Example: LB_CONFIG=/run/balancer/config.json lupinsill run");

  CLI::App* tickets = app.add_subcommand("ticket", "Look at a ticket as a media node has to");
  tickets->require_subcommand(1);
  tickets->footer("Example: lupinsill ticket check --keys ticket.keys --node 127.0.0.1:9000 TICKET");
  std::string keyFile, atNode, ticketText;
  CLI::App* ticketCheck =
      tickets->add_subcommand("check", "good, malformed, forged, foreign or expired; ends 0 where good");
  ticketCheck->add_option("--keys", keyFile, "The key file of the directors")->required();
  ticketCheck->add_option("--node", atNode, "The host:port it was shown at; left out, any");
  ticketCheck->add_option("ticket", ticketText, "The ticket")->required();
  ticketCheck->footer("Example: lupinsill ticket check --keys ticket.keys --node 127.0.0.1:9000 TICKET");

  CLI::App* labs = app.add_subcommand("lab", "Stand-in nodes, scripted players and faults on loopback");
  labs->require_subcommand(1);
  labs->footer("Example: lupinsill lab run examples/days/bad-evening.xml --seed 1");
  lab::RunOptions options;
  CLI::App* day =
      labs->add_subcommand("run", "Play a day against real directors and hold the rules against it");
  day->add_option("day", options.dayFile, "Day (deploy/day.xsd)")->required();
  day->add_option("--seed", options.seed, "Seed of the day")->capture_default_str();
  day->add_option("--plant", options.plant,
                  "Plant a fault (see `lab plants`); ends 1 where its rule catches it");
  day->add_option("--policy", options.policy, "A baseline in place of the module: first-open, random-lowest");
  day->add_option("--history", options.historyFile, "Write what happened to this file, for `lab history`");
  day->add_option("--keep", options.keepFolder, "Keep settings, lists and logs in this folder");
  day->footer("Example: lupinsill lab run examples/days/bad-evening.xml --plant second-join");
  CLI::App* plants = labs->add_subcommand("plants", "List the faults that can be planted");
  plants->footer("Example: lupinsill lab plants");

  lab::ClientsOptions clientsOptions;
  CLI::App* clients =
      labs->add_subcommand("clients", "Play scripted sequences through every client library and compare");
  clients->add_option("--sequences", clientsOptions.sequences, "How many are drawn")->capture_default_str();
  clients->add_option("--seed", clientsOptions.seed, "Seed of what is drawn")->capture_default_str();
  clients->add_option("--script", clientsOptions.scriptFile,
                      "Play this file instead (docs/protocol/script.md)");
  clients->add_option("--settings", clientsOptions.settingsFile, "Settings of the directors")
      ->default_str("examples/clients.xml");
  clients->add_option("--typescript", clientsOptions.player,
                      "The TypeScript library's play.js; left out, that library is not played");
  clients->add_option("--plant", clientsOptions.plant,
                      "ledger-forgets or budget-ignored; ends 1 where caught");
  clients->add_option("--crowd", clientsOptions.crowd, "Wishes of each crowd; 0 leaves them out")
      ->capture_default_str();
  clients->add_option("--keep", clientsOptions.keepFolder, "Keep settings and logs in this folder");
  clients->footer(
      "Example: lupinsill lab clients --seed 1 --typescript "
      "client/typescript/dist/typescript/tools/play.js");

  std::string historyFile, historySettings = "examples/days/settings.xml", historyPlant;
  std::uint64_t historySeed = 1, historySeeds = 1;
  bool printHistory = false;
  CLI::App* histories = labs->add_subcommand(
      "history", "Drive the real decisions by a history on a simulated clock, and judge it");
  histories->add_option("file", historyFile,
                        "History (docs/protocol/history.md); left out, drawn from the seed");
  histories->add_option("--settings", historySettings, "Settings of the directors, for drawn ones")
      ->capture_default_str();
  histories->add_option("--seed", historySeed, "Seed of the first")->capture_default_str();
  histories->add_option("--seeds", historySeeds, "How many seeds from there on")->capture_default_str();
  histories->add_option("--plant", historyPlant, "A fault on purpose (see `lab plants`)");
  histories->add_flag("--print", printHistory, "Print the history instead of playing it");
  histories->footer("Example: lupinsill lab history --seed 1 --seeds 100");

  std::string benchDay, into;
  CLI::App* import = labs->add_subcommand("import", "Make a day of the lab with the troubles of a bench day");
  import->add_option("day", benchDay, "Day file of the operators' bench (JSON)")->required();
  import->add_option("--out", into, "Folder for day.xml and settings.xml")->required();
  import->footer(
      "Example: lupinsill lab import day.json --out /tmp/day && lupinsill lab run /tmp/day/day.xml");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    if (e.get_exit_code() == 0) return app.exit(e, std::cout, std::cerr);  // --help
    return complain(wrong, std::string(e.what()) + "; see --help");
  }
  try {
    if (run->parsed()) {
      if (!plant.empty()) start.hooks = lab::hooksForFault(plant);
      if (!policy.empty()) {
        const auto known = baseline::names();
        if (std::find(known.begin(), known.end(), policy) == known.end())
          return complain(wrong, "--policy " + policy + ": expected first-open or random-lowest");
        start.hooks.decider = [policy](const ControlSettings& terms, std::uint64_t seed) {
          return baseline::make(policy, terms, seed);
        };
      }
      return director::run(start);
    }
    if (platform->parsed()) return platform::run(configuration, platformLog);
    if (check->parsed()) {
      settings::readDeployment(file);
      std::printf("%s: good\n", file.c_str());
      return 0;
    }
    if (show->parsed()) {
      std::fputs(settings::shown(file).c_str(), stdout);
      return 0;
    }
    if (ticketCheck->parsed()) return checkTicket(keyFile, atNode, ticketText);
    if (ledgerList->parsed()) return listLedger(file);
    if (status->parsed()) return askDirector(admin, "GET", "/status");
    if (nodes->parsed()) return askDirector(admin, "GET", "/nodes");
    if (metrics->parsed()) return askDirector(admin, "GET", "/metrics");
    if (drain->parsed()) return askDirector(admin, "POST", off ? "/undrain" : "/drain");
    if (histories->parsed()) {
      if (!historyPlant.empty() && lab::findPlantedFault(historyPlant) == nullptr)
        return complain(wrong, "--plant " + historyPlant + ": see `lupinsill lab plants`");
      return playHistories(historyFile, historySettings, historySeed, historySeeds, historyPlant,
                           printHistory);
    }
    if (clients->parsed()) {
      if (clientsOptions.settingsFile.empty()) clientsOptions.settingsFile = "examples/clients.xml";
      if (!clientsOptions.plant.empty() && clientsOptions.plant != "ledger-forgets" &&
          clientsOptions.plant != "budget-ignored")
        return complain(wrong,
                        "--plant " + clientsOptions.plant + ": expected ledger-forgets or budget-ignored");
      return playClients(clientsOptions);
    }
    if (plants->parsed()) {
      for (const lab::PlantedFault& p : lab::plantedFaults()) std::printf("%s\n", p.name);
      return 0;
    }
    if (import->parsed()) {
      std::fputs(lab::importDay(benchDay, into).c_str(), stdout);
      return 0;
    }
    if (day->parsed()) {
      if (!options.plant.empty() && lab::findPlantedFault(options.plant) == nullptr)
        return complain(wrong, "--plant " + options.plant + ": see `lupinsill lab plants`");
      return runLab(options);
    }
  } catch (const settings::BadSettings& bad) {
    return complain(wrong, bad.what());
  } catch (const control_settings::InvalidInput& bad) {
    return complain(wrong, bad.what());
  } catch (const std::exception& bad) {
    return complain(refused, bad.what());
  }
  return 0;
}
