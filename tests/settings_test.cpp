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

struct Folder {
  std::string path;
  Folder() {
    std::string made = std::filesystem::temp_directory_path() / "lupinsill-test-XXXXXX";
    path = mkdtemp(made.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
};

std::string example() {
  std::ifstream in(EXAMPLES "/small.xml");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

// What is said of the example with one piece of text replaced.
std::string complaint(const std::string& from, const std::string& to) {
  const Folder folder;
  std::string text = example();
  REQUIRE(text.find(from) != std::string::npos);
  text.replace(text.find(from), from.size(), to);
  const std::string file = folder.path + "/s.xml";
  std::ofstream(file) << text;
  try {
    readDeployment(file);
  } catch (const SettingsError& bad) {
    return std::string(bad.what()).substr(file.size());
  }
  return "";
}

bool says(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}  // namespace

TEST_CASE("The example is read, and shown with its defaults") {
  const Deployment d = readDeployment(EXAMPLES "/small.xml");
  CHECK(d.controlSettings.roomTypes.size() == 2);
  CHECK(d.controlSettings.roomTypes[1].effect == Effect::once);
  CHECK(d.sessionLimits.grace == 2'000'000);
  CHECK(d.sessionLimits.answerMargin == 150'000);
  CHECK(d.listFile == std::string(EXAMPLES) + "/small-nodes.xml");
  CHECK(formatWithDefaults(EXAMPLES "/small.xml").find("orphan-hold=\"5s\"") != std::string::npos);
  CHECK(readNodes(d.listFile, d, 0).endpoints.size() == 2);
}

TEST_CASE("A mistake names line, element and what was expected") {
  CHECK(says(complaint("grace=\"2s\"", "grace=\"2\""), "Element 'rules', attribute 'grace'"));
  CHECK(says(complaint("<answers/>", "<answer/>"), "Expected is ( answers )"));
  CHECK(says(complaint("top=\"3\"", "top=\"9\""), "expected a rung of the ladder, 0 to 5"));
  CHECK(says(complaint("kb=\"250\"", "kb=\"150\""), "Element 'rung': kb 150: expected more than"));
  CHECK(says(complaint("ordinal=\"0\"", "ordinal=\"1\""), "expected less than of"));
  CHECK(says(complaint("client-timeout=\"3s\"", "client-timeout=\"1s\""), "expected at least 1500ms"));
  CHECK(says(complaint("name=\"paid-class\"", "name=\"recipe-clip\""), "is taken"));
  CHECK(says(complaint("127.0.0.1:7400", "127.0.0.1:74000"), "expected 0 to 65535"));
  CHECK(says(complaint("</lupinsill>", ""), ":"));
  CHECK(complaint("top=\"3\"", "top=\"9\"").substr(0, 4) == ":21:");
}

TEST_CASE("A reload may change bounds on sockets and the log, and nothing that the decisions have read") {
  const Deployment now = readDeployment(EXAMPLES "/small.xml");
  Deployment next = now;
  next.sockets.connections = 5;
  next.logLevel = "debug";
  next.listPollInterval = 5;
  CHECK(changesNeedingRestart(now, next).empty());
  next.controlSettings.roomTypes[1].seats = 9;
  next.controlSettings.retryBudget = RetryBudget{1, 0, 1};
  CHECK(changesNeedingRestart(now, next) == std::vector<std::string>{"room-types", "rules"});
}

TEST_CASE("Lists: start times, titles, and what does not fit the settings") {
  const Folder folder;
  const Deployment d = readDeployment(EXAMPLES "/small.xml");
  const std::string file = folder.path + "/n.xml";
  const auto read = [&](const std::string& inner) {
    std::ofstream(file) << "<nodes xmlns=\"urn:lupinsill:nodes:1\" version=\"4\">" << inner << "</nodes>";
    return readNodes(file, d, -1'000'000);
  };
  const std::string node = R"(<node id="1" address="127.0.0.1:1" kind="two-core" zone="z" cell="0" )";
  const auto word = read(
      node +
      R"(state="draining" started="1970-01-01T00:00:02.5Z"/><title name="t" first-cell="1" holders="9"/>)");
  CHECK(word.endpoints[0].state == NodeState::draining);
  CHECK(word.endpoints[0].readyAt == 1'500'000);
  CHECK(word.titles.at("t").holders == 2);
  CHECK_THROWS_AS(read(node + "/>" + node + "/>"), SettingsError);
  CHECK_THROWS_AS(read(R"(<node id="1" address="127.0.0.1:1" kind="other" zone="z" cell="0"/>)"),
                  SettingsError);
  CHECK_THROWS_AS(read(R"(<node id="1" address="127.0.0.1:1" kind="two-core" zone="z" cell="7"/>)"),
                  SettingsError);
  CHECK_THROWS_AS(read("<node id=\"1\""), SettingsError);
}

TEST_CASE("The same day and seed draw the same script; another seed another") {
  const lab::Day day = lab::readDay(EXAMPLES "/days/bad-evening.xml");
  const auto a = lab::drawArrivals(day, 1), b = lab::drawArrivals(day, 1), c = lab::drawArrivals(day, 2);
  REQUIRE(a.size() == b.size());
  bool differs = a.size() != c.size();
  for (std::size_t i = 0; i < a.size(); ++i) {
    CHECK(a[i].at == b[i].at);
    CHECK(a[i].title == b[i].title);
    differs = differs || i >= c.size() || a[i].at != c[i].at;
  }
  CHECK(differs);
  CHECK(a.size() > 1000);
}
