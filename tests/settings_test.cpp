// Tests of reading and checking settings, node lists and lab days.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "lab/day.h"
#include "settings/deployment.h"

using namespace lupinsill;
using namespace lupinsill::settings;

namespace {

// A temporary folder, removed with its contents at the end of the test.
struct Folder {
  std::string path;
  Folder() {
    std::string pattern = std::filesystem::temp_directory_path() / "lupinsill-test-XXXXXX";
    path = mkdtemp(pattern.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
};

std::string example() {
  std::ifstream in(EXAMPLES "/small.xml");
  std::ostringstream contents;
  contents << in.rdbuf();
  return contents.str();
}

// The error, without the file name, for the example settings with `from` replaced by `to`; empty if there is
// none.
std::string errorFor(const std::string& from, const std::string& to) {
  const Folder folder;
  std::string text = example();
  REQUIRE(text.find(from) != std::string::npos);
  text.replace(text.find(from), from.size(), to);
  const std::string file = folder.path + "/s.xml";
  std::ofstream(file) << text;
  try {
    readDeployment(file);
  } catch (const SettingsError& error) {
    return std::string(error.what()).substr(file.size());
  }
  return "";
}

bool contains(const std::string& text, const std::string& expected) {
  return text.find(expected) != std::string::npos;
}

}  // namespace

TEST_CASE("The example settings are read, and formatted with all defaults") {
  const Deployment deployment = readDeployment(EXAMPLES "/small.xml");
  CHECK(deployment.controlSettings.roomTypes.size() == 2);
  CHECK(deployment.controlSettings.roomTypes[1].effect == Effect::once);
  CHECK(deployment.sessionLimits.grace == 2'000'000);
  CHECK(deployment.sessionLimits.answerMargin == 150'000);
  CHECK(deployment.listFile == std::string(EXAMPLES) + "/small-nodes.xml");
  CHECK(formatWithDefaults(EXAMPLES "/small.xml").find("orphan-hold=\"5s\"") != std::string::npos);
  CHECK(readNodes(deployment.listFile, deployment, 0).endpoints.size() == 2);
}

TEST_CASE("A settings error names line, element and what was expected") {
  CHECK(contains(errorFor("grace=\"2s\"", "grace=\"2\""), "Element 'rules', attribute 'grace'"));
  CHECK(contains(errorFor("<answers/>", "<answer/>"), "Expected is ( answers )"));
  CHECK(contains(errorFor("top=\"3\"", "top=\"9\""), "expected a rung of the ladder, 0 to 5"));
  CHECK(contains(errorFor("kb=\"250\"", "kb=\"150\""), "Element 'rung': kb 150: expected more than"));
  CHECK(contains(errorFor("ordinal=\"0\"", "ordinal=\"1\""), "expected less than of"));
  CHECK(contains(errorFor("client-timeout=\"3s\"", "client-timeout=\"1s\""),
                 "expected at least join-objective, 1500ms"));
  CHECK(contains(errorFor("name=\"paid-class\"", "name=\"recipe-clip\""), "is taken"));
  CHECK(contains(errorFor("127.0.0.1:7400", "127.0.0.1:74000"), "expected 0 to 65535"));
  CHECK(contains(errorFor("</lupinsill>", ""), ":"));
  CHECK(errorFor("top=\"3\"", "top=\"9\"").substr(0, 4) == ":21:");
}

TEST_CASE("A reload may change socket limits and logging, but no settings that placements depend on") {
  const Deployment current = readDeployment(EXAMPLES "/small.xml");
  Deployment next = current;
  next.sockets.connections = 5;
  next.logLevel = "debug";
  next.listPollInterval = 5;
  CHECK(changesNeedingRestart(current, next).empty());
  next.controlSettings.roomTypes[1].seats = 9;
  next.controlSettings.retryBudget = RetryBudget{1, 0, 1};
  CHECK(changesNeedingRestart(current, next) == std::vector<std::string>{"room-types", "rules"});
}

TEST_CASE("Node lists: start times and titles are read, contradictions to the settings are rejected") {
  const Folder folder;
  const Deployment deployment = readDeployment(EXAMPLES "/small.xml");
  const std::string file = folder.path + "/n.xml";
  const auto read = [&](const std::string& elements) {
    std::ofstream(file) << "<nodes xmlns=\"urn:lupinsill:nodes:1\" version=\"4\">" << elements << "</nodes>";
    return readNodes(file, deployment, -1'000'000);
  };
  const std::string node = R"(<node id="1" address="127.0.0.1:1" kind="two-core" zone="z" cell="0" )";
  const auto list = read(
      node +
      R"(state="draining" started="1970-01-01T00:00:02.5Z"/><title name="t" first-cell="1" holders="9"/>)");
  CHECK(list.endpoints[0].state == NodeState::draining);
  CHECK(list.endpoints[0].readyAt == 1'500'000);
  CHECK(list.titles.at("t").holders == 2);
  CHECK_THROWS_AS(read(node + "/>" + node + "/>"), SettingsError);
  CHECK_THROWS_AS(read(R"(<node id="1" address="127.0.0.1:1" kind="other" zone="z" cell="0"/>)"),
                  SettingsError);
  CHECK_THROWS_AS(read(R"(<node id="1" address="127.0.0.1:1" kind="two-core" zone="z" cell="7"/>)"),
                  SettingsError);
  CHECK_THROWS_AS(read("<node id=\"1\""), SettingsError);
}

TEST_CASE("A lab day generates the same arrivals for the same seed and others for another seed") {
  const lab::Day day = lab::readDay(EXAMPLES "/days/bad-evening.xml");
  const auto first = lab::drawArrivals(day, 1), repeated = lab::drawArrivals(day, 1),
             otherSeed = lab::drawArrivals(day, 2);
  REQUIRE(first.size() == repeated.size());
  bool differs = first.size() != otherSeed.size();
  for (std::size_t i = 0; i < first.size(); ++i) {
    CHECK(first[i].at == repeated[i].at);
    CHECK(first[i].title == repeated[i].title);
    differs = differs || i >= otherSeed.size() || first[i].at != otherSeed[i].at;
  }
  CHECK(differs);
  CHECK(first.size() > 1000);
}
