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

void write(std::ostream& out, const settings::Element& e, const char* space) {
  out << "<" << e.name;
  if (space != nullptr) out << " xmlns=\"" << space << "\"";
  for (const auto& [key, value] : e.attributes)
    if (key != "xmlns") out << " " << key << "=\"" << escaped(value) << "\"";
  out << ">";
  for (const settings::Element& c : e.children) write(out, c, nullptr);
  out << "</" << e.name << ">\n";
}

void put(settings::Element& root, const char* child, const char* attribute, const std::string& value) {
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
    : grpc_(grpc), day_(day), folder_(std::move(folder)), extra_(std::move(extraArguments)) {
  places_.resize(static_cast<std::size_t>(day.directors));
  for (int place = 0; place < day.directors; ++place) {
    Place& p = places_[static_cast<std::size_t>(place)];
    p.zone = place % day.zones;
    p.folder = folder_ + "/d" + std::to_string(place);
    std::filesystem::create_directories(p.folder);
    writeSettings(place);
  }
}

Processes::~Processes() {
  for (Place& p : places_)
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

void Processes::writeSettings(int place) {
  const Place& p = places_[static_cast<std::size_t>(place)];
  settings::Element root = settings::readXml(day_.settingsFile, settings::directorSchema);
  put(root, "director", "name", "d" + std::to_string(place));
  put(root, "director", "ordinal", std::to_string(place));
  put(root, "director", "of", std::to_string(day_.directors));
  put(root, "director", "zone", "zone" + std::to_string(p.zone));
  put(root, "listen", "players", "127.0.0.1:" + std::to_string(p.players));
  put(root, "listen", "admin", "127.0.0.1:0");
  if (grpc_) put(root, "listen", "grpc", "127.0.0.1:" + std::to_string(p.grpc));
  put(root, "list", "file", listFile());
  put(root, "list", "kept-as", p.folder + "/last-list.xml");
  std::ofstream out(p.folder + "/settings.xml");
  write(out, root, "urn:lupinsill:settings:1");
}

void Processes::start(int place) {
  Place& p = places_[static_cast<std::size_t>(place)];
  if (p.pid > 0) return;
  std::filesystem::remove(p.folder + "/ports");
  const std::string log = p.folder + "/log";
  std::vector<std::string> words{"lupinsill", "director",         "--config", p.folder + "/settings.xml",
                                 "--ports",   p.folder + "/ports"};
  words.insert(words.end(), extra_.begin(), extra_.end());
  std::vector<char*> arguments;
  for (std::string& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const pid_t lab = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error(std::string("fork: ") + std::strerror(errno));
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != lab) _exit(9);
    if (grpc_ && chdir(p.folder.c_str()) != 0) _exit(9);  // marks of faults done are kept there
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd >= 0) dup2(fd, 2), dup2(fd, 1);
    execv("/proc/self/exe", arguments.data());
    _exit(127);
  }
  p.pid = pid;
  ++p.run;
}

void Processes::look() {
  for (Place& p : places_) {
    if (p.pid <= 0 || p.players != 0) continue;
    std::ifstream in(p.folder + "/ports");
    std::string word;
    int players = 0, admin = 0;
    if (in >> word >> players >> word >> admin) p.players = players, p.admin = admin;
    if (grpc_) in >> word >> p.grpc;
  }
}

void Processes::keepPorts() {
  for (int place = 0; place < static_cast<int>(places_.size()); ++place) writeSettings(place);
}

std::vector<int> Processes::ended() {
  std::vector<int> out;
  for (std::size_t i = 0; i < places_.size(); ++i) {
    Place& p = places_[i];
    siginfo_t info{};
    if (p.pid <= 0 || waitid(P_PID, static_cast<id_t>(p.pid), &info, WEXITED | WNOHANG | WNOWAIT) != 0 ||
        info.si_pid != p.pid)
      continue;
    reap(p.pid);
    p.pid = p.players = p.admin = 0;
    out.push_back(static_cast<int>(i));
  }
  return out;
}

void Processes::kill(int place) {
  if (const Place& p = places_[static_cast<std::size_t>(place)]; p.pid > 0) ::kill(p.pid, SIGKILL);
}

void Processes::kill(int place, Micros now, audit::Record& record) {
  Place& p = places_[static_cast<std::size_t>(place)];
  if (p.pid <= 0) return;
  if (p.stoppedAt >= 0) go(place, now, record);
  ::kill(p.pid, SIGKILL);
  reap(p.pid);
  record.directorKills.push_back({place, p.run, now});
  p.pid = 0;
  p.players = p.admin = 0;
}

void Processes::stop(int place, Micros now) {
  Place& p = places_[static_cast<std::size_t>(place)];
  if (p.pid <= 0 || p.stoppedAt >= 0) return;
  ::kill(p.pid, SIGSTOP);
  p.stoppedAt = now;
}

void Processes::go(int place, Micros now, audit::Record& record) {
  Place& p = places_[static_cast<std::size_t>(place)];
  if (p.pid <= 0 || p.stoppedAt < 0) return;
  ::kill(p.pid, SIGCONT);
  record.directorStalls.push_back({place, p.run, p.stoppedAt, now});
  p.stoppedAt = -1;
}

bool Processes::end() {
  for (const Place& p : places_)
    if (p.pid > 0) ::kill(p.pid, SIGTERM);
  bool clean = true;
  for (Place& p : places_) {
    if (p.pid <= 0) continue;
    bool gone = false;
    for (int i = 0; i < 500 && !gone; ++i) {
      siginfo_t info{};
      gone = waitid(P_PID, static_cast<id_t>(p.pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
             info.si_pid == p.pid;
      if (gone && (info.si_code != CLD_EXITED || info.si_status != 0)) clean = false;
      if (!gone) usleep(10'000);
    }
    if (!gone) {
      clean = false;
      ::kill(p.pid, SIGKILL);
    }
    reap(p.pid);
    p.pid = 0;
  }
  return clean;
}

}  // namespace lupinsill::lab
