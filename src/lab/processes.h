// Runs the directors of a day as subprocesses of this program, listening on loopback: starts, kills, suspends
// and restarts them. They are killed when the lab's process ends for whatever reason.
// Errors: std::runtime_error where a process cannot be forked.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "audit/record.h"
#include "lab/day.h"

namespace lupinsill::lab {

// One director and its current process.
struct DirectorProcess {
  int run = 0;    // number of starts so far
  pid_t pid = 0;  // 0 while it is not running
  int zone = 0;
  int playersPort = 0;  // 0 until it listens and while it is down
  int adminPort = 0;
  int grpcPort = 0;      // 0 unless gRPC is enabled
  Micros pausedAt = -1;  // -1: not suspended
  std::string folder;    // holds its settings, log and kept list
};

// All directors of a run, indexed from 0.
class Processes {
 public:
  Processes(const Day& day, std::string folder, std::vector<std::string> extraArguments, bool grpc = false);
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  // Starts the director unless it is running. It listens when readPorts() has found its ports.
  void start(int directorIndex);
  // Reads the ports of directors that have begun to listen since the last call.
  void readPorts();
  // Writes the current ports into the settings, so that a restarted director listens on the same ones.
  void fixPorts();
  // Collects processes that have exited since the last call and returns their indices; they can be started
  // again.
  std::vector<int> reapExited();
  // Kills the process; reapExited() collects it.
  void kill(int directorIndex);
  // Kills the process, waits for it and records the time.
  void kill(int directorIndex, Micros now, audit::Record& record);
  // Suspends the process with SIGSTOP.
  void pause(int directorIndex, Micros now);
  // Continues a suspended process and records how long it was suspended.
  void resume(int directorIndex, Micros now, audit::Record& record);
  // Sends SIGTERM to all processes and waits for them. False where one failed, or had to be killed because it
  // did not exit in time.
  bool terminateAll();
  const std::vector<DirectorProcess>& directors() const { return directors_; }
  // The node list that all directors read.
  std::string listFile() const { return folder_ + "/nodes.xml"; }
  // CPU time of all processes that have ended.
  double cpuSeconds() const { return cpuSeconds_; }

 private:
  // Writes the settings of a director: those of the day with its own name, zone, ports and paths.
  void writeSettings(int directorIndex);
  // Waits for an exited process and adds its CPU time.
  void reap(pid_t pid);
  bool grpc_;
  const Day& day_;
  std::string folder_;
  std::vector<std::string> extraArguments_;
  std::vector<DirectorProcess> directors_;
  double cpuSeconds_ = 0;
};

}  // namespace lupinsill::lab
