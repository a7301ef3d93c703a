// The directors of a day: processes of their own, started from this same program on loopback, killed, stopped
// and started again by the script. They die with the lab, however it ends.
// Errors: std::runtime_error where a director does not come up.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "audit/record.h"
#include "lab/day.h"

namespace lupinsill::lab {

struct DirectorProcess {  // of a director
  int run = 0;            // counts its starts
  pid_t pid = 0;
  int zone = 0;
  int playersPort = 0;  // port, 0 while it is down
  int adminPort = 0;
  int grpcPort = 0;  // where it is asked for
  Micros pausedAt = -1;
  std::string folder;
};

class Processes {
 public:
  Processes(const Day& day, std::string folder, std::vector<std::string> extraArguments, bool grpc = false);
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  void start(int directorIndex);
  // Reads the ports of those that have come up since.
  void readPorts();
  // From now on each starts on the ports that it has, as in service.
  void fixPorts();
  // The places of those that ended by themselves since; they may be started again.
  std::vector<int> reapExited();
  void kill(int directorIndex);
  void kill(int directorIndex, Micros now, audit::Record& record);
  void pause(int directorIndex, Micros now);  // SIGSTOP
  void resume(int directorIndex, Micros now, audit::Record& record);
  // Ends all of them in order; false where one did not end by itself within five seconds.
  bool terminateAll();
  const std::vector<DirectorProcess>& directors() const { return directors_; }
  std::string listFile() const { return folder_ + "/nodes.xml"; }
  double cpuSeconds() const { return cpuSeconds_; }

 private:
  void writeSettings(int directorIndex);
  void reap(pid_t pid);
  bool grpc_;
  const Day& day_;
  std::string folder_;
  std::vector<std::string> extraArguments_;
  std::vector<DirectorProcess> directors_;
  double cpuSeconds_ = 0;
};

}  // namespace lupinsill::lab
