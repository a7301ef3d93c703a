// The command line of the program. Exit codes: 0 success; 1 a check or a lab run found a fault; 2 invalid
// command or settings; 3 failure of the environment, such as a port in use or a director that does not
// answer.
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

constexpr int exitFaultFound = 1, exitUsage = 2, exitEnvironment = 3;

// Prints a message and returns the exit code.
int fail(int code, const std::string& message) {
  std::fprintf(stderr, "lupinsill: %s\n", message.c_str());
  return code;
}

settings::Endpoint parseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) throw settings::SettingsError(text + ": expected host:port");
  return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

// Sends a request to a director's admin listener and prints the response.
int requestFromDirector(const std::string& address, const std::string& method, const std::string& path) {
  const director::AdminResponse answer = director::sendAdminRequest(parseEndpoint(address), method, path);
  if (answer.status == 0) return fail(exitEnvironment, address + ": no answer from a director");
  std::fputs(answer.body.c_str(), stdout);
  return answer.status == 200 ? 0 : exitFaultFound;
}

int listLedger(const std::string& file) {
  const store::LoadResult contents = store::readRecords(file);
  for (const ledger::Record& record : contents.records) {
    for (const unsigned char byte : record.key.bytes) std::printf("%02x", byte);
    std::printf(" %-12s %lld\n", ledger::nameOf(record.state),
                static_cast<long long>(record.until / 1'000'000));
  }
  return contents.intact ? 0 : fail(exitFaultFound, file + ": " + contents.error);
}

int checkTicket(const std::string& keyFile, const std::string& node, const std::string& text) {
  ticket::Claims claims;
  const ticket::Verdict verdict =
      ticket::verify(ticket::readKeys(keyFile), text, net::wallNow() / 1'000'000, claims, node);
  std::printf("%s", ticket::nameOf(verdict));
  if (!claims.subscription.empty())
    std::printf(" subscription=%s node=%s rung=%d expires=%lld", claims.subscription.c_str(),
                claims.node.c_str(), claims.rung, static_cast<long long>(claims.expires));
  std::printf("\n");
  return verdict == ticket::Verdict::valid ? 0 : exitFaultFound;
}

int runLab(const lab::RunOptions& options) {
  const lab::RunResult result = lab::runDay(options);
  std::fputs(lab::formatReport(result).c_str(), stdout);
  if (!options.plant.empty()) {
    const lab::PlantedFault& plant = *lab::findPlantedFault(options.plant);
    const bool caught = result.rows[static_cast<std::size_t>(plant.rule - 1)].violations > 0;
    std::printf("plant %s: %s by rule %d\n", plant.name, caught ? "caught" : "NOT caught", plant.rule);
    // A caught fault has the exit code of a broken rule; one that was not caught has another.
    return caught ? exitFaultFound : exitEnvironment;
  }
  if (result.broken() > 0) return fail(exitFaultFound, "rules broken: " + std::to_string(result.broken()));
  if (result.untested() > 0)
    return fail(exitFaultFound, "rules not put to the test: " + std::to_string(result.untested()));
  if (!result.cleanEnd) return fail(exitFaultFound, "a director did not end cleanly");
  std::puts("no rule broken, each put to the test");
  return 0;
}

// Plays histories from a file or drawn from seeds. For each that breaks a rule, prints the command that
// replays it.
int playHistories(const std::string& file, const std::string& settings, std::uint64_t seed,
                  std::uint64_t seeds, const std::string& plant, bool print) {
  std::size_t broken = 0;
  std::map<std::string, std::size_t> tested;
  for (std::uint64_t i = 0; i < (file.empty() ? seeds : 1); ++i) {
    const history::History history =
        file.empty() ? history::generate(settings, seed + i) : history::read(file);
    if (print) {
      history::write(std::cout, history);
      continue;
    }
    const history::ReplayResult played = history::play(history, plant);
    for (const audit::RuleResult& row : played.ruleResults) tested[row.rule] += row.tested;
    if (seeds == 1 || !file.empty() || played.violations() > 0)
      std::fputs(history::format(played).c_str(), stdout);
    if (played.violations() > 0 && file.empty())
      std::printf("replay: lupinsill lab history --settings %s --seed %llu%s\n", settings.c_str(),
                  static_cast<unsigned long long>(seed + i),
                  plant.empty() ? "" : (" --plant " + plant).c_str());
    broken += played.violations();
  }
  if (print) return 0;
  if (broken > 0) return fail(exitFaultFound, "rules broken: " + std::to_string(broken));
  for (const auto& [rule, times] : tested)
    if (times == 0) return fail(exitFaultFound, "not put to the test: " + rule);
  std::puts("no rule broken, each put to the test");
  return 0;
}

int playClients(const lab::ClientsOptions& options) {
  const lab::ClientsResult result = lab::runClients(options);
  std::fputs(lab::formatReport(result).c_str(), stdout);
  if (!options.plant.empty()) {
    std::printf("plant %s: %s\n", options.plant.c_str(), result.findings.empty() ? "NOT caught" : "caught");
    return result.findings.empty() ? exitEnvironment : exitFaultFound;
  }
  if (!result.findings.empty())
    return fail(exitFaultFound, std::to_string(result.findings.size()) + " findings");
  std::printf("%zu sequences, %zu libraries: same results, no paid request set up twice\n",
              result.sequences.size(), result.libraries.size());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"lupinsill: admits viewers to media nodes and sets the rate they play at"};
  app.require_subcommand(1);
  app.footer(
      "Example: lupinsill director --config examples/small.xml\n"
      "Exit codes: 0 success, 1 a fault was found, 2 invalid command or settings, 3 environment failure");

  director::Options directorOptions;
  std::string plant, policy;
  CLI::App* directorCommand =
      app.add_subcommand("director", "Run a director until SIGTERM or the end of a drain");
  directorCommand->add_option("--config", directorOptions.settingsFile, "Settings (deploy/lupinsill.xsd)")
      ->required();
  directorCommand->add_option("--ports", directorOptions.portsFile, "Write the listening ports to this file");
  directorCommand->add_option("--seed", directorOptions.seed, "Seed of the decision module; 0: random")
      ->group("Measurement");
  directorCommand
      ->add_option("--policy", policy,
                   "A baseline policy instead of the decision module: first-open or random-lowest")
      ->group("Measurement");
  directorCommand->add_option("--plant", plant, "Inject a fault (for the lab only)")->group("Measurement");
  directorCommand->footer("Example: lupinsill director --config examples/small.xml --ports /tmp/ports");

  CLI::App* configCommand = app.add_subcommand("config", "Check or show settings");
  configCommand->require_subcommand(1);
  configCommand->footer("Example: lupinsill config check examples/small.xml");
  std::string file;
  CLI::App* configCheckCommand = configCommand->add_subcommand(
      "check", "Check a settings file and report the first error with its line");
  configCheckCommand->add_option("file", file, "Settings")->required();
  configCheckCommand->footer("Example: lupinsill config check examples/small.xml");
  CLI::App* configShowCommand =
      configCommand->add_subcommand("show", "Print settings with all defaults written out");
  configShowCommand->add_option("file", file, "Settings")->required();
  configShowCommand->footer("Example: lupinsill config show examples/small.xml");

  std::string adminAddress = "127.0.0.1:7401";
  const auto addAdminCommand = [&](const char* name, const char* description) {
    CLI::App* command = app.add_subcommand(name, description);
    command->add_option("--admin", adminAddress, "The director's admin listener")->capture_default_str();
    command->footer(std::string("Example: lupinsill ") + name + " --admin 127.0.0.1:7401");
    return command;
  };
  CLI::App* statusCommand = addAdminCommand("status", "Print the status of a running director as JSON");
  CLI::App* nodesCommand = addAdminCommand("nodes", "Print the media nodes of a running director as JSON");
  CLI::App* metricsCommand =
      addAdminCommand("metrics", "Print the metrics of a running director in Prometheus format");
  CLI::App* drainCommand =
      addAdminCommand("drain", "Throttle new requests; end the director once no subscription plays");
  bool drainOff = false;
  drainCommand->add_flag("--off", drainOff, "Cancel the drain");

  CLI::App* ledgerCommand =
      app.add_subcommand("ledger", "Inspect the ledger of paid requests, even while a director uses it");
  ledgerCommand->require_subcommand(1);
  ledgerCommand->footer("Example: lupinsill ledger ls examples/small-ledger.mdb");
  CLI::App* ledgerListCommand = ledgerCommand->add_subcommand(
      "ls", "Print one record per line: key digest, state, expiry (UTC seconds)");
  ledgerListCommand->add_option("file", file, "The ledger's file")->required();
  ledgerListCommand->footer("Example: lupinsill ledger ls examples/small-ledger.mdb");

  std::string configuration, platformLog = "info";
  CLI::App* platformCommand =
      app.add_subcommand("run", "Run a director on the operators' platform, in the foreground");
  platformCommand->add_option("--config", configuration, "Configuration written by the platform (JSON)")
      ->envname("LB_CONFIG")
      ->required();
  platformCommand->add_option("--log", platformLog, "Log level; debug logs every message")
      ->check(CLI::IsMember({"error", "warn", "info", "debug"}))
      ->capture_default_str();
  platformCommand->footer("Example: LB_CONFIG=/run/balancer/config.json lupinsill run");

  CLI::App* ticketCommand = app.add_subcommand("ticket", "Check tickets as a media node does");
  ticketCommand->require_subcommand(1);
  ticketCommand->footer("Example: lupinsill ticket check --keys ticket.keys --node 127.0.0.1:9000 TICKET");
  std::string keyFile, atNode, ticketText;
  CLI::App* ticketCheckCommand = ticketCommand->add_subcommand(
      "check", "Print good, malformed, forged, foreign or expired; exit code 0 if good");
  ticketCheckCommand->add_option("--keys", keyFile, "The key file of the directors")->required();
  ticketCheckCommand->add_option("--node", atNode,
                                 "The host:port of the node that received the ticket; default: any");
  ticketCheckCommand->add_option("ticket", ticketText, "The ticket")->required();
  ticketCheckCommand->footer(
      "Example: lupinsill ticket check --keys ticket.keys --node 127.0.0.1:9000 TICKET");

  CLI::App* labCommand = app.add_subcommand(
      "lab", "Test directors with simulated media nodes, scripted players and faults on loopback");
  labCommand->require_subcommand(1);
  labCommand->footer("Example: lupinsill lab run examples/days/bad-evening.xml --seed 1");
  lab::RunOptions labRunOptions;
  CLI::App* labRunCommand =
      labCommand->add_subcommand("run", "Play a day against real directors and check the rules");
  labRunCommand->add_option("day", labRunOptions.dayFile, "Day (deploy/day.xsd)")->required();
  labRunCommand->add_option("--seed", labRunOptions.seed, "Seed of the random choices of the day")
      ->capture_default_str();
  labRunCommand->add_option("--plant", labRunOptions.plant,
                            "Inject a fault (see `lab plants`); exit code 1 if its rule catches it");
  labRunCommand->add_option("--policy", labRunOptions.policy,
                            "A baseline policy instead of the decision module: first-open or random-lowest");
  labRunCommand->add_option("--history", labRunOptions.historyFile,
                            "Write the recorded events to this file, for `lab history`");
  labRunCommand->add_option("--keep", labRunOptions.keepFolder,
                            "Keep settings, lists and logs in this folder");
  labRunCommand->footer("Example: lupinsill lab run examples/days/bad-evening.xml --plant second-join");
  CLI::App* labPlantsCommand = labCommand->add_subcommand("plants", "List the faults that can be injected");
  labPlantsCommand->footer("Example: lupinsill lab plants");

  lab::ClientsOptions clientsOptions;
  CLI::App* labClientsCommand = labCommand->add_subcommand(
      "clients", "Play scripted sequences through every client library and compare the results");
  labClientsCommand->add_option("--sequences", clientsOptions.sequences, "Number of random sequences")
      ->capture_default_str();
  labClientsCommand->add_option("--seed", clientsOptions.seed, "Seed of the random sequences")
      ->capture_default_str();
  labClientsCommand->add_option("--script", clientsOptions.scriptFile,
                                "Play this file instead (docs/protocol/script.md)");
  labClientsCommand->add_option("--settings", clientsOptions.settingsFile, "Settings of the directors")
      ->default_str("examples/clients.xml");
  labClientsCommand->add_option("--typescript", clientsOptions.player,
                                "The TypeScript library's play.js; without it, that library is not tested");
  labClientsCommand->add_option("--plant", clientsOptions.plant,
                                "Inject a fault: ledger-forgets or budget-ignored; exit code 1 if caught");
  labClientsCommand
      ->add_option("--crowd", clientsOptions.crowd, "Number of requests of each crowd; 0: no crowds")
      ->capture_default_str();
  labClientsCommand->add_option("--keep", clientsOptions.keepFolder, "Keep settings and logs in this folder");
  labClientsCommand->footer(
      "Example: lupinsill lab clients --seed 1 --typescript "
      "client/typescript/dist/typescript/tools/play.js");

  std::string historyFile, historySettings = "examples/days/settings.xml", historyPlant;
  std::uint64_t historySeed = 1, historySeeds = 1;
  bool printHistory = false;
  CLI::App* labHistoryCommand = labCommand->add_subcommand(
      "history",
      "Play a history of events to the real decision code on a simulated clock and check the rules");
  labHistoryCommand->add_option("file", historyFile,
                                "History (docs/protocol/history.md); default: random, from the seed");
  labHistoryCommand
      ->add_option("--settings", historySettings, "Settings of the directors, for random histories")
      ->capture_default_str();
  labHistoryCommand->add_option("--seed", historySeed, "Seed of the first history")->capture_default_str();
  labHistoryCommand->add_option("--seeds", historySeeds, "Number of histories, with consecutive seeds")
      ->capture_default_str();
  labHistoryCommand->add_option("--plant", historyPlant, "Inject a fault (see `lab plants`)");
  labHistoryCommand->add_flag("--print", printHistory, "Print the history instead of playing it");
  labHistoryCommand->footer("Example: lupinsill lab history --seed 1 --seeds 100");

  std::string benchDay, outputFolder;
  CLI::App* labImportCommand = labCommand->add_subcommand(
      "import", "Convert a day of the operators' bench to a day of the lab, with its faults");
  labImportCommand->add_option("day", benchDay, "Day file of the operators' bench (JSON)")->required();
  labImportCommand->add_option("--out", outputFolder, "Folder for day.xml and settings.xml")->required();
  labImportCommand->footer(
      "Example: lupinsill lab import day.json --out /tmp/day && lupinsill lab run /tmp/day/day.xml");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    if (e.get_exit_code() == 0) return app.exit(e, std::cout, std::cerr);  // --help
    return fail(exitUsage, std::string(e.what()) + "; see --help");
  }
  try {
    if (directorCommand->parsed()) {
      if (!plant.empty()) directorOptions.hooks = lab::hooksForFault(plant);
      if (!policy.empty()) {
        const auto policies = baseline::policyNames();
        if (std::find(policies.begin(), policies.end(), policy) == policies.end())
          return fail(exitUsage, "--policy " + policy + ": expected first-open or random-lowest");
        directorOptions.hooks.makeDecider = [policy](const ControlSettings& settings, std::uint64_t seed) {
          return baseline::makePolicy(policy, settings, seed);
        };
      }
      return director::run(directorOptions);
    }
    if (platformCommand->parsed()) return platform::run(configuration, platformLog);
    if (configCheckCommand->parsed()) {
      settings::readDeployment(file);
      std::printf("%s: valid\n", file.c_str());
      return 0;
    }
    if (configShowCommand->parsed()) {
      std::fputs(settings::formatWithDefaults(file).c_str(), stdout);
      return 0;
    }
    if (ticketCheckCommand->parsed()) return checkTicket(keyFile, atNode, ticketText);
    if (ledgerListCommand->parsed()) return listLedger(file);
    if (statusCommand->parsed()) return requestFromDirector(adminAddress, "GET", "/status");
    if (nodesCommand->parsed()) return requestFromDirector(adminAddress, "GET", "/nodes");
    if (metricsCommand->parsed()) return requestFromDirector(adminAddress, "GET", "/metrics");
    if (drainCommand->parsed())
      return requestFromDirector(adminAddress, "POST", drainOff ? "/undrain" : "/drain");
    if (labHistoryCommand->parsed()) {
      if (!historyPlant.empty() && lab::findPlantedFault(historyPlant) == nullptr)
        return fail(exitUsage, "--plant " + historyPlant + ": see `lupinsill lab plants`");
      return playHistories(historyFile, historySettings, historySeed, historySeeds, historyPlant,
                           printHistory);
    }
    if (labClientsCommand->parsed()) {
      if (clientsOptions.settingsFile.empty()) clientsOptions.settingsFile = "examples/clients.xml";
      if (!clientsOptions.plant.empty() && clientsOptions.plant != "ledger-forgets" &&
          clientsOptions.plant != "budget-ignored")
        return fail(exitUsage,
                    "--plant " + clientsOptions.plant + ": expected ledger-forgets or budget-ignored");
      return playClients(clientsOptions);
    }
    if (labPlantsCommand->parsed()) {
      for (const lab::PlantedFault& fault : lab::plantedFaults()) std::printf("%s\n", fault.name);
      return 0;
    }
    if (labImportCommand->parsed()) {
      std::fputs(lab::importDay(benchDay, outputFolder).c_str(), stdout);
      return 0;
    }
    if (labRunCommand->parsed()) {
      if (!labRunOptions.plant.empty() && lab::findPlantedFault(labRunOptions.plant) == nullptr)
        return fail(exitUsage, "--plant " + labRunOptions.plant + ": see `lupinsill lab plants`");
      return runLab(labRunOptions);
    }
  } catch (const settings::SettingsError& error) {
    return fail(exitUsage, error.what());
  } catch (const control_settings::InvalidInput& error) {
    return fail(exitUsage, error.what());
  } catch (const std::exception& error) {
    return fail(exitEnvironment, error.what());
  }
  return 0;
}
