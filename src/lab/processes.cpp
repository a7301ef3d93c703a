#include "lab/processes.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "net/handles.h"
#include "schemas.h"
#include "settings/xml.h"

namespace lupinsill::lab {
namespace {

// Exit codes of a child whose set-up failed before the program was executed, and whose program could not be
// executed.
constexpr int setUpFailedExit = 9;
constexpr int execFailedExit = 127;

// Waiting for a director to exit after SIGTERM: 5 s in all.
constexpr int exitPolls = 500;
constexpr useconds_t exitPollInterval = 10'000;  // microseconds

// Escapes text for an XML attribute.
std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<')
      out += "&lt;";
    else if (c == '&')
      out += "&amp;";
    else if (c == '"')
      out += "&quot;";
    else
      out += c;
  }
  return out;
}

// Writes an element as XML; `namespaceUri` is declared on it unless null.
void write(std::ostream& out, const settings::Element& e, const char* namespaceUri) {
  out << "<" << e.name;
  if (namespaceUri != nullptr) out << " xmlns=\"" << namespaceUri << "\"";
  for (const auto& [key, value] : e.attributes)
    if (key != "xmlns") out << " " << key << "=\"" << escaped(value) << "\"";
  out << ">";
  for (const settings::Element& c : e.children) write(out, c, nullptr);
  out << "</" << e.name << ">\n";
}

// Sets an attribute of each child element of that name that lacks it, and of the first that has it.
void setAttribute(settings::Element& root, const char* child, const char* attribute,
                  const std::string& value) {
  for (settings::Element& e : root.children) {
    if (e.name != child) continue;
    for (auto& [key, old] : e.attributes)
      if (key == attribute) {
        old = value;
        return;
      }
    e.attributes.emplace_back(attribute, value);
  }
}

}  // namespace

Processes::Processes(const Day& day, std::string folder, std::vector<std::string> extraArguments, bool grpc)
    : grpc_(grpc), day_(day), folder_(std::move(folder)), extraArguments_(std::move(extraArguments)) {
  directors_.resize(static_cast<std::size_t>(day.directors));
  for (int directorIndex = 0; directorIndex < day.directors; ++directorIndex) {
    DirectorProcess& p = directors_[static_cast<std::size_t>(directorIndex)];
    p.zone = directorIndex % day.zones;
    p.folder = folder_ + "/d" + std::to_string(directorIndex);
    std::filesystem::create_directories(p.folder);
    writeSettings(directorIndex);
  }
}

Processes::~Processes() {
  for (DirectorProcess& p : directors_)
    if (p.pid > 0) {
      ::kill(p.pid, SIGKILL);
      reap(p.pid);
    }
}

void Processes::reap(pid_t pid) {
  rusage used{};
  if (wait4(pid, nullptr, 0, &used) == pid)
    cpuSeconds_ += static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
                   static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
}

void Processes::writeSettings(int directorIndex) {
  const DirectorProcess& p = directors_[static_cast<std::size_t>(directorIndex)];
  settings::Element root = settings::readXml(day_.settingsFile, settings::directorSchema);
  setAttribute(root, "director", "name", "d" + std::to_string(directorIndex));
  setAttribute(root, "director", "ordinal", std::to_string(directorIndex));
  setAttribute(root, "director", "of", std::to_string(day_.directors));
  setAttribute(root, "director", "zone", "zone" + std::to_string(p.zone));
  setAttribute(root, "listen", "players", "127.0.0.1:" + std::to_string(p.playersPort));
  setAttribute(root, "listen", "admin", "127.0.0.1:0");
  if (grpc_) setAttribute(root, "listen", "grpc", "127.0.0.1:" + std::to_string(p.grpcPort));
  setAttribute(root, "list", "file", listFile());
  setAttribute(root, "list", "kept-as", p.folder + "/last-list.xml");
  std::ofstream out(p.folder + "/settings.xml");
  write(out, root, "urn:lupinsill:settings:1");
}

void Processes::start(int directorIndex) {
  DirectorProcess& p = directors_[static_cast<std::size_t>(directorIndex)];
  if (p.pid > 0) return;
  std::filesystem::remove(p.folder + "/ports");
  const std::string log = p.folder + "/log";
  std::vector<std::string> commandLine{
      "lupinsill", "director", "--config", p.folder + "/settings.xml", "--ports", p.folder + "/ports"};
  commandLine.insert(commandLine.end(), extraArguments_.begin(), extraArguments_.end());
  std::vector<char*> arguments;
  for (std::string& word : commandLine) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const pid_t lab = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error(std::string("fork: ") + std::strerror(errno));
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != lab) _exit(setUpFailedExit);
    // Faults that happen once leave marker files in the current folder (TitleFaults in plant.cpp).
    if (grpc_ && chdir(p.folder.c_str()) != 0) _exit(setUpFailedExit);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd >= 0) dup2(fd, 2), dup2(fd, 1);
    execv("/proc/self/exe", arguments.data());
    _exit(execFailedExit);
  }
  p.pid = pid;
  ++p.run;
}

void Processes::readPorts() {
  for (DirectorProcess& p : directors_) {
    if (p.pid <= 0 || p.playersPort != 0) continue;
    std::ifstream in(p.folder + "/ports");
    std::string label;
    int players = 0, admin = 0;
    if (in >> label >> players >> label >> admin) p.playersPort = players, p.adminPort = admin;
    if (grpc_) in >> label >> p.grpcPort;
  }
}

void Processes::fixPorts() {
  for (int directorIndex = 0; directorIndex < static_cast<int>(directors_.size()); ++directorIndex)
    writeSettings(directorIndex);
}

std::vector<int> Processes::reapExited() {
  std::vector<int> exited;
  for (std::size_t i = 0; i < directors_.size(); ++i) {
    DirectorProcess& p = directors_[i];
    siginfo_t info{};
    if (p.pid <= 0 || waitid(P_PID, static_cast<id_t>(p.pid), &info, WEXITED | WNOHANG | WNOWAIT) != 0 ||
        info.si_pid != p.pid)
      continue;
    reap(p.pid);
    p.pid = p.playersPort = p.adminPort = 0;
    exited.push_back(static_cast<int>(i));
  }
  return exited;
}

void Processes::kill(int directorIndex) {
  if (const DirectorProcess& p = directors_[static_cast<std::size_t>(directorIndex)]; p.pid > 0)
    ::kill(p.pid, SIGKILL);
}

void Processes::kill(int directorIndex, Micros now, audit::Record& record) {
  DirectorProcess& p = directors_[static_cast<std::size_t>(directorIndex)];
  if (p.pid <= 0) return;
  if (p.pausedAt >= 0) resume(directorIndex, now, record);
  ::kill(p.pid, SIGKILL);
  reap(p.pid);
  record.directorKills.push_back({directorIndex, p.run, now});
  p.pid = 0;
  p.playersPort = p.adminPort = 0;
}

void Processes::pause(int directorIndex, Micros now) {
  DirectorProcess& p = directors_[static_cast<std::size_t>(directorIndex)];
  if (p.pid <= 0 || p.pausedAt >= 0) return;
  ::kill(p.pid, SIGSTOP);
  p.pausedAt = now;
}

void Processes::resume(int directorIndex, Micros now, audit::Record& record) {
  DirectorProcess& p = directors_[static_cast<std::size_t>(directorIndex)];
  if (p.pid <= 0 || p.pausedAt < 0) return;
  ::kill(p.pid, SIGCONT);
  record.directorStalls.push_back({directorIndex, p.run, p.pausedAt, now});
  p.pausedAt = -1;
}

bool Processes::terminateAll() {
  for (const DirectorProcess& p : directors_)
    if (p.pid > 0) ::kill(p.pid, SIGTERM);
  bool clean = true;
  for (DirectorProcess& p : directors_) {
    if (p.pid <= 0) continue;
    bool exited = false;
    for (int i = 0; i < exitPolls && !exited; ++i) {
      siginfo_t info{};
      exited = waitid(P_PID, static_cast<id_t>(p.pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
               info.si_pid == p.pid;
      if (exited && (info.si_code != CLD_EXITED || info.si_status != 0)) clean = false;
      if (!exited) usleep(exitPollInterval);
    }
    if (!exited) {
      clean = false;
      ::kill(p.pid, SIGKILL);
    }
    reap(p.pid);
    p.pid = 0;
  }
  return clean;
}

}  // namespace lupinsill::lab
